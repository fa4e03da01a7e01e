#!/usr/bin/env bash
# Runs a case in a temporary folder: run_case.sh PROGRAM CASE_FOLDER
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)"
program="${root}/target/review-3/$1"
record="$2/record.txt"
if [[ ! -x "${program}" || ! -x "${root}/target/src/sidecar/tamarackridge-sidecar" ]]; then
    echo "build first: the line 'build' of deploy/system.toml, then review/build-3.sh" >&2
    exit 2
fi
folder="$(mktemp -d)"
trap 'rm -rf "${folder}"' EXIT
timeout --kill-after=5 115 "${program}" "${root}" "${folder}" "${record}"
status=$?
if ((status > 2)); then
    echo "the case ended with status ${status}" >&2
    exit 2
fi
exit "${status}"

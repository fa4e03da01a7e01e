#!/usr/bin/env bash
# Plays a case with the sidecar's command of the deploy file: run-case.sh CASE FOLDER
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)"
case_name="$1"
record="$(cd "$2" && pwd)/record.txt"
cd "${root}" || exit 2
standin=target/review-2/standin
if [[ ! -x "${standin}" || ! -x target/src/sidecar/tamarackridge-sidecar ]]; then
    echo "build first: the line 'build' of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
run_line="$(sed -n 's/^run = "\(.*\)"/\1/p' deploy/system.toml)"
run_line="${run_line//\/etc\/tamarackridge\/settings.toml/%SETTINGS%}"
run_line="${run_line//'{{bounds.graceS}}'/6}"
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "${folder}"' EXIT
timeout -k 5 110 "${standin}" "${case_name}" "${folder}" "${record}" deploy/settings.json.in \
    "${run_line}" "${TROUBLE:-1}"
status=$?
# The sidecars end with the stand-in, as they get SIGKILL when their parent ends.
((status == 0 || status == 1)) || status=2
exit "${status}"

#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3; needs g++ only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standins-3"
out="../../target/review-3"
mkdir -p "${out}"
objects=()
for source in http store server deployment callers; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -c -o "${out}/${source}.o" "${source}.cpp"
    objects+=("${out}/${source}.o")
done
for case in late_connections late_crash_record leaving_callers; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "${out}/${case}" "${case}.cpp" "${objects[@]}"
done

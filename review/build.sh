#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into target/review/. Needs g++ alone.
set -euo pipefail

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
out="${root}/target/review"
mkdir -p "${out}"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)

g++ "${flags[@]}" -c "${root}/review/standins/standins.cpp" -o "${out}/standins.o"
for source in "${root}"/review/[1-5]/case.cpp; do
    [[ -e "${source}" ]] || continue
    number="$(basename "$(dirname "${source}")")"
    g++ "${flags[@]}" "${source}" "${out}/standins.o" -o "${out}/case-${number}"
done

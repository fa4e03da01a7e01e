#!/usr/bin/env bash
# Installs missing packages, builds everything and runs all tests. Runs as root without prompting.
# TAMARACKRIDGE_BUILD_DIR selects the build directory (default: build).
set -euo pipefail

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
build_dir="${TAMARACKRIDGE_BUILD_DIR:-${root}/build}"
export TAMARACKRIDGE_BUILD_DIR="${build_dir}"

"${root}/scripts/install-deps.sh"
cmake -S "${root}" -B "${build_dir}" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "${build_dir}"
ctest --test-dir "${build_dir}" --output-on-failure --no-tests=error -j 4 "$@"

#!/usr/bin/env bash
# Checks the format of all sources and runs clang-tidy on every translation unit of the build.
# Usage: scripts/check-style.sh [--fix-format]
set -euo pipefail

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
build_dir="${TAMARACKRIDGE_BUILD_DIR:-${root}/build}"
cd "${root}"

mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '/generated/')
if [[ "${1:-}" == "--fix-format" ]]; then
    clang-format -i "${sources[@]}"
    exit 0
fi
clang-format --dry-run --Werror "${sources[@]}"

if [[ ! -e "${build_dir}/compile_commands.json" ]]; then
    cmake -S "${root}" -B "${build_dir}" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
fi
# Skips a translation unit that passed before with the same source, project headers and settings: its
# stamp file is named after a hash of them.
stamp_dir="${build_dir}/clang-tidy-stamps"
mkdir -p "${stamp_dir}"
header_hash="$( (git ls-files --cached --others --exclude-standard '*.h' 'include/*' .clang-tidy CMakeLists.txt | sort | xargs cat) | sha256sum | cut -c1-16)"
export build_dir stamp_dir header_hash
tidy_one() {
    local source="$1"
    local stamp
    stamp="${stamp_dir}/$( (echo "${header_hash} ${source}"; cat "${source}") | sha256sum | cut -c1-32)"
    [[ -e "${stamp}" ]] && return 0
    if clang-tidy --quiet -p "${build_dir}" "${source}" 2>/dev/null; then
        touch "${stamp}"
    else
        echo "clang-tidy: ${source} has findings" >&2
        return 1
    fi
}
export -f tidy_one
printf '%s\n' "${sources[@]}" | grep '\.cpp$' | xargs -P 6 -I{} bash -c 'tidy_one {}'

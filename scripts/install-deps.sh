#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Can be run repeatedly; needs root.
# TAMARACKRIDGE_BUILD_DIR selects the build directory, where the prometheus-cpp headers are unpacked
# (default: build).
set -euo pipefail

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
build_dir="${TAMARACKRIDGE_BUILD_DIR:-${root}/build}"

packages=(
    g++ cmake ninja-build ccache pkg-config curl
    clang-format clang-tidy
    libulfius-dev libmicrohttpd-dev libzmq3-dev cppzmq-dev libprotobuf-dev libgflags-dev libspdlog-dev
    libexpected-dev nlohmann-json3-dev libxxhash-dev libgnutls28-dev
    libboost-dev libprometheus-cpp-core1.0 libgtest-dev libgmock-dev libbenchmark-dev librapidcheck-dev
)

is_installed() {
    dpkg-query -W -f='${Status}' "$1" 2>/dev/null | grep -q 'install ok installed'
}

missing=()
for package in "${packages[@]}"; do
    is_installed "${package}" || missing+=("${package}")
done
if ((${#missing[@]} > 0)); then
    echo "installing: ${missing[*]}"
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi

# prometheus-cpp-dev conflicts with libulfius-dev (two libcurl variants), so only its headers are
# unpacked below the build directory; the shared library is installed as usual above.
headers="${build_dir}/prometheus-cpp-headers"
if [[ ! -e "${headers}/usr/include/prometheus/counter.h" ]]; then
    mkdir -p "${headers}"
    download_dir="$(mktemp -d)"
    trap 'rm -rf "${download_dir}"' EXIT
    if ! (cd "${download_dir}" && apt-get download -qq prometheus-cpp-dev >/dev/null 2>&1); then
        apt-get update -qq
        (cd "${download_dir}" && apt-get download -qq prometheus-cpp-dev >/dev/null)
    fi
    dpkg-deb -x "${download_dir}"/prometheus-cpp-dev_*.deb "${headers}"
fi

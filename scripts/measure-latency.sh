#!/usr/bin/env bash
# Measures the latency that a node adds. Interleaves in one run direct calls to a backend server, calls
# through the node on the same VM, and calls through a peer node. Prints the table of the load tool; its
# row `direct_again` repeats the direct calls and so shows the noise of the comparison. Requires a
# finished build.
# TAMARACKRIDGE_BUILD_DIR selects the build directory (default: build).
set -euo pipefail

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
build_dir="${TAMARACKRIDGE_BUILD_DIR:-${root}/build}"
work_dir="${build_dir}/latency"
log_url="http://127.0.0.1:18900"

# Key pair for the loopback fleet of this measurement only.
curve_public='!(R{4zF[Up:Rz<ylGce[nC9]l=wEQM^I)I^pYhUu'
curve_secret='H/3He0>J#&+J+5VbPP@BOdU8R!-]{nb1k[czk1<?'

binary() { echo "${build_dir}/src/$1/tamarackridge-$1"; }
start() { "${@:2}" >"${work_dir}/$1.out" 2>&1 & }
stop_all() {
    trap - EXIT INT TERM
    local pids
    pids="$(jobs -rp)"
    [[ -n "${pids}" ]] && kill -TERM ${pids} 2>/dev/null || true
    wait 2>/dev/null || true
}

start_node() { # name, caller port, peer port
    cat >"${work_dir}/$1.json" <<SETTINGS
{
  "node": {"zone": "zone-a", "name": "$1"},
  "callers": {"address": "127.0.0.1", "port": $2},
  "peers": {
    "bind": "tcp://127.0.0.1:$3", "endpoint": "tcp://127.0.0.1:$3",
    "public_key": "${curve_public}", "secret_key": "${curve_secret}",
    "seeds": [{"node": "movements", "endpoint": "tcp://127.0.0.1:18200"}]
  },
  "log": {"address": "${log_url}"},
  "quota": {"claim_delay_ms": 200},
  "logging": {"level": "warning", "trace_file": "${work_dir}/$1.trace"}
}
SETTINGS
    start "$1" "$(binary node)" --settings="${work_dir}/$1.json"
}

start_backend() { # service, port, caller port of its node
    start "backend-$1" "$(binary backend)" --service="$1" --port="$2" --slots=150 \
        --median_ms=2 --sigma=0.1 --leave_ms=100 --node_url="http://127.0.0.1:$3"
}

mkdir -p "${work_dir}"
rm -f "${work_dir}"/*
trap stop_all EXIT
trap 'exit 130' INT TERM
start log "$(binary log)" --port=18900
sleep 0.5
"$(binary ctl)" --log="${log_url}" --base=-1 publish "${root}/examples/demo/latency-configuration.json" >/dev/null
start_node movements 18100 18200
start_node tariffs 18104 18204
start_backend movements 18300 18100
start_backend tariffs 18304 18104
sleep 6
"$(binary load)" --baseline=direct --out="${work_dir}/result.json" \
    "${root}/examples/demo/added-latency.json"

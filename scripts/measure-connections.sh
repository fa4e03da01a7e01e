#!/usr/bin/env bash
# Measures the memory and processor time of one idle node process on loopback, without connections
# and with 1,000 idle caller connections. Exits by itself and stops only the programs that it started.
# TAMARACKRIDGE_BUILD_DIR selects the build directory (default: build), TAMARACKRIDGE_PORT the first
# of three ports (default: 20100).
set -euo pipefail

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
build_dir="${TAMARACKRIDGE_BUILD_DIR:-${root}/build}"
first_port="${TAMARACKRIDGE_PORT:-20100}"
node_port=$((first_port + 1))
peer_endpoint="tcp://127.0.0.1:$((first_port + 2))"
work_dir="$(mktemp -d)"
readonly connections=1000 idle_seconds=10 start_seconds=3

log_pid=""
node_pid=""
stop() {
    trap - EXIT
    kill ${node_pid} ${log_pid} 2>/dev/null || true
    wait 2>/dev/null || true
    rm -r "${work_dir}"
}
trap stop EXIT

node_binary="${build_dir}/src/node/tamarackridge-node"
keys="$("${node_binary}" --new_fleet_key)"
cat >"${work_dir}/node.json" <<SETTINGS
{
  "node": {"zone": "zone-a", "name": "n1"},
  "callers": {"address": "127.0.0.1", "port": ${node_port}, "idle_s": 600},
  "peers": {"bind": "${peer_endpoint}", "endpoint": "${peer_endpoint}",
            ${keys:1:-1}, "seeds": [{"node": "n1", "endpoint": "${peer_endpoint}"}]},
  "log": {"address": "http://127.0.0.1:${first_port}"},
  "logging": {"level": "warning"}
}
SETTINGS
"${build_dir}/src/log/tamarackridge-log" --port="${first_port}" 2>"${work_dir}/log.out" &
log_pid=$!
"${node_binary}" --settings="${work_dir}/node.json" >"${work_dir}/node.out" 2>&1 &
node_pid=$!
sleep "${start_seconds}"

show() { # label
    local ticks
    ticks="$(awk '{print $14 + $15}' "/proc/${node_pid}/stat")"
    awk -v label="$1" -v ticks="${ticks}" -v hz="$(getconf CLK_TCK)" '
        /^VmRSS/ {rss = $2} /^RssAnon/ {anon = $2} /^Threads/ {threads = $2}
        END {printf "%-34s RSS %7d KB  anonymous %7d KB  threads %5d  processor %6.2f s\n",
             label, rss, anon, threads, ticks / hz}' "/proc/${node_pid}/status"
}

show "started"
sleep "${idle_seconds}"
show "after ${idle_seconds} s idle"
sockets=()
request=$'GET /.tamarackridge/health HTTP/1.1\r\nHost: n\r\n\r\n'
for ((index = 0; index < connections; ++index)); do
    exec {socket}<>"/dev/tcp/127.0.0.1/${node_port}"
    sockets+=("${socket}")
done
sleep 1
show "${connections} idle connections"
for socket in "${sockets[@]}"; do
    printf '%s' "${request}" >&"${socket}"
    IFS= read -r -t 5 -u "${socket}" status_line
    [[ "${status_line}" == HTTP/1.1* ]] || echo "a connection received no HTTP response" >&2
done
show "each has had one answer"
sleep "${idle_seconds}"
show "after ${idle_seconds} s idle"

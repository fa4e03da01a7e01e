#!/usr/bin/env bash
# Runs a fleet of 16 nodes and 16 backend servers in 4 zones on loopback, sends traffic with a surge
# beyond capacity and checks the results against the expected outcomes. Exits with 0 only if all of
# them hold. Can be run repeatedly.
# Usage: scripts/demo.sh [--kill=PROGRAM]
# --kill ends one program with SIGKILL during the surge (log, node-movements-zone-b,
# backend-invoicing-zone-c and so on). The results are then checked against
# examples/demo/outcomes-kill.json: no double run, no lost write, no response with a false run
# state, and the required goodput without that program.
# TAMARACKRIDGE_BUILD_DIR selects the build directory (default: build), TAMARACKRIDGE_DEMO_PORT the
# first port that the demo uses (default: 18000).
set -euo pipefail

kill_target=""
outcomes="outcomes.json"
for argument in "$@"; do
    case "${argument}" in
    --kill=?*) kill_target="${argument#--kill=}" outcomes="outcomes-kill.json" ;;
    *)
        echo "demo: unknown argument '${argument}'; usage: scripts/demo.sh [--kill=PROGRAM]" >&2
        exit 1
        ;;
    esac
done

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
build_dir="${TAMARACKRIDGE_BUILD_DIR:-${root}/build}"
export TAMARACKRIDGE_BUILD_DIR="${build_dir}"
work_dir="${build_dir}/demo"
first_port="${TAMARACKRIDGE_DEMO_PORT:-18000}"
log_port="${first_port}"
log_url="http://127.0.0.1:${log_port}"

zones=(zone-a zone-b zone-c zone-d)
services=(movements invoicing tariffs credits)
customers=(andina pacifico maipo elqui limari choapa aconcagua itata)

# Key pair for the loopback fleet of this demo only; a deployment must generate its own.
curve_public='!(R{4zF[Up:Rz<ylGce[nC9]l=wEQM^I)I^pYhUu'
curve_secret='H/3He0>J#&+J+5VbPP@BOdU8R!-]{nb1k[czk1<?'

readonly service_median_ms=40
readonly ready_seconds=20
readonly quota_slots=16
readonly kill_after_seconds=14
declare -A program_pids
readonly stop_seconds=6

binary() { echo "${build_dir}/src/$1/tamarackridge-$1"; }
index_of() { echo $(($1 * ${#services[@]} + $2)); } # zone index, service index
node_name() { echo "${services[$2]}-${zones[$1]}"; }
http_port() { echo $((first_port + 100 + $(index_of "$1" "$2"))); }
peer_port() { echo $((first_port + 200 + $(index_of "$1" "$2"))); }
backend_port() { echo $((first_port + 300 + $(index_of "$1" "$2"))); }

# Calls a function once per node, with the indexes of its zone and service.
for_each_node() {
    local zone service
    for zone in "${!zones[@]}"; do
        for service in "${!services[@]}"; do
            "$1" "${zone}" "${service}"
        done
    done
}

# Starts a program in the background and redirects its output to a file.
start() {
    local name="$1"
    shift
    # The child does not inherit the lock: otherwise a child that outlives this shell would hold it.
    "$@" >"${work_dir}/${name}.out" 2>&1 {lock}>&- &
    program_pids["${name}"]=$!
}

# Kills the program chosen with --kill after the surge has begun.
kill_in_surge() {
    sleep "${kill_after_seconds}"
    echo "demo: killing ${kill_target}"
    kill -KILL "${program_pids[${kill_target}]}"
}

# Stops only the programs that this shell started: `jobs -rp` lists its own running children.
stop_all() {
    trap - EXIT INT TERM
    local pids deadline=$((SECONDS + stop_seconds))
    mapfile -t pids < <(jobs -rp)
    kill -TERM "${pids[@]}" 2>/dev/null || true
    while [[ -n "$(jobs -rp)" ]] && ((SECONDS < deadline)); do
        sleep 0.1
    done
    mapfile -t pids < <(jobs -rp)
    kill -KILL "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
}

# Waits until a URL responds with a 2xx status.
wait_for() {
    local url="$1" deadline=$((SECONDS + ready_seconds))
    until curl --silent --fail --max-time 1 --output /dev/null "${url}"; do
        if ((SECONDS >= deadline)); then
            echo "demo: ${url} did not respond within ${ready_seconds} s; see ${work_dir}" >&2
            return 1
        fi
        sleep 0.1
    done
}

# Fails if one of the started programs has exited, e.g. because its port is in use by another
# program, which would then respond in its place.
check_all_running() {
    local running expected=$((1 + 2 * ${#zones[@]} * ${#services[@]}))
    running="$(jobs -rp | wc -l)"
    if ((running != expected)); then
        echo "demo: ${running} of ${expected} programs are running; see ${work_dir}/*.out" >&2
        return 1
    fi
}

# The first node of each zone is a seed for all other nodes.
print_seeds() {
    local zone separator=""
    for zone in "${!zones[@]}"; do
        printf '%s{"node": "%s", "endpoint": "tcp://127.0.0.1:%s"}' "${separator}" \
            "$(node_name "${zone}" 0)" "$(peer_port "${zone}" 0)"
        separator=", "
    done
}

write_settings() {
    local name
    name="$(node_name "$1" "$2")"
    cat >"${work_dir}/${name}.json" <<SETTINGS
{
  "node": {"zone": "${zones[$1]}", "name": "${name}"},
  "callers": {"address": "127.0.0.1", "port": $(http_port "$1" "$2")},
  "peers": {
    "bind": "tcp://127.0.0.1:$(peer_port "$1" "$2")",
    "endpoint": "tcp://127.0.0.1:$(peer_port "$1" "$2")",
    "public_key": "${curve_public}",
    "secret_key": "${curve_secret}",
    "seeds": [$(print_seeds)]
  },
  "log": {"address": "${log_url}"},
  "quota": {"claim_delay_ms": 500},
  "logging": {
    "level": "warning",
    "trace_file": "${work_dir}/${name}.trace",
    "request_file": "${work_dir}/${name}.requests"
  }
}
SETTINGS
}

start_node() {
    local name
    name="$(node_name "$1" "$2")"
    write_settings "$1" "$2"
    start "node-${name}" "$(binary node)" --settings="${work_dir}/${name}.json"
}

start_backend() {
    local name service="${services[$2]}" flags=(--slots=8 --queue=16)
    name="$(node_name "$1" "$2")"
    case "${service}" in
    credits) flags=(--slots=2 --queue=4) ;;
    invoicing) flags+=(--onward=GET:/tariffs/current,POST:/credits/reservations) ;;
    esac
    start "backend-${name}" "$(binary backend)" --service="${service}" \
        --port="$(backend_port "$1" "$2")" \
        --node_url="http://127.0.0.1:$(http_port "$1" "$2")" \
        --journal="${work_dir}/${name}.journal" \
        --median_ms="${service_median_ms}" --leave_ms=500 "${flags[@]}"
}

wait_for_node() { wait_for "http://127.0.0.1:$(http_port "$1" "$2")/.tamarackridge/ready"; }
# Waits until every quota slot is held by a node: no tokens are minted for the share of a slot
# without a holder.
wait_for_slots() {
    local deadline=$((SECONDS + ready_seconds)) held
    while ((SECONDS < deadline)); do
        held="$(for_each_node print_slots | awk '{ sum += $1 } END { print sum }')"
        ((held == quota_slots)) && return 0
        sleep 0.2
    done
    echo "demo: only ${held} of ${quota_slots} quota slots are held" >&2
    return 1
}
print_slots() {
    curl --silent --max-time 1 "http://127.0.0.1:$(http_port "$1" "$2")/.tamarackridge/status" \
        | grep -o '"quota_slots_held":[0-9]*' | cut -d: -f2
}
print_target() { printf '"http://127.0.0.1:%s", ' "$(http_port "$1" "$2")"; }
print_journal() { printf '%s/%s.journal,' "${work_dir}" "$(node_name "$1" "$2")"; }

# Issues a key for a customer and prints it.
issue_key() {
    "$(binary ctl)" --log="${log_url}" --json keys issue "$1" \
        | sed -n 's/.*"key": *"\([^"]*\)".*/\1/p'
}

write_plan() {
    local targets edits=() customer key
    targets="$(for_each_node print_target)"
    edits=(-e "s|@TARGETS@|${targets%, }|")
    for customer in "${customers[@]}"; do
        key="$(issue_key "${customer}")"
        if [[ -z "${key}" ]]; then
            echo "demo: no key was issued for ${customer}" >&2
            return 1
        fi
        edits+=(-e "s|@KEY_${customer}@|${key}|")
    done
    sed "${edits[@]}" "${root}/examples/demo/plan.json.in" >"${work_dir}/plan.json"
}

build() {
    "${root}/scripts/install-deps.sh"
    cmake -S "${root}" -B "${build_dir}" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
    cmake --build "${build_dir}" --target tamarackridge-node tamarackridge-ctl tamarackridge-log \
        tamarackridge-backend tamarackridge-load >"${build_dir}/demo-build.log" \
        || { tail -n 30 "${build_dir}/demo-build.log" >&2; return 1; }
}

run_load() {
    local journals load_pid status=0
    journals="$(for_each_node print_journal)"
    # Runs in the background, since the shell handles an interrupt only after a foreground command ends.
    "$(binary load)" --out="${work_dir}/result.json" --journals="${journals%,}" \
        --check="${root}/examples/demo/${outcomes}" "${work_dir}/plan.json" &
    load_pid=$!
    [[ -n "${kill_target}" ]] && kill_in_surge
    wait "${load_pid}" || status=$?
    "$(binary load)" --plot="${work_dir}/goodput.svg" "${work_dir}/result.json" || true
    return "${status}"
}

build
mkdir -p "${work_dir}"
exec {lock}>"${build_dir}/demo.lock"
if ! flock --nonblock "${lock}"; then
    echo "demo: another run uses ${work_dir}" >&2
    exit 1
fi
rm -f "${work_dir}"/*.journal "${work_dir}"/*.json "${work_dir}"/*.out "${work_dir}"/*.svg
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

echo "starting the log and publishing the configuration"
start log "$(binary log)" --port="${log_port}"
wait_for "${log_url}/streams/config/records?from=0&max=1&wait_ms=0"
"$(binary ctl)" --log="${log_url}" --base=-1 publish "${root}/examples/demo/configuration.json"
write_plan
echo "starting 16 nodes and 16 backend servers"
for_each_node start_node
for_each_node start_backend
for_each_node wait_for_node
wait_for_slots
check_all_running
if [[ -n "${kill_target}" && -z "${program_pids[${kill_target}]:-}" ]]; then
    echo "demo: no program is called '${kill_target}'; available: ${!program_pids[*]}" >&2
    exit 1
fi
echo "sending traffic: 30 s with a surge to 6 times the normal rate from second 12 to 20"
status=0
run_load || status=$?
if ((status == 0)); then
    echo "demo: all outcomes held; result and plot are in ${work_dir}"
else
    echo "demo: outcomes failed; result, plot and logs are in ${work_dir}" >&2
fi
exit "${status}"

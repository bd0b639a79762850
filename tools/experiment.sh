#!/usr/bin/env bash
# Runs the demo's stack under one kind of trouble and prints the summary as one JSON line.
# Usage: tools/experiment.sh SCENARIO [plain] [arguments of bench_pool]
# Scenarios: quiet slow-engine stragglers kill-owner kill-steward pause-owner drain-owner outage engine-crash
# `plain` is our own simplest version: no hedges, no affinity.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/stack.sh
scenario=${1:-quiet}
shift || true
variant=cornelloom
if [ "${1:-}" = plain ]; then
    variant=plain
    daemon_options="--plain"
    shift
fi
engine1_options=""
steps_lease=step.notes.trainer-1
weights_lease=weights.notes

owner_pid() { local name="${1//-/_}_pid"; echo "${!name}"; }

trouble() {
    sleep 1.5
    local owner
    case "$scenario" in
    kill-owner | kill-steward)
        owner=$(lease_holder "$([ "$scenario" = kill-owner ] && echo "$steps_lease" || echo "$weights_lease")")
        kill -9 "$(owner_pid "$owner")"
        echo "killed $owner" >&2
        ;;
    pause-owner)
        owner=$(lease_holder "$steps_lease")
        kill -STOP "$(owner_pid "$owner")"
        sleep 8
        kill -CONT "$(owner_pid "$owner")"
        ;;
    drain-owner)
        owner=$(lease_holder "$steps_lease")
        kill -TERM "$(owner_pid "$owner")"
        echo "drained $owner" >&2
        ;;
    outage) curl -fs -d '{"outage_ms":10000}' "http://127.0.0.1:$platform_port/control" >/dev/null ;;
    engine-crash) curl -fs -d '{"down_ms":2000}' "http://127.0.0.1:$engine1_port/control" >/dev/null ;;
    esac
}

case "$scenario" in
slow-engine) engine1_options="--slow-factor 4" ;;
stragglers)
    engine1_options="--straggler-share 0.02"
    engine2_options="--straggler-share 0.02"
    ;;
esac

start_stack
trouble &
trouble_pid=$!
set +e
run_bench "$@" >"$stack_dir/summary"
status=$?
set -e
wait "$trouble_pid" || true
printf '{"scenario":"%s","variant":"%s","result":%s}\n' "$scenario" "$variant" \
    "$(tail -n 1 "$stack_dir/summary")"
exit "$status"

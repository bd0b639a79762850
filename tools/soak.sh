#!/usr/bin/env bash
# Fault soak: tools/soak.sh [DAYS] [FIRST-SEED] [AT-ONCE], by default 50 days on fresh seeds, 4 at once.
# Prints a line a day; ends with 1 if any day broke a promise. Logs stay in build/soak.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir="${CORNELLOOM_BUILD_DIR:-build}"
days="${1:-50}"
first="${2:-$(date +%s)}"
at_once="${3:-4}"
program="${CORNELLOOM_SOAK_PROGRAM:-$build_dir/bin/cornelloom_frontd}"
each=$(((days + at_once - 1) / at_once))
pids=()
for ((part = 0; part < at_once; ++part)); do
    "$build_dir/bin/soak" --program "$program" --folder "$build_dir/soak" \
        --seed $((first + part * each)) --days "$each" --network $((part + 1)) &
    pids+=($!)
done
status=0
for pid in "${pids[@]}"; do
    wait "$pid" || status=1
done
exit "$status"

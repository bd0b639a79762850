#!/usr/bin/env bash
# Reruns the benchmarks behind docs/CAPACITY.md and prints their JSON lines. Takes about ten minutes;
# run nothing else meanwhile. Usage: tools/capacity.sh [NODES...], by default 8 40 80 160.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh >&2
bin="${CORNELLOOM_BUILD_DIR:-build}/bin"
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(8 40 80 160)
for nodes in "${sizes[@]}"; do
    tools/fleet.sh "$nodes"
done
"$bin/bench_coord"
"$bin/bench_decide"
"$bin/bench_rollout"
"$bin/bench_path"

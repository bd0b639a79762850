#!/usr/bin/env bash
# Plays the days of soak/seeds.txt, three at once. Ends with 1 if any of them breaks a promise. Seeds that
# KNOWN-RED.txt lists as "soak seed N:" are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
export build_dir="${CORNELLOOM_BUILD_DIR:-build}"
play() { # network, seed
    "$build_dir/bin/soak" --program "$build_dir/bin/cornelloom_frontd" --folder "$build_dir/soak" \
        --seed "$2" --network "$((100 + $1))"
}
export -f play
red=$(sed -nE 's/^soak seed ([0-9]+):.*/\1/p' KNOWN-RED.txt 2>/dev/null || true)
[ -z "$red" ] || printf 'known red, passed over: soak seed %s\n' $red
grep -v '^#' soak/seeds.txt | cut -d' ' -f1 | grep -vxF "${red:-none}" | nl | xargs -P 3 -L 1 bash -c 'play "$@"' _

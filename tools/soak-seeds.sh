#!/usr/bin/env bash
# Plays the days of soak/seeds.txt, three at once. Ends with 1 if any of them breaks a promise.
set -euo pipefail
cd "$(dirname "$0")/.."
export build_dir="${CORNELLOOM_BUILD_DIR:-build}"
play() { # network, seed
    "$build_dir/bin/soak" --program "$build_dir/bin/cornelloom_frontd" --folder "$build_dir/soak" \
        --seed "$2" --network "$((100 + $1))"
}
export -f play
grep -v '^#' soak/seeds.txt | cut -d' ' -f1 | nl | xargs -P 3 -L 1 bash -c 'play "$@"' _

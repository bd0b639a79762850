#!/usr/bin/env bash
# Shows that the soak can fail: each patch of soak/mutants breaks one promise in a scratch copy of the
# sources, and a few days of the soak must notice. Usage: tools/soak-mutants.sh [DAYS], by default 8.
set -euo pipefail
cd "$(dirname "$0")/.."
days="${1:-8}"
build_dir=$(realpath "${CORNELLOOM_BUILD_DIR:-build}")
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
status=0
for patch in soak/mutants/*.patch; do
    name=$(basename "$patch" .patch)
    rm -rf "$scratch/source"
    mkdir "$scratch/source"
    git ls-files | tar -c -T - | tar -x -C "$scratch/source"
    patch -s -p0 -d "$scratch/source" <"$patch"
    cmake -S "$scratch/source" -B "$scratch/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
        -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCORNELLOOM_BUILD_TESTS=OFF -DCORNELLOOM_BUILD_EXAMPLES=OFF \
        -DCORNELLOOM_BUILD_BENCHMARKS=OFF -DCORNELLOOM_BUILD_STANDINS=OFF >/dev/null
    cmake --build "$scratch/build" --target cornelloom_frontd -j "${CORNELLOOM_JOBS:-$(nproc)}" >/dev/null
    if CORNELLOOM_SOAK_PROGRAM="$scratch/build/bin/cornelloom_frontd" \
        tools/soak.sh "$days" 1 4 >"$build_dir/soak-$name.out" 2>&1; then
        echo "$name: NOT caught in $days days"
        status=1
    else
        echo "$name: caught, $(grep -c '"broken":[1-9]' "$build_dir/soak-$name.out") of $days days"
        grep -m1 '^  [a-z]' "$build_dir/soak-$name.out" || true
    fi
done
exit "$status"

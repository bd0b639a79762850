#!/usr/bin/env bash
# Configures and builds everything into build/ (or $CORNELLOOM_BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
tools/packages.sh
build_dir="${CORNELLOOM_BUILD_DIR:-build}"
[ -f "$build_dir/build.ninja" ] || cmake -S . -B "$build_dir" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build "$build_dir" -j "${CORNELLOOM_JOBS:-$(nproc)}"

#!/usr/bin/env bash
# Builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh
ctest --test-dir "${CORNELLOOM_BUILD_DIR:-build}" --output-on-failure -j "${CORNELLOOM_JOBS:-$(nproc)}"

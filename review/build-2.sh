#!/usr/bin/env bash
# Builds the programs of the second review's cases into target/review-2/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/source-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-2 -j "${CORNELLOOM_JOBS:-8}"

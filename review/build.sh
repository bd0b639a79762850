#!/usr/bin/env bash
# Builds the programs of the review's cases into target/review/bin. Run after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j"$(nproc)"

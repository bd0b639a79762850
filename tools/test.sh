#!/usr/bin/env bash
# Builds everything and runs all tests but those that KNOWN-RED.txt lists as "ctest NAME:", which are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh
red=$(sed -nE 's/^ctest ([a-z_]+):.*/\1/p' KNOWN-RED.txt 2>/dev/null || true)
[ -z "$red" ] || printf 'known red, passed over: ctest %s\n' $red
ctest --test-dir "${CORNELLOOM_BUILD_DIR:-build}" -E "^(${red//$'\n'/|})$" --output-on-failure -j "${CORNELLOOM_JOBS:-$(nproc)}"

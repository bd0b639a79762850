#!/usr/bin/env bash
# Builds, starts a stand-in platform, two engines, two plain services and three daemons in two
# availability zones on loopback, applies a configuration, and runs a trainer, a broker and price
# syncs. The last line of standard output is one JSON object; exit status 0 only if the promises held.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh >&2
source tools/stack.sh

start_stack
set +e
run_bench "$@" >"$stack_dir/summary"
status=$?
set -e
tail -n 1 "$stack_dir/summary"
exit "$status"

#!/usr/bin/env bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
set -- case_cut_watch
. "$here/../source-2/run-case.sh"

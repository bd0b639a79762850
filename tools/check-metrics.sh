#!/usr/bin/env bash
# Every metric named in the code stands in docs/METRICS.md, and the reverse.
set -euo pipefail
cd "$(dirname "$0")/.."
in_code=$(grep -rhoE '"cornelloom_[a-z0-9_]+"' src | tr -d '"' | sort -u)
on_page=$(sed -nE 's/^\| `(cornelloom_[a-z0-9_]+)` \|.*/\1/p' docs/METRICS.md | sort -u)
if ! diff <(echo "$in_code") <(echo "$on_page"); then
    echo "docs/METRICS.md differs from the code: < only in the code, > only on the page"
    exit 1
fi

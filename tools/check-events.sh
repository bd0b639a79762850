#!/usr/bin/env bash
# Every event defined in src/*/events.hpp stands in docs/EVENTS.md with the same number, name and
# level, and the reverse. Numbers and names are unique.
set -euo pipefail
cd "$(dirname "$0")/.."
in_code=$(cat src/*/events.hpp | tr '\n' ' ' |
    grep -oE 'event [a-z0-9_]+\{ *[0-9]+, *"[a-z0-9_]+", *(kernel::)?event_level::[a-z]+' |
    sed -E 's/event ([a-z0-9_]+)\{ *([0-9]+), *"([a-z0-9_]+)", *(kernel::)?event_level::([a-z]+)/\2 \3 \5 \1/' | sort)
status=0
misnamed=$(awk '$2 != $4 { print "  " $0 }' <<<"$in_code")
if [ -n "$misnamed" ]; then
    printf 'events whose name differs from their variable:\n%s\n' "$misnamed"
    status=1
fi
repeated=$({ cut -d' ' -f1 <<<"$in_code"; cut -d' ' -f2 <<<"$in_code"; } | sort | uniq -d)
if [ -n "$repeated" ]; then
    printf 'numbers or names used twice:\n%s\n' "$repeated"
    status=1
fi
on_page=$(sed -nE 's/^\| ([0-9]+) \| `?([a-z0-9_]+)`? \| ([a-z]+) \|.*/\1 \2 \3/p' docs/EVENTS.md | sort)
if ! diff <(cut -d' ' -f1-3 <<<"$in_code") <(echo "$on_page"); then
    echo "docs/EVENTS.md differs from the code: < only in the code, > only on the page"
    status=1
fi
exit "$status"

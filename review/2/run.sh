#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
program=target/review/bin/review_case_2
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
timeout --kill-after=5 112 "$program" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"

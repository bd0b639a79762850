#!/usr/bin/env bash
# Runs the example trainer and caller against two daemons and stand-ins on loopback. The trainer must
# get every sample once; a call that may run once, sent twice, must get the same recorded answer; a
# wrong token must be refused as not run.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/stack.sh
printf 'example-shared-key-of-32-letters' >"$stack_dir/key"
start_standin platform standin_platform
start_standin engine standin_engine --version 1 --tokens-per-second 300
start_standin prices standin_service --name prices --work-ms 5
a=$(free_base_port)
b=$((a + 10))
write_settings host-a krakow-a malopolska "$a" "$b" "$platform_port"
write_settings host-b krakow-a malopolska "$b" "$a" "$platform_port"
cat >"$stack_dir/set.json" <<JSON
{"zones": [{"id": "krakow-a", "region": "malopolska"}],
 "pools": [{"id": "notes", "trainers": ["trainer-1"], "model": "leaf", "first_version": 1}],
 "targets": [
   {"id": "engine-1", "kind": "engine", "address": "127.0.0.1:$engine_port", "zone": "krakow-a",
    "pools": ["notes"], "capacity": 16},
   {"id": "prices-1", "kind": "service", "address": "127.0.0.1:$prices_port", "zone": "krakow-a",
    "services": ["prices"]}],
 "services": [{"id": "prices", "calls": [
   {"method": "GET", "path_prefix": "/", "idempotent": true}]}],
 "callers": [
   {"id": "trainer-1", "token_sha256": "$(token_hash trainer)", "pools": ["notes"],
    "verbs": ["train"]},
   {"id": "broker-1", "token_sha256": "$(token_hash broker)", "services": ["prices"],
    "verbs": ["call"]},
   {"id": "operator", "token_sha256": "$(token_hash operator)", "verbs": ["operate"]}]}
JSON
for who in trainer broker operator; do printf %s "$who" >"$stack_dir/$who"; done
start_daemon host-a
start_daemon host-b
wait_ready "$a" "$b"
daemons=(--daemon "127.0.0.1:$a" --daemon "127.0.0.1:$b")
"$bin/cornelloom" apply "$stack_dir/set.json" "${daemons[@]}" --token-file "$stack_dir/operator" \
    --expect 0 --wait >/dev/null

fail() {
    echo "$1"
    exit 1
}
summary=$("$bin/trainer" "${daemons[@]}" --token-file "$stack_dir/trainer" --pool notes \
    --trainer trainer-1 --version 1 --groups 3 --samples 2 --seconds 40)
[[ "$summary" == *'"samples_delivered":6,'* ]] || fail "the trainer got $summary"
[[ "$summary" == *'"duplicates":0,'* ]] || fail "the trainer got $summary"

"$bin/caller" "${daemons[@]}" --token-file "$stack_dir/broker" --service prices --path /lots/7 \
    >/dev/null || fail "the lookup was not answered"
sync=(--service prices --method POST --path /sync --once --key sync-1 --issued-ms "$(date +%s%3N)")
first=$("$bin/caller" "${daemons[@]}" --token-file "$stack_dir/broker" "${sync[@]}")
second=$("$bin/caller" "${daemons[@]}" --token-file "$stack_dir/broker" "${sync[@]}")
[ "$first" = "$second" ] || fail "the sync sent twice was answered $first, then $second"
[[ "$first" == *'"path":"/sync"'* ]] || fail "the sync was answered $first"

status=0
"$bin/caller" "${daemons[@]}" --token-file "$stack_dir/operator" --service prices 2>/dev/null ||
    status=$?
[ "$status" = 1 ] || fail "a caller without the right ended with $status"

#!/usr/bin/env bash
# Builds, starts a stand-in platform, two engines, two plain services and three daemons in two
# availability zones on loopback, applies a configuration, and runs a trainer, a broker and price
# syncs. The last line of standard output is one JSON object; exit status 0 only if the promises held.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh >&2
source tools/stack.sh

printf 'demo-shared-key-of-32-characters' >"$stack_dir/key"
start_standin platform standin_platform
start_standin engine1 standin_engine --version 1 --tokens-per-second 300 --straggler-share 0.02
start_standin engine2 standin_engine --version 1 --tokens-per-second 300 --ignores-fence --seed 2
start_standin catalogue standin_service --name catalogue
start_standin prices standin_service --name prices --work-ms 5

a=$(free_base_port); b=$((a + 10)); c=$((a + 20))
write_settings host-a krakow-a malopolska "$a" "$b" "$platform_port"
write_settings host-b krakow-a malopolska "$b" "$a" "$platform_port"
write_settings host-c gdansk-a pomorze "$c" "$a" "$platform_port"

mkdir "$stack_dir/set"
cat >"$stack_dir/set/pools.json" <<JSON
{"zones": [{"id": "krakow-a", "region": "malopolska"}, {"id": "gdansk-a", "region": "pomorze"}],
 "pools": [{"id": "notes", "trainers": ["trainer-1"], "model": "tea-notes", "first_version": 1,
            "staleness_bound": 2, "weight_orders_per_second": 20}],
 "targets": [
   {"id": "engine-1", "kind": "engine", "address": "127.0.0.1:$engine1_port", "zone": "krakow-a",
    "pools": ["notes"], "capacity": 16, "honours_fencing": true},
   {"id": "engine-2", "kind": "engine", "address": "127.0.0.1:$engine2_port", "zone": "gdansk-a",
    "pools": ["notes"], "capacity": 16},
   {"id": "catalogue-1", "kind": "service", "address": "127.0.0.1:$catalogue_port",
    "zone": "krakow-a", "services": ["catalogue"]},
   {"id": "prices-1", "kind": "service", "address": "127.0.0.1:$prices_port",
    "zone": "krakow-a", "services": ["prices"]}]}
JSON
cat >"$stack_dir/set/callers.json" <<JSON
{"services": [
   {"id": "catalogue", "calls": [{"method": "GET", "path_prefix": "/", "idempotent": true}]},
   {"id": "prices", "calls": [{"method": "POST", "path_prefix": "/sync", "idempotent": false}]}],
 "callers": [
   {"id": "trainer-1", "token_sha256": "$(token_hash demo-trainer)", "priority": "rollout",
    "pools": ["notes"], "verbs": ["train", "call"]},
   {"id": "broker-1", "token_sha256": "$(token_hash demo-broker)", "pools": ["notes"],
    "services": ["catalogue", "prices"], "verbs": ["call"]},
   {"id": "operator", "token_sha256": "$(token_hash demo-operator)", "verbs": ["operate"]}]}
JSON
printf demo-operator >"$stack_dir/operator-token"

for host in host-a host-b host-c; do start_daemon "$host"; done
wait_ready "$a" "$b" "$c"
"$bin/cornelloom" apply --daemon "127.0.0.1:$a" --token-file "$stack_dir/operator-token" \
    --expect 0 --wait "$stack_dir/set" >&2

set +e
"$bin/bench_pool" --daemon "127.0.0.1:$a" --daemon "127.0.0.1:$b" --daemon "127.0.0.1:$c" \
    --trainer-token demo-trainer --caller-token demo-broker --operator-token demo-operator \
    --engine "127.0.0.1:$engine1_port" --engine "127.0.0.1:$engine2_port" \
    --service "127.0.0.1:$prices_port" "$@" >"$stack_dir/summary"
status=$?
set -e
tail -n 1 "$stack_dir/summary"
exit "$status"

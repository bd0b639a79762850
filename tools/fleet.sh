#!/usr/bin/env bash
# Starts N daemons in ten availability zones with a stand-in platform and one engine, and runs
# bench_fleet on them. Usage: tools/fleet.sh N [arguments of bench_fleet]. Bounded in time; every
# process is ended by its id. Run nothing else meanwhile.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/stack.sh
nodes=${1:-8}
shift || true
printf 'demo-shared-key-of-32-characters' >"$stack_dir/key"
start_standin platform standin_platform
start_standin engine1 standin_engine --version 1

base=21000
ports=()
for i in $(seq 0 $((nodes - 1))); do
    port=$((base + i * 3))
    ports+=("$port")
    write_settings "host-$i" "zone-$((i % 10))" "region-$((i % 10 % 3))" "$port" "$base" "$platform_port"
done
mkdir "$stack_dir/set"
{
    echo '{"zones": ['
    for z in $(seq 0 9); do
        [ "$z" = 0 ] || echo ,
        echo "{\"id\": \"zone-$z\", \"region\": \"region-$((z % 3))\"}"
    done
    cat <<JSON
], "pools": [{"id": "notes", "trainers": ["trainer-1"], "model": "tea-notes", "first_version": 1}],
 "targets": [{"id": "engine-1", "kind": "engine", "address": "127.0.0.1:$engine1_port",
              "zone": "zone-0", "pools": ["notes"], "capacity": 16}],
 "callers": [{"id": "operator", "token_sha256": "$(token_hash demo-operator)", "verbs": ["operate"]}]}
JSON
} >"$stack_dir/set/pools.json"
printf demo-operator >"$stack_dir/operator-token"

arguments=()
for i in $(seq 0 $((nodes - 1))); do
    start_daemon "host-$i"
    arguments+=(--daemon "127.0.0.1:${ports[$i]}" --pid "$!")
done
wait_ready "${ports[@]}"
"$bin/cornelloom" apply --daemon "127.0.0.1:$base" --token-file "$stack_dir/operator-token" \
    --expect 0 --wait "$stack_dir/set" >&2
curl -fs -H 'Authorization: Bearer demo-operator' "http://127.0.0.1:$base/v1/configuration" |
    python3 -c 'import json,sys; print(json.dumps(json.load(sys.stdin)["set"]))' >"$stack_dir/set.json"
sleep 5
timeout 300 "$bin/bench_fleet" "${arguments[@]}" --token demo-operator --set "$stack_dir/set.json" "$@"

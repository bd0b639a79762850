# Functions that start and end a set of stand-ins and daemons on loopback; sourced by demo.sh and by
# the experiment scripts. Every process is ended by its id on exit.
stack_dir=$(mktemp -d)
stack_pids=()
bin="${CORNELLOOM_BUILD_DIR:-build}/bin"

stack_end() {
    local status=$?
    trap - EXIT
    for pid in "${stack_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for _ in $(seq 1 80); do
        local alive=0
        for pid in "${stack_pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
        [ "$alive" = 0 ] && break
        sleep 0.1
    done
    for pid in "${stack_pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    [ -n "${CORNELLOOM_KEEP:-}" ] && echo "logs are in $stack_dir" >&2 || rm -rf "$stack_dir"
    exit "$status"
}
trap stack_end EXIT
trap 'exit 130' INT TERM

# start_standin NAME PROGRAM ARGS...: sets the variable NAME_port to the port it took.
start_standin() {
    local name=$1
    shift
    "$bin/$1" "${@:2}" >"$stack_dir/$name.out" 2>"$stack_dir/$name.log" &
    stack_pids+=($!)
    printf -v "${name}_pid" %s "$!"
    for _ in $(seq 1 100); do
        local port
        port=$(sed -n "s/^listening on //p" "$stack_dir/$name.out" 2>/dev/null || true)
        if [ -n "$port" ]; then
            printf -v "${name}_port" %s "$port"
            return 0
        fi
        sleep 0.05
    done
    echo "stand-in $name did not start" >&2
    return 1
}

# write_settings NAME ZONE REGION BASE_PORT SEED_PORT PLATFORM_PORT
write_settings() {
    cat >"$stack_dir/$1.json" <<JSON
{"host": "$1", "zone": "$2", "region": "$3",
 "listen_http": "127.0.0.1:$4", "listen_gossip": "127.0.0.1:$(($4 + 1))",
 "listen_peer": "127.0.0.1:$(($4 + 2))", "platform": "127.0.0.1:$6",
 "seeds": ["127.0.0.1:$(($5 + 1))"], "shared_key_file": "$stack_dir/key",
 "log_format": "json", "limits": {"platform_calls_per_second": 50, "balancer_lag_ms": 200}}
JSON
}

start_daemon() {
    "$bin/cornelloomd" $daemon_options "$stack_dir/$1.json" >"$stack_dir/$1.out" 2>>"$stack_dir/$1.log" &
    stack_pids+=($!)
    printf -v "${1//-/_}_pid" %s "$!"
}

# wait_ready PORT...: until every daemon answers /readyz with 200.
wait_ready() {
    for port in "$@"; do
        for _ in $(seq 1 200); do
            curl -fs "http://127.0.0.1:$port/readyz" >/dev/null 2>&1 && continue 2
            sleep 0.05
        done
        echo "daemon on port $port did not get ready" >&2
        tail -n 5 "$stack_dir"/*.log >&2
        return 1
    done
}

token_hash() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# A port that nothing listens on, for a host and the others up to 32 ports above it. Below 32768, where
# the system's ports of outgoing connections begin: one of those may be taken without a listener, for
# a minute after its connection has closed, and a daemon that is given it can't start.
free_base_port() {
    local port
    for _ in $(seq 1 100); do
        port=$((20000 + RANDOM % 12700))
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            echo "$port"
            return 0
        fi
    done
    return 1
}

# What a scenario may change before start_stack.
engine1_options="--straggler-share 0.02"
engine2_options=""
daemon_options=""

# The demo's stack: a platform, two engines, two plain services, three daemons in two availability
# zones, with its configuration in force.
start_stack() {
    printf 'demo-shared-key-of-32-characters' >"$stack_dir/key"
    start_standin platform standin_platform
    start_standin engine1 standin_engine --version 1 --tokens-per-second 300 $engine1_options
    start_standin engine2 standin_engine --version 1 --tokens-per-second 300 --ignores-fence --seed 2 \
    $engine2_options
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
}

# The trainer, the broker and the price syncs; further arguments go to bench_pool.
run_bench() {
    "$bin/bench_pool" --daemon "127.0.0.1:$a" --daemon "127.0.0.1:$b" --daemon "127.0.0.1:$c" \
        --trainer-token demo-trainer --caller-token demo-broker --operator-token demo-operator \
        --engine "127.0.0.1:$engine1_port" --engine "127.0.0.1:$engine2_port" \
        --service "127.0.0.1:$prices_port" "$@"
}

# status_of PORT: the status of the daemon there.
status_of() {
    curl -fs -m 2 -H 'Authorization: Bearer demo-operator' "http://127.0.0.1:$1/v1/status"
}

# lease_holder LEASE: prints the host (host-a, host-b or host-c) that holds it.
lease_holder() {
    local name port
    for name in a b c; do
        port=${!name}
        if status_of "$port" | grep -q "\"lease\":\"$1\",\"role\":\"held\""; then
            echo "host-$name"
            return 0
        fi
    done
    return 1
}

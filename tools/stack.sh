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
        port=$(sed -n 's/^listening on //p' "$stack_dir/$name.out")
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
    "$bin/cornelloomd" "$stack_dir/$1.json" >"$stack_dir/$1.out" 2>>"$stack_dir/$1.log" &
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

# A port that nothing listens on, with the two after it.
free_base_port() {
    local port
    for _ in $(seq 1 100); do
        port=$((20000 + RANDOM % 20000))
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            echo "$port"
            return 0
        fi
    done
    return 1
}

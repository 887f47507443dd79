# Functions that start, register and stop processes on loopback, for other scripts to source.
# Requires common.sh and the variable $run_dir, the directory for the output of the processes.

bin="$build/bin"
pids=()

stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    # A graceful shutdown takes as long as callers may use the addresses that they hold
    # (address_ttl_s). Benchmarks set a lower stop_limit_s so that they do not wait for it.
    for _ in $(seq $((10 * ${stop_limit_s:-20}))); do
        local alive=0
        for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
        [ "$alive" -eq 0 ] && return 0
        sleep 0.1
    done
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}

# start NAME COMMAND...: starts a process, waits until it prints its address and sets $address.
start() {
    local name="$1"
    shift
    "$@" >"$run_dir/$name.out" 2>"$run_dir/$name.log" &
    local pid=$!
    disown "$pid" # keeps the shell from reporting how the process ends
    pids=("$pid" "${pids[@]}")
    for _ in $(seq 200); do
        address="$(sed -n 's/^listening //p' "$run_dir/$name.out")"
        [ -n "$address" ] && return 0
        kill -0 "$pid" 2>/dev/null || break
        sleep 0.05
    done
    tail -5 "$run_dir/$name.log" >&2
    fail "$name ended or printed no address within 10 s"
}

# wait_for DESCRIPTION COMMAND...: repeats the command until it succeeds; fails after 400 attempts.
wait_for() {
    local description="$1"
    shift
    for _ in $(seq 400); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    fail "timed out waiting for this condition: $description"
}

# register ID KIND ADDRESS ZONE SERVICE [PEER_ADDRESS]: adds a live instance to the platform's list.
register() {
    curl -sS -f -m 5 -X POST "http://$platform/control/instances" \
        -d "{\"instances\":[{\"id\":\"$1\",\"kind\":\"$2\",\"address\":\"$3\",\"zone\":\"$4\",\"state\":\"live\",\"incarnation\":1,\"service\":\"$5\",\"peer_address\":\"${6:-}\"}]}" >/dev/null
}

# free_port: prints the number of a free TCP port, which the kernel chooses.
free_port() {
    python3 -c 'import socket; s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])'
}

# start_node NUMBER ZONE: starts node-NUMBER, registers it and sets $address.
start_node() {
    local peer="127.0.0.1:$(free_port)"
    cat >"$run_dir/node-$1.json" <<JSON
{"node_id": "node-$1", "zone": "$2", "listen": "127.0.0.1:0",
 "peer_listen": "$peer", "platform": "$platform"}
JSON
    start "node-$1" "$bin/pomelorouter" node --settings "$run_dir/node-$1.json"
    register "node-$1" node "$address" "$2" "" "$peer"
}

# settings_version ADDRESS: prints the version of the settings that a node has applied.
settings_version() {
    curl -sS -f -m 5 "http://$1/admin/settings" | sed 's/{"version":\([0-9]*\),.*/\1/'
}

# apply_tree ADDRESS TREE: replaces the settings tree through a node and prints its response.
apply_tree() {
    local version
    version="$(settings_version "$1")"
    curl -sS -f -m 15 -X POST "http://$1/admin/settings" \
        -d "{\"base_version\":$version,\"author\":\"script\",\"tree\":$2}"
    echo
}

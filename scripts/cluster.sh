# Sourced by scripts that run processes on loopback: starts, registers and stops them.
# Needs common.sh and the variable $run, a folder for the processes' output.

bin="$build/bin"
pids=()

stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    # A graceful shutdown lasts as long as callers keep addresses (address_ttl_s); benchmarks set
    # stop_limit_s lower and do not wait for it.
    for _ in $(seq $((10 * ${stop_limit_s:-20}))); do
        local alive=0
        for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
        [ "$alive" -eq 0 ] && return 0
        sleep 0.1
    done
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}

# start NAME COMMAND...: starts a process and waits for its address, which is put into $address.
start() {
    local name="$1"
    shift
    "$@" >"$run/$name.out" 2>"$run/$name.log" &
    local pid=$!
    disown "$pid" # the shell must not report how it ended
    pids=("$pid" "${pids[@]}")
    for _ in $(seq 200); do
        address="$(sed -n 's/^listening //p' "$run/$name.out")"
        [ -n "$address" ] && return 0
        kill -0 "$pid" 2>/dev/null || break
        sleep 0.05
    done
    tail -5 "$run/$name.log" >&2
    fail "$name did not start"
}

# wait_for DESCRIPTION COMMAND...: waits until the command succeeds.
wait_for() {
    local what="$1"
    shift
    for _ in $(seq 400); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    fail "timed out: $what"
}

# register ID KIND ADDRESS ZONE SERVICE [PEER_ADDRESS]: puts an instance into the platform's list.
register() {
    curl -sS -f -m 5 -X POST "http://$platform/control/instances" \
        -d "{\"instances\":[{\"id\":\"$1\",\"kind\":\"$2\",\"address\":\"$3\",\"zone\":\"$4\",\"state\":\"live\",\"incarnation\":1,\"service\":\"$5\",\"peer_address\":\"${6:-}\"}]}" >/dev/null
}

# free_port: prints a port that the kernel says is free.
free_port() {
    python3 -c 'import socket; s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])'
}

# start_node NUMBER ZONE: starts node-NUMBER and registers it; its address is put into $address.
start_node() {
    local peer="127.0.0.1:$(free_port)"
    cat >"$run/node-$1.json" <<JSON
{"node_id": "node-$1", "zone": "$2", "listen": "127.0.0.1:0",
 "peer_listen": "$peer", "platform": "$platform"}
JSON
    start "node-$1" "$bin/pomelorouter" node --settings "$run/node-$1.json"
    register "node-$1" node "$address" "$2" "" "$peer"
}

# settings_version ADDRESS: prints the version in force at a node.
settings_version() {
    curl -sS -f -m 5 "http://$1/admin/settings" | sed 's/{"version":\([0-9]*\),.*/\1/'
}

# apply_tree ADDRESS TREE: replaces the settings tree and prints the verdict.
apply_tree() {
    local version
    version="$(settings_version "$1")"
    curl -sS -f -m 15 -X POST "http://$1/admin/settings" \
        -d "{\"base_version\":$version,\"author\":\"script\",\"tree\":$2}"
    echo
}

#!/usr/bin/env bash
# Two burdockspur-scheduler processes over the stand-ins. Guards against shards that nobody takes over after
# a kill, a drain that is slower than a takeover or ends with an error, and settings that are not checked.
set -euo pipefail
build=$1
work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do
        kill -9 "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap cleanup EXIT
fail() {
    echo "FAILED: $1"
    tail -n 20 "$work"/*.err
    exit 1
}
# Waits until a file has a line with a text, at most 30 s.
wait_line() {
    for _ in $(seq 300); do
        grep -q "$2" "$1" && return 0
        sleep 0.1
    done
    fail "no line '$2' in $1"
}
field() { sed -n "s/.*$2=\([0-9]*\).*/\1/p" "$1" | head -n 1; }

"$build/standins/standin-platform" >"$work/platform.out" 2>"$work/platform.err" &
pids+=($!)
wait_line "$work/platform.out" "port="
platform=$(field "$work/platform.out" port)
"$build/standins/standin-worker" --workers 2 >"$work/worker.out" 2>"$work/worker.err" &
pids+=($!)
wait_line "$work/worker.out" "control"

document='{"shards":3,"preset_in_force":"ordinary","presets":[{"name":"ordinary","tail_weight":1,"batch_weight":1,"eviction_weight":1,"accept_batch":true}],"services":[],"teams":[],"changes":[]}'
value=$(printf '%s' "$document" | base64 -w 0)
curl -sf -X POST "http://127.0.0.1:$platform/v1/transactions" \
    -d "{\"conditions\":[],\"puts\":[{\"key\":\"config\",\"value\":\"$value\"}],\"deletes\":[]}" >/dev/null || fail "configuration"
entry='"role":"entry","address":"127.0.0.1","port":1,"frame_port":1,"zone":"a","rack":"r","region":"r","state":"live"'
curl -sf -X PUT "http://127.0.0.1:$platform/standin/hosts" \
    -d "{\"generation\":1,\"hosts\":[{\"name\":\"h1\",$entry},{\"name\":\"h2\",$entry}]}" >/dev/null || fail "hosts"

settings() {
    printf '[host]\nname = "%s"\nzone = "a"\nregion = "r"\n[table]\naddress = "127.0.0.1"\nport = %s\n' "$1" "$platform"
    printf '[objects]\naddress = "127.0.0.1"\nport = %s\n[hostlist]\naddress = "127.0.0.1"\nport = %s\n' "$platform" "$platform"
    printf '[shard]\ntakeover_ms = 1500\nheartbeat_ms = 300\nowner_lease_ms = 1200\n'
}
start() {
    settings "$1" >"$work/$1.toml"
    "$build/daemons/burdockspur-scheduler" --settings "$work/$1.toml" >"$work/$1.out" 2>"$work/$1.err" &
    started=$!
    pids+=("$started")
    wait_line "$work/$1.out" "ready frame_port=[0-9]* admin_port=[0-9]*"
}
owned() { curl -s "http://127.0.0.1:$(field "$work/$1.out" admin_port)/v1/status" | grep -o '"owned":true' | wc -l; }
# Waits until a scheduler owns a number of shards, at most 30 s.
wait_owned() {
    for _ in $(seq 300); do
        [ "$(owned "$1")" = "$2" ] && return 0
        sleep 0.1
    done
    fail "$1 owns $(owned "$1") shards, expected $2"
}

settings h0 | sed 's/takeover_ms = 1500/takeover_ms = "soon"/' >"$work/h0.toml"
code=0
"$build/daemons/burdockspur-scheduler" --settings "$work/h0.toml" --check >/dev/null 2>"$work/h0.err" || code=$?
[ "$code" = 2 ] || fail "--check of wrong settings ended with $code"

start h1
first=$started
wait_owned h1 3
start h2
second=$started
kill -9 "$first"
wait_owned h2 3
grep -q "event=shard_recovered.*epoch=2" "$work/h2.err" || fail "the takeover did not raise the epoch"

start h1
kill -TERM "$second"
code=0
wait "$second" || code=$?
[ "$code" = 0 ] || fail "drain ended with code $code"
grep -q "event=drain_ends released=true" "$work/h2.err" || fail "drain did not release the shards"
wait_owned h1 3
echo "passed"

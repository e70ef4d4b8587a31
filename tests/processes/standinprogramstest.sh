#!/usr/bin/env bash
# Guards against stand-in programs that report ports which they do not serve, ignore SIGTERM or accept invalid flags.
set -euo pipefail
build=$1
directory=$(mktemp -d)
pids=()
# shellcheck disable=SC2317 # called by the trap
cleanup() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    rm -rf "$directory"
}
trap cleanup EXIT

fail() {
    echo "FAILED: $*"
    exit 1
}

# wait_for_line FILE PATTERN: waits until the file contains a line; the timeout of the test runner limits the wait.
wait_for_line() {
    until grep -q "$2" "$1" 2>/dev/null; do
        sleep 0.05
    done
}

"$build/standins/standin-worker" --workers 3 --name_prefix w >"$directory/workers" &
pids+=($!)
"$build/standins/standin-platform" >"$directory/platform" &
pids+=($!)
wait_for_line "$directory/workers" '^control port='
wait_for_line "$directory/platform" '^port='

[ "$(grep -c '^worker=w[0-2] port=[0-9]*$' "$directory/workers")" = 3 ] || fail "expected a line for each of 3 workers"
while read -r port; do
    curl -sf -m 60 "http://127.0.0.1:$port/standin/counts" >/dev/null || fail "port $port does not answer"
done < <(sed -n 's/.*port=//p' "$directory/workers" "$directory/platform")

taken=$(sed -n 's/^port=//p' "$directory/platform")
code=0
"$build/standins/standin-platform" --port "$taken" 2>/dev/null || code=$?
[ "$code" = 1 ] || fail "a port in use gives exit code $code, expected 1"
code=0
"$build/standins/standin-worker" --workers 0 2>/dev/null || code=$?
[ "$code" = 2 ] || fail "an invalid flag gives exit code $code, expected 2"

for pid in "${pids[@]}"; do
    kill -TERM "$pid"
    code=0
    wait "$pid" || code=$?
    [ "$code" = 0 ] || fail "SIGTERM gives exit code $code, expected 0"
done
pids=()
echo "PASSED"

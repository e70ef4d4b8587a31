#!/usr/bin/env bash
# A key runs through one entry host, its worker crashes and restarts, and the key comes again through another host.
# Guards against a second execution by a worker that forgot the first one, against a new deployment that refuses
# keys, and against keys that stay refused after a worker restarted.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
deployment_start 2 3
control=127.0.0.1:$(sed -n 's/^control port=\([0-9]*\).*/\1/p' "$work/worker.out")

# send_hold ENTRY KEY [DEADLINE_MS]: sends a hold; header fields go to the file fields.
send_hold() {
    curl -s -m 60 -D "$work/fields" -X POST -H 'Burdockspur-Caller: crashed' -H "Burdockspur-Deadline-Ms: ${3:-20000}" -H "Idempotency-Key: $2" \
        -d "hold $2" "http://$1/v1/services/hold/requests"
}
# expect_answer ENTRY KEY: sends a hold, which must be answered, and sets key to the key that the workers see.
expect_answer() {
    local answer
    answer=$(send_hold "$1" "$2")
    [[ $answer == hold:*":hold $2" ]] || fail "hold $2 was answered: $answer"
    key=$(tr -d '\r' <"$work/fields" | sed -n 's/^Burdockspur-Request-Id: //Ip')
}
expect_runs() {
    [ "$(executions_of_key "$key")" -eq "$1" ] || fail "$2: ran $(executions_of_key "$key") times, expected $1"
}
# crash_home: crashes the worker that ran the key and waits until it has restarted.
crash_home() {
    local index
    for index in "${!worker_names[@]}"; do
        if curl -sS -f "http://${worker_endpoints[$index]}/standin/journal" | grep -q "\"key\":\"$key\""; then
            curl -sS -f -o /dev/null -X PUT -d '{"name":"crash","value":300}' "http://$control/standin/faults?worker=${worker_names[$index]}"
            wait_until 30 'the crashed worker is back' curl -sf -m 5 -o /dev/null "http://${worker_endpoints[$index]}/standin/counts"
            return
        fi
    done
    fail "no worker ran the key"
}

expect_answer "${entries[1]}" first
expect_runs 1 'first request'
passed 'a new deployment ran the first key'
crash_home
expect_answer "${entries[2]}" first
expect_runs 1 'the same key through the other entry host after the crash'
passed 'the key did not run again on the restarted worker; the other entry host gave the first answer'
for number in 1 2 3 4 5 6; do
    expect_answer "${entries[2]}" "next-$number"
    expect_runs 1 "key next-$number"
done
passed 'new keys run after the crash, whatever their home'
check_error '400 bad_request' 'settle without a generation' -X POST -d '{"generation":"x"}' "http://${entries[2]}/v1/requests/k1/settle"
check_error '405 method_not_allowed' 'settle with GET' "http://${entries[2]}/v1/requests/k1/settle"

expect_answer "${entries[1]}" second
kill_daemon entry-1
crash_home
answer=$(send_hold "${entries[2]}" second 3000)
[[ $answer == *'"outcome":"unknown"'* ]] || fail "nobody knows what became of the key, and it was answered: $answer"
expect_runs 1 'the key that only the killed entry daemon knew'
passed 'a key that only a killed daemon knew ends unknown and does not run again'

#!/usr/bin/env bash
# A request with a key runs through one entry host, its worker crashes and restarts, and the request is repeated through
# another host. Guards against a second execution by a worker that lost its record of the first one, against a new
# deployment that refuses keys, and against keys that are still refused after a worker has restarted.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
deployment_start 2 3
control=127.0.0.1:$(sed -n 's/^control port=\([0-9]*\).*/\1/p' "$work/worker.out")

# send_hold ENTRY KEY [DEADLINE_MS]: sends a hold request; the header fields of the answer are written to the file fields.
send_hold() {
    curl -s -m 60 -D "$work/fields" -X POST -H 'Burdockspur-Caller: crashed' -H "Burdockspur-Deadline-Ms: ${3:-20000}" -H "Idempotency-Key: $2" \
        -d "hold $2" "http://$1/v1/services/hold/requests"
}
# expect_answer ENTRY KEY: sends a hold request that must be answered, and sets key to the key that the workers receive.
expect_answer() {
    local answer
    answer=$(send_hold "$1" "$2")
    [[ $answer == hold:*":hold $2" ]] || fail "hold $2 was answered: $answer"
    key=$(tr -d '\r' <"$work/fields" | sed -n 's/^Burdockspur-Request-Id: //Ip')
}
# expect_runs COUNT WHAT: checks how often the workers executed the request with the key.
expect_runs() {
    [ "$(executions_of_key "$key")" -eq "$1" ] || fail "$2: ran $(executions_of_key "$key") times, expected $1"
}
# crash_worker_of_key: crashes the worker that ran the key and waits until it has restarted.
crash_worker_of_key() {
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
crash_worker_of_key
expect_answer "${entries[2]}" first
expect_runs 1 'the same key through the other entry host after the crash'
passed 'the key did not run again on the restarted worker; the other entry host gave the first answer'
for number in 1 2 3 4 5 6; do
    expect_answer "${entries[2]}" "next-$number"
    expect_runs 1 "key next-$number"
done
passed 'new keys run after the crash, whichever worker is responsible for them'
check_error '400 bad_request' 'settle without a generation' -X POST -d '{"generation":"x"}' "http://${entries[2]}/v1/requests/k1/settle"
check_error '405 method_not_allowed' 'settle with GET' "http://${entries[2]}/v1/requests/k1/settle"

expect_answer "${entries[1]}" second
kill_daemon entry-1
crash_worker_of_key
answer=$(send_hold "${entries[2]}" second 3000)
[[ $answer == *'"outcome":"unknown"'* ]] || fail "the outcome of the key is unknown, but the answer was: $answer"
expect_runs 1 'the key whose outcome only the killed entry daemon had'
passed 'a key whose outcome only a killed daemon had ends unknown and does not run again'

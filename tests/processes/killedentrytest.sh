#!/usr/bin/env bash
# Kills one of three entry daemons under load. Guards against failures of requests through the other hosts, against jobs
# that depend on an entry daemon, and against non-idempotent requests that run twice when they are repeated with their key
# through another host.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
# Long enough that requests held back by paused workers do not time out on a slow machine.
entry_settings='[router]
forward_timeout_ms = 60000'
deployment_start 3 6
# The other hosts receive the work, without --repeat_unanswered: each request must be answered at its first attempt.
work_entries=${entries[2]},${entries[3]}
begin_work --deadline_ms 60000 --checks 60 --holds 30 --batch 18 --watchers 3 --batch_duration_ms 5000
wait_rounds 1

# send_hold ENTRY NUMBER [FILE]: sends a hold request; the header fields of the answer are written to FILE.
send_hold() {
    curl -s -m 60 -D "${3:-/dev/null}" -X POST -H 'Burdockspur-Caller: killed' -H 'Burdockspur-Deadline-Ms: 30000' -H "Idempotency-Key: killed-$2" \
        -d "hold $2" "http://$1/v1/services/hold/requests"
}
# The daemon has these requests with keys in progress when it is killed; each is then repeated through another host.
pause_workers true
holds=()
for number in 1 2 3 4; do
    send_hold "${entries[1]}" "$number" >/dev/null &
    holds+=($!)
done
wait_until 30 'four requests in progress' in_flight 1 4
kill_daemon entry-1
killed=$(now_ms)
pause_workers false
curl -sS -f -m 30 -o /dev/null -X POST -H 'Burdockspur-Caller: next' -H 'Burdockspur-Idempotent: true' -d next \
    "http://${entries[2]}/v1/services/check/requests" || fail "no answer through another host"
passed "first answer through another host $(($(now_ms) - killed)) ms after the kill"
wait "${holds[@]}" || true
for number in 1 2 3 4; do
    # The request id of a request with a key is the key that the workers receive.
    answer=$(send_hold "${entries[2]}" "$number" "$work/fields")
    [[ $answer == hold:*":hold $number" ]] || fail "the repeated hold $number was answered: $answer"
    key=$(tr -d '\r' <"$work/fields" | sed -n 's/^Burdockspur-Request-Id: //Ip')
    [ -n "$key" ] || fail "the answer to hold $number has no request id"
    runs=$(executions_of_key "$key")
    [ "$runs" -eq 1 ] || fail "hold $number ran $runs times"
done
passed "each of four holds in progress at the kill ran once and was answered through another host"
wait_rounds 3
end_work

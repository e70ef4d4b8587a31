#!/usr/bin/env bash
# SIGKILL of one of three entry daemons in the middle of work. Guards against requests through the other hosts
# that fail with it, jobs that depend on an entry daemon, and non-idempotent requests that run twice when they
# are repeated with their key through another host.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
deployment_start 3 6
begin_work --repeat_unanswered --checks 60 --holds 30 --batch 18 --watchers 3 --batch_duration_ms 5000
wait_rounds 1

# send_hold ENTRY NUMBER [FILE]: sends a hold that takes 1.5 s; the header fields of the answer go to FILE.
send_hold() {
    curl -s -m 60 -D "${3:-/dev/null}" -X POST -H 'Burdockspur-Caller: killed' -H 'Burdockspur-Deadline-Ms: 10000' -H "Idempotency-Key: killed-$2" \
        -H 'Burdockspur-Service-Time-Us: 1500000' -d "hold $2" "http://$1/v1/services/hold/requests"
}
# Keyed requests that the daemon has in progress when it is killed, each repeated through another host.
holds=()
for number in 1 2 3 4; do
    send_hold "${entries[1]}" "$number" >/dev/null &
    holds+=($!)
done
in_flight() {
    [ "$(status_of "${entry_admins[1]}" | sed -n 's/.*"requests_in_flight":\([0-9]*\).*/\1/p')" -ge 4 ]
}
wait_until 30 'four requests in progress' in_flight
kill_daemon entry-1
killed=$(now_ms)
curl -sS -f -m 30 -o /dev/null -X POST -H 'Burdockspur-Caller: next' -H 'Burdockspur-Idempotent: true' -d next \
    "http://${entries[2]}/v1/services/check/requests" || fail "no answer through another host"
passed "first answer through another host $(($(now_ms) - killed)) ms after the kill"
wait "${holds[@]}" || true
for number in 1 2 3 4; do
    # The request id of a keyed request is the key that the workers see.
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

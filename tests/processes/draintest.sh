#!/usr/bin/env bash
# Stops an entry daemon and a scheduler with SIGTERM under load. Guards against a planned stop that aborts requests in
# progress, ends with an error, loses jobs or runs them twice.
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
begin_work --deadline_ms 60000 --checks 60 --holds 20 --batch 24 --watchers 3 --batch_duration_ms 8000
wait_rounds 1

# await_end NAME: waits for a daemon that was sent SIGTERM, which must end with exit code 0.
await_end() {
    local code=0
    wait "${pids[$1]}" || code=$?
    unset "pids[$1]"
    [ "$code" -eq 0 ] || fail "$1 ended with exit code $code after SIGTERM: $(tail -n 5 "$work/$1.log")"
    passed "$1 ended with exit code 0"
}

# The daemon has these requests in progress when it is stopped, because the workers hold them back until then.
pause_workers true
requests=()
for number in $(seq 20); do
    curl -s -m 90 -o "$work/answer-$number" -X POST -H 'Burdockspur-Caller: drain' -H 'Burdockspur-Deadline-Ms: 60000' \
        -d "drain $number" "http://${entries[1]}/v1/services/check/requests" &
    requests+=($!)
done
wait_until 30 'twenty requests in progress' in_flight 1 20
kill -TERM "${pids[entry-1]}"
wait_until 30 'the entry daemon drains' grep -q 'drain' "$work/entry-1.log"
pause_workers false
await_end entry-1
for number in $(seq 20); do
    wait "${requests[$((number - 1))]}" || fail "request $number was aborted by the stop of its entry daemon"
    grep -q "^check:[0-9a-f]*:drain $number\$" "$work/answer-$number" || fail "request $number was answered: $(cat "$work/answer-$number")"
done
passed 'all twenty requests in progress were answered'

victim=$(owner_of_shards)
kill -TERM "${pids[scheduler-$victim]}"
await_end "scheduler-$victim"
stopped=$(now_ms)
all_owned() {
    local number sum=0
    for number in 1 2 3; do
        [ "$number" = "$victim" ] || sum=$((sum + $(owned_shards "$number")))
    done
    [ "$sum" -eq 2 ]
}
wait_until 120 'the other schedulers own both shards' all_owned
passed "all shards have an owner $(($(now_ms) - stopped)) ms after the end of scheduler-$victim"
wait_rounds 2
[ "$(count_of_workers attempts_repeated)" -eq 0 ] || fail "an attempt was started twice"
[ "$(count_of_workers lapses)" -eq 0 ] || fail "a task lost its lease in a planned stop"
passed 'no attempt was started twice and no lease lapsed'
end_work

#!/usr/bin/env bash
# Kills a scheduler that owns shards while batch jobs and watchers run. Guards against shards that no other scheduler takes
# over, tasks that are started again although they still run, and jobs that are lost with their owner.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
deployment_start 3 6
begin_work --repeat_unanswered --checks 40 --holds 10 --batch 24 --watchers 4 --batch_duration_ms 12000
victim=$(owner_of_shards)
others=()
for number in 1 2 3; do
    [ "$number" = "$victim" ] || others+=("$number")
done
lost=$(owned_shards "$victim")
starts_before=$(count_of_workers starts)
kill_daemon "scheduler-$victim"
killed=$(now_ms)
all_owned() {
    [ $(($(owned_shards "${others[0]}") + $(owned_shards "${others[1]}"))) -eq 2 ]
}
wait_until 120 'the other schedulers own both shards' all_owned
passed "scheduler-$victim with $lost shards was killed; all shards have an owner again after $(($(now_ms) - killed)) ms"

# New jobs for both shards: with 16 keys, the probability that a shard gets none is 1 in 2^15.
submit() {
    [ "$(status_and_code -X POST -H 'Burdockspur-Caller: later' -H "Idempotency-Key: $1" -d "$later_job" "http://${entries[1]}/v1/jobs")" = '202 ' ]
}
later_job='{"kind":"batch","class":"later","team":"dispatch","cpu_millis":100,"memory_mb":1,"duration_ms":200,"payload":"later"}'
for number in $(seq 16); do
    wait_until 60 "job later-$number is accepted" submit "later-$number"
done
started_more() {
    [ "$(count_of_workers starts)" -gt "$starts_before" ]
}
wait_until 60 'a new start' started_more
passed "first new start at most $(($(now_ms) - killed)) ms after the kill"
wait_until 120 'all 16 later jobs complete' jobs_in_state completed 16 later
[ "$(count_of_workers attempts_repeated)" -eq 0 ] || fail "an attempt was started twice"
passed "no attempt was started twice"
end_work

#!/usr/bin/env bash
# Stops a scheduler that owns shards with SIGSTOP until other schedulers have taken its shards over, then resumes it with
# SIGCONT. Guards against an old owner that continues to schedule, so that jobs run twice or results are lost.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
deployment_start 3 6
begin_work --repeat_unanswered --checks 40 --holds 10 --batch 24 --watchers 4 --batch_duration_ms 10000
victim=$(owner_of_shards)
others=()
for number in 1 2 3; do
    [ "$number" = "$victim" ] || others+=("$number")
done
kill -STOP "${pids[scheduler-$victim]}"
stopped=$(now_ms)
all_owned() {
    [ $(($(owned_shards "${others[0]}") + $(owned_shards "${others[1]}"))) -eq 2 ]
}
wait_until 120 'the other schedulers own both shards' all_owned
passed "all shards of the stopped scheduler-$victim have another owner after $(($(now_ms) - stopped)) ms"
wait_rounds 1
kill -CONT "${pids[scheduler-$victim]}"
resumed=$(now_ms)
owns_nothing() {
    [ "$(owned_shards "$victim")" -eq 0 ] && status_of "${scheduler_admins[$victim]}" | grep -q '"shards"'
}
wait_until 60 'the resumed scheduler owns nothing' owns_nothing
passed "the resumed scheduler gave up its shards within $(($(now_ms) - resumed)) ms"
wait_rounds 2
[ "$(count_of_workers attempts_repeated)" -eq 0 ] || fail "an attempt was started twice"
check_running
end_work
passed "no attempt was started twice"

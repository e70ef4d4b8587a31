#!/usr/bin/env bash
# One worker crashes and loses its state, another one refuses connections while its tasks continue to run. Guards against
# attempts that start on another worker while the previous one may still run, and against tasks that are lost with their
# worker.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
# Short worker leases shorten the test; the same rules apply to them.
scheduler_settings='[worker]
lease_ms = 4000
renewal_ms = 1000'
deployment_start 2 4
control=127.0.0.1:$(sed -n 's/^control port=\([0-9]*\).*/\1/p' "$work/worker.out")
# No hold requests, because one that the worker may have run before its crash ends `unknown`; crashedkeytest.sh covers them.
begin_work --repeat_unanswered --checks 40 --holds 0 --batch 24 --watchers 4 --batch_duration_ms 10000

# count_of NUMBER NAME: prints a count of one worker; works also while its port is closed.
count_of() {
    curl -sS -f "http://$control/standin/counts?worker=${worker_names[$1]}" | sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p"
}
# fault_of NUMBER NAME VALUE: sets a fault of one worker; works also while its port is closed.
fault_of() {
    curl -sS -f -o /dev/null -X PUT -d "{\"name\":\"$2\",\"value\":$3}" "http://$control/standin/faults?worker=${worker_names[$1]}"
}
running_tasks() {
    echo $(($(count_of "$1" starts) - $(count_of "$1" completions) - $(count_of "$1" stops) - $(count_of "$1" lapses)))
}
# The two workers with most running tasks. Watchers run until the end of the test, so at least one worker has a task to lose.
mapfile -t victims < <(for number in "${!worker_names[@]}"; do echo "$(running_tasks "$number") $number"; done | sort -rn | head -n 2 | cut -d ' ' -f 2)
crashed=${victims[0]}
closed=${victims[1]}
[ "$(running_tasks "$crashed")" -gt 0 ] || fail "no task runs on the worker that is to crash"
fault_of "$crashed" crash 8000
fault_of "$closed" refuse_connections true
lost=$(count_of "$crashed" tasks_crashed)
wait_rounds 1
lapsed() {
    [ "$(running_tasks "$closed")" -eq 0 ]
}
wait_until 60 'tasks of the unreachable worker end by completion or lease' lapsed
passed "$lost tasks crashed on ${worker_names[$crashed]}; $(count_of "$closed" lapses) leases lapsed on ${worker_names[$closed]}"
resumed() {
    local metrics
    metrics=$(for admin in "${scheduler_admins[@]}"; do curl -s -m 5 "http://$admin/metrics"; done)
    [ "$(sed -n 's/^burdockspur_attempts_lost_total \([0-9]*\).*/\1/p' <<<"$metrics" | paste -sd + | bc)" -ge "$lost" ]
}
wait_until 120 "the schedulers count $lost lost attempts" resumed
fault_of "$closed" refuse_connections false
wait_until 60 'the crashed worker is back' curl -sf -m 5 -o /dev/null "http://${worker_endpoints[$crashed]}/standin/counts"
wait_rounds 2
[ "$(count_of_workers attempts_repeated)" -eq 0 ] || fail "an attempt was started twice"
passed 'no attempt was started twice'
check_running
end_work

#!/usr/bin/env bash
# One worker fails every task that it starts. Guards against jobs that fail although other workers can run them, and
# against a failing worker that keeps receiving tasks because it always has free capacity.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
deployment_start 2 4
set_fault "${worker_endpoints[0]}" fail_all_tasks true
begin_work --checks 40 --holds 10 --batch 40 --watchers 4 --batch_duration_ms 2000
wait_rounds 1
failures=$(curl -sS -f "http://${worker_endpoints[0]}/standin/counts" | sed -n 's/.*"failures":\([0-9]*\).*/\1/p')
echo "${worker_names[0]} failed $failures tasks"
end_work
failures=$(curl -sS -f "http://${worker_endpoints[0]}/standin/counts" | sed -n 's/.*"failures":\([0-9]*\).*/\1/p')
quarantines=0
for admin in "${scheduler_admins[@]}"; do
    count=$(curl -sS -f "http://$admin/metrics" | sed -n 's/^burdockspur_quarantines_total \([0-9]*\).*/\1/p')
    quarantines=$((quarantines + ${count:-0}))
done
[ "$failures" -gt 0 ] || fail "the worker never failed a task, so nothing was tested"
[ "$quarantines" -gt 0 ] || fail "a worker that failed $failures tasks was not put in quarantine"
passed "all jobs completed elsewhere after $failures failures; $quarantines quarantines"
check_running

#!/usr/bin/env bash
# All connections to the workers stop delivering data, twice, while requests and tasks are in progress; new connections
# work. Guards against requests that keep waiting on such a connection, requests that are sent a second time instead of
# being settled, and tasks that lose their leases.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
deployment_start 2 4
# All connections stop at once, so a caller may exhaust its retry budget; requests refused for that reason are repeated.
# Any other error is a failure, because a request on a silent connection can be settled over a new one.
begin_work --repeat_unanswered --deadline_ms 60000 --checks 60 --holds 20 --batch 12 --watchers 3 --batch_duration_ms 12000
for time in 1 2; do
    wait_rounds 1
    for endpoint in "${worker_endpoints[@]}"; do
        set_fault "$endpoint" silence_connections true
    done
    silenced=$(now_ms)
    curl -sS -f -m 60 -o /dev/null -X POST -H 'Burdockspur-Caller: silent' -H 'Burdockspur-Idempotent: true' \
        -H 'Burdockspur-Deadline-Ms: 20000' -d x "http://${entries[1]}/v1/services/check/requests" ||
        fail "no answer after connections stopped delivering data"
    passed "time $time: answered $(($(now_ms) - silenced)) ms after all connections stopped delivering data"
    wait_rounds 2
done
[ "$(count_of_workers keys_repeated)" -eq 0 ] || fail "a non-idempotent request ran twice"
[ "$(count_of_workers lapses)" -eq 0 ] || fail "a task lost its lease although new connections worked"
[ "$(count_of_workers attempts_repeated)" -eq 0 ] || fail "an attempt was started twice"
passed "no request or attempt ran twice and no lease lapsed"
check_running
end_work
echo "$(grep -c '^unanswered' "$work/work.log" || true) requests were refused because the retry budget was exhausted, and repeated"
if grep '^unanswered' "$work/work.log" | grep -v '"code":"retry_budget_exhausted".*"outcome":"refused"'; then
    fail "a request was not settled over a new connection"
fi
passed 'no request had an unknown outcome'

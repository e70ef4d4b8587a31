#!/usr/bin/env bash
# One worker answers later than the latency targets of its services. Guards against a burn report that misses slow
# answers, does not name the slow worker, or omits an entry host.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
deployment_start 2 4
set_fault "${worker_endpoints[1]}" slow 150
begin_work --checks 40 --holds 10 --batch 4 --watchers 1 --batch_duration_ms 3000
wait_rounds 4
burn() {
    "$build/daemons/burdockspurctl" burn --entry "${entries[1]}" --more_entries "${entries[2]}" "$@"
}
burn >"$work/burn.txt"
for service in check hold; do
    grep -q "^${worker_names[1]} .* worker  *$service " "$work/burn.txt" || fail "the report does not name ${worker_names[1]} for $service: $(cat "$work/burn.txt")"
done
passed "the report names the slow worker for both services"
burn --html "$work/burn.html" >/dev/null
grep -q '<svg' "$work/burn.html" || fail "the page has no plot"
end_work
counted() {
    "$build/daemons/burdockspurctl" burn --json --entry "$1" | grep -o '"long":{[^}]*}' | sed 's/.*"requests":\([0-9]*\).*/\1/' | paste -sd+
}
total=$(burn --json | grep -o '"long":{[^}]*}' | sed 's/.*"requests":\([0-9]*\).*/\1/' | paste -sd+)
[ $((total)) -eq $(($(counted "${entries[1]}") + $(counted "${entries[2]}"))) ] || fail "the counts of two hosts do not add up"
passed "the counts of both hosts add up to $((total)) requests"

#!/usr/bin/env bash
# One worker is paused for longer than its lease while jobs are being started on it. The jobs run on other workers and end;
# then the worker resumes and reads the delayed renewals and starts. Guards against a delayed renewal that makes the expired
# lease valid again, so that a delayed start runs a job a second time.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
# Short worker leases shorten the test; the same rules apply to them.
scheduler_settings='[worker]
lease_ms = 4000
renewal_ms = 1000'
deployment_start 2 6
control=127.0.0.1:$(sed -n 's/^control port=\([0-9]*\).*/\1/p' "$work/worker.out")
victim=${worker_names[0]}
# fault_of NAME VALUE: sets a fault of the worker.
fault_of() {
    curl -sS -f -o /dev/null -X PUT -d "{\"name\":\"$1\",\"value\":$2}" "http://$control/standin/faults?worker=$victim"
}
# submit CLASS COUNT: submits jobs that run for one second.
submit() {
    local number
    for number in $(seq 1 "$2"); do
        curl -sS -f -o /dev/null -X POST -H 'Burdockspur-Caller: lease' -H "Idempotency-Key: $1-$number" \
            -d "{\"kind\":\"batch\",\"class\":\"$1\",\"team\":\"team\",\"cpu_millis\":500,\"memory_mb\":64,\"accelerators\":0,\"duration_ms\":1000,\"urgent\":false,\"payload\":\"p\"}" \
            "http://${entries[1]}/v1/jobs"
    done
}
# entries_of_victim EVENT: prints the tasks with this event in the paused worker's journal since it resumed.
entries_of_victim() {
    curl -sS -f "http://$control/standin/journal?worker=$victim&after=$resumed_after" | grep -o '{[^{}]*}' |
        grep "\"event\":\"$1\"" | sed -n 's/.*"task":"\([^"]*\)".*/\1/p'
}
submit before 24
wait_until 60 'all workers take jobs' jobs_in_state completed 24 before
# The clock of the worker continues, so its leases expire during the pause.
fault_of pause_keeps_clock true
fault_of pause true
submit held 48
assigned=$(curl -sS -f "http://${entries[1]}/v1/jobs?state=assigned&limit=500" | grep -o "\"worker\":\"$victim\"" | wc -l)
[ "$assigned" -gt 0 ] || fail 'no job was assigned to the paused worker'
wait_until 120 'the jobs of the paused worker have run elsewhere' jobs_in_state completed 48 held
passed "$assigned jobs were assigned to the paused worker, all 48 have run elsewhere"
resumed_after=$(curl -sS -f "http://$control/standin/journal?worker=$victim" | grep -o '"sequence":[0-9]*' | tail -n 1 | cut -d : -f 2)
fault_of pause false
# The worker reads the delayed calls before any new one.
later=0
starts_again() {
    later=$((later + 1))
    submit "later-$later" 4
    [ -n "$(entries_of_victim task_started)" ]
}
wait_until 60 'the resumed worker starts jobs' starts_again
# Every job of the class had ended before the worker resumed.
held=$(curl -sS -f "http://${entries[1]}/v1/jobs?state=completed&limit=500" | grep -o '{[^{}]*}' | grep '"class":"held"' | sed -n 's/.*"job_id":"\([^"]*\)".*/\1/p' | sort)
[ "$(wc -l <<<"$held")" -eq 48 ] || fail 'not all jobs are listed'
repeated=$(entries_of_victim task_started | sort | comm -12 - <(echo "$held"))
[ -z "$repeated" ] || fail "jobs started after their end: $repeated"
[ "$(count_of_workers attempts_repeated)" -eq 0 ] || fail "an attempt was started twice"
passed 'no job started after its end'
check_running

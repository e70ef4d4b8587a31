#!/usr/bin/env bash
# Cancels many jobs at once while some of them run, some wait and further jobs are submitted. Guards against cancelled
# jobs that continue to run, jobs that end twice or never, and requests that are delayed until all cancellations are done.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
deployment_start 2 4
begin_work --deadline_ms 60000 --checks 40 --holds 10 --batch 8 --watchers 3 --batch_duration_ms 3000
wave=240
cancelled=160
later=60

# submit FIRST LAST: submits jobs, eight at a time, and writes their ids to a file.
submit() {
    seq "$1" "$2" | xargs -P 8 -I{} curl -sS -m 60 -X POST -H 'Burdockspur-Caller: wave' -H 'Idempotency-Key: wave-{}' \
        -d '{"kind":"batch","class":"wave","team":"dispatch","cpu_millis":1000,"memory_mb":10,"duration_ms":2000,"payload":"{}"}' \
        -o "$work/job-{}" "http://${entries[1]}/v1/jobs"
    for number in $(seq "$1" "$2"); do
        grep -o '"job_id":"[^"]*"' "$work/job-$number" | cut -d '"' -f 4 >>"$work/ids-$1"
    done
}
# ids_in_state STATE: prints the ids of the test's jobs in a state, as the entry daemon lists them.
ids_in_state() {
    curl -sS -f -m 30 "http://${entries[2]}/v1/jobs?state=$1&limit=500" | grep -o '{[^{}]*"class":"wave"[^{}]*}' |
        sed 's/.*"job_id":"\([^"]*\)".*/\1/' | sort
}
# ends STATE: prints the ids of the test's tasks that ended in this state on the workers, one line for each end.
ends() {
    for endpoint in "${worker_endpoints[@]}"; do
        curl -sS -f "http://$endpoint/standin/journal?limit=20000" | grep -o '{[^{}]*}' | grep '"event":"task_ended"' | grep "\"state\":\"$1\"" |
            sed 's/.*"task":"\([^"]*\)".*/\1/'
    done | grep -F -x -f "$work/ids" | sort || true
}
submit 1 "$wave"
[ "$(wc -l <"$work/ids-1")" -eq "$wave" ] || fail "a submission was not accepted"
submit $((wave + 1)) $((wave + later)) &
submitting=$!
before=$(rounds)
# The first jobs run or have completed and the last ones wait; the cancelled jobs are chosen from all of them at random.
shuf -n "$cancelled" --random-source=<(yes) "$work/ids-1" >"$work/cancelled"
xargs -P 8 -I{} curl -sS -f -m 60 -o /dev/null -X DELETE "http://${entries[1]}/v1/jobs/{}" <"$work/cancelled"
wait "$submitting"
cat "$work"/ids-* >"$work/ids"
[ "$(sort -u "$work/ids" | wc -l)" -eq $((wave + later)) ] || fail "two submissions got one job"
all_ended() {
    [ $(($(ids_in_state completed | wc -l) + $(ids_in_state cancelled | wc -l))) -eq $((wave + later)) ]
}
wait_until 120 'every job of the test ends' all_ended
wait_rounds 1
ids_in_state cancelled >"$work/cancelled-jobs"
ids_in_state completed >"$work/completed-jobs"
ends completed >"$work/completions"
diff "$work/completed-jobs" "$work/completions" >/dev/null || fail "the completed jobs are not those that the workers completed once"
[ -z "$(comm -23 "$work/cancelled-jobs" <(sort "$work/cancelled"))" ] || fail "a job ended as cancelled without a cancellation"
[ -z "$(ends stopped | uniq -d)" ] || fail "a job was stopped twice"
[ "$(count_of_workers attempts_repeated)" -eq 0 ] || fail "an attempt was started twice"
[ "$(count_of_workers lapses)" -eq 0 ] || fail "a task lost its lease"
passed "$(wc -l <"$work/cancelled-jobs") jobs cancelled, of them $(ends stopped | wc -l) while they ran, $(wc -l <"$work/completed-jobs") completed; $(($(rounds) - before)) rounds of requests meanwhile"
check_running
end_work

#!/usr/bin/env bash
# Under load, the table refuses calls, then does not answer, then the object store refuses calls. Guards against requests
# that depend on the stores, tasks that end during the outage, accepted jobs that are lost, and submissions that are
# acknowledged before they are durable.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
deployment_start 2 4
# Runs without --repeat_unanswered: every request must be answered at its first attempt.
begin_work --deadline_ms 60000 --checks 40 --holds 10 --batch 12 --watchers 3 --batch_duration_ms 15000
job='{"kind":"batch","class":"during","team":"dispatch","cpu_millis":100,"memory_mb":1,"duration_ms":300,"payload":"during"}'

# submit KEY: prints the status and code of a submission.
submit() {
    status_and_code -X POST -H 'Burdockspur-Caller: outage' -H "Idempotency-Key: $1" -d "$job" \
        "http://${entries[$(($RANDOM % 2 + 1))]}/v1/jobs"
}
accepted() {
    [ "$(submit "$1")" = '202 ' ]
}

asked=0
for fault in table_outage table_silent object_outage; do
    lapses=$(count_of_workers lapses)
    stops=$(count_of_workers stops)
    set_fault "$platform" "$fault" true
    keys=()
    submissions=()
    for number in 1 2 3 4; do
        keys+=("$fault-$number")
        submit "$fault-$number" >"$work/$fault-$number" &
        submissions+=($!)
    done
    asked=$((asked + 4))
    wait_rounds 4
    sleep 5 # longer than a takeover and an owner's lease, so that an outage that ends the ownership is noticed
    wait_rounds 1
    [ "$(count_of_workers lapses)" -eq "$lapses" ] || fail "$fault: a task lost its lease"
    [ "$(count_of_workers stops)" -eq "$stops" ] || fail "$fault: a running task was stopped"
    set_fault "$platform" "$fault" false
    restored=$(now_ms)
    wait "${submissions[@]}"
    for key in "${keys[@]}"; do
        case $(cat "$work/$key") in
        '202 ' | '503 unavailable') passed "$key during the outage: $(cat "$work/$key")" ;;
        *) fail "$key during the outage was answered '$(cat "$work/$key")', expected 202 or 503 unavailable" ;;
        esac
        # The same key finds the same job, whether or not the first submission was accepted.
        wait_until 60 "$key is accepted after the outage" accepted "$key"
    done
    passed "$fault: tasks kept running; submissions accepted $(($(now_ms) - restored)) ms after its end"
done
wait_until 120 "all $asked jobs submitted during outages complete" jobs_in_state completed "$asked" during
[ "$(count_of_workers attempts_repeated)" -eq 0 ] || fail "an attempt was started twice"
check_running
end_work

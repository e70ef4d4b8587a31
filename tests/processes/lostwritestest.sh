#!/usr/bin/env bash
# The answers to half of all committed table transactions are lost during submissions, completions and a preset change.
# Guards against writes that are repeated without a check, so that jobs run twice, and against changes that are reported
# as conflicts or failures although they took effect.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
deployment_start 2 4
set_fault "$platform" lose_write_answers 0.5
begin_work --repeat_unanswered --checks 20 --holds 5 --batch 24 --watchers 3 --batch_duration_ms 2000
wait_rounds 4

answers_lost() {
    curl -sS -f "http://$platform/standin/counts" | sed -n 's/.*"answers_lost":\([0-9]*\).*/\1/p'
}

# Only the answer to the write of the configuration is lost.
set_fault "$platform" lose_write_answers 1 '"match":"config","count":1'
lost_before=$(answers_lost)
code=0
"$build/daemons/burdockspurctl" presets switch peak --expected_version 1 --entry "${entries[1]}" >"$work/switch" 2>&1 || code=$?
[ "$code" -eq 0 ] || fail "a preset change whose answer was lost ended with exit code $code: $(cat "$work/switch")"
[ "$(answers_lost)" -eq $((lost_before + 1)) ] || fail "the answer to the write of the configuration was not lost"
config_is() {
    local admin
    for admin in "${entry_admins[@]}" "${scheduler_admins[@]}"; do
        status_of "$admin" | grep -q "\"config_version\":$1[,}]" || return 1
    done
}
wait_until 60 'every daemon has version 2' config_is 2
passed 'the preset change whose answer was lost is version 2 in every daemon'

set_fault "$platform" lose_write_answers 0.5
wait_rounds 4
lost=$(answers_lost)
[ "$lost" -gt 0 ] || fail "no answer was lost"
config_is 2 || fail "the configuration is no longer version 2"
[ "$(count_of_workers attempts_repeated)" -eq 0 ] || fail "an attempt was started twice"
passed "$lost answers were lost and nothing was started twice"
check_running
end_work

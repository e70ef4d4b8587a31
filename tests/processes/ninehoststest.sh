#!/usr/bin/env bash
# Runs nine entry hosts, 32 workers and nine shards; under load, one scheduler is killed, another is stopped and resumed,
# and an entry daemon is killed. Guards against faults that small deployments do not show: shards without an owner, and
# work that is lost or executed twice with many schedulers.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
sed 's/^shards = .*/shards = 9/' scripts/lib/demo-configuration.toml >"$work/configuration.toml"
configuration=$work/configuration.toml
deployment_start 9 32
wait_until 60 'nine shards have owners' all_owned 9 1 2 3 4 5 6 7 8 9
begin_work --repeat_unanswered --checks 60 --holds 20 --batch 60 --watchers 9 --batch_duration_ms 6000
# select_others NUMBER...: sets others to all hosts except these.
select_others() {
    others=()
    for number in 1 2 3 4 5 6 7 8 9; do
        [[ " $* " == *" $number "* ]] || others+=("$number")
    done
}
killed=$(owner_of_shards)
select_others "$killed"
kill_daemon "scheduler-$killed"
wait_until 120 'the other schedulers own all nine shards' all_owned 9 "${others[@]}"
frozen=$(owner_of_shards)
select_others "$killed" "$frozen"
kill -STOP "${pids[scheduler-$frozen]}"
kill_daemon entry-9
wait_until 120 'the other schedulers own all nine shards' all_owned 9 "${others[@]}"
passed "scheduler-$killed killed, scheduler-$frozen frozen, entry-9 killed: all nine shards have other owners"
wait_rounds 1
kill -CONT "${pids[scheduler-$frozen]}"
wait_until 120 'each shard has one owner' all_owned 9 "${others[@]}" "$frozen"
wait_rounds 1
[ "$(count_of_workers attempts_repeated)" -eq 0 ] || fail "an attempt was started twice"
check_running
end_work

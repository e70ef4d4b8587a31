#!/usr/bin/env bash
# Kills and restarts one of two schedulers that own four shards while jobs and watchers run. Guards against a restarted
# scheduler that gets no shard, handovers that stop or restart running tasks, and shards that move back and forth.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
sed 's/^shards = .*/shards = 4/' scripts/lib/demo-configuration.toml >"$work/configuration.toml"
configuration=$work/configuration.toml
scheduler_settings='[shard]
rebalance_ms = 2000'
deployment_start 2 16
owns() {
    [ "$(owned_shards "$1")" -eq "$2" ]
}
both_own_two() {
    owns 1 2 && owns 2 2
}
handovers() {
    cat "$work"/scheduler-*.log "$work"/ended-*.log 2>/dev/null | grep -c 'event=handover_begins' || true
}
wait_until 120 'both schedulers own two shards' both_own_two
passed "both schedulers own two shards after $(handovers) handovers"
begin_work --repeat_unanswered --checks 40 --holds 10 --batch 24 --watchers 4 --batch_duration_ms 30000
kill_daemon scheduler-1
wait_until 120 'scheduler-2 owns all shards' owns 2 4
passed 'all shards have gone to scheduler-2'
wait_rounds 1
mv "$work/scheduler-1.log" "$work/ended-1.log"
start_scheduler 1
publish_hosts 2
restarted=$(now_ms)
wait_until 120 'both schedulers own two shards again' both_own_two
passed "both schedulers own two shards again $(($(now_ms) - restarted)) ms after the restart"

# The period of observation, in rounds of work, covers three rebalance periods.
before=$(handovers)
began=$(now_ms)
while [ $(($(now_ms) - began)) -lt 6000 ]; do wait_rounds 1; done
[ "$(handovers)" -eq "$before" ] || fail 'a shard was handed over although both schedulers own their share'
both_own_two || fail 'the shards moved although both schedulers own their share'
passed 'no further handover within three rebalance periods'
[ "$(count_of_workers attempts_repeated)" -eq 0 ] || fail 'an attempt was started twice'
[ "$(count_of_workers stops)" -eq 0 ] || fail 'a running task was stopped'
passed 'no task was stopped or started twice'
end_work

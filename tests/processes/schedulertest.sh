#!/usr/bin/env bash
# Runs two schedulers and three shards. Guards against shards that are not taken over after a kill, a takeover that does
# not raise the epoch, a drain that does not release every shard or ends with an error, and settings that are not checked.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
sed 's/^shards = .*/shards = 3/' scripts/lib/demo-configuration.toml >"$work/configuration.toml"
configuration=$work/configuration.toml
scheduler_settings=$'[shard]\ntakeover_ms = 1500\nheartbeat_ms = 300\nowner_lease_ms = 1200'
deployment_start 2 2

settings_of scheduler 1
sed 's/takeover_ms = 1500/takeover_ms = "soon"/' "$work/scheduler-1.toml" >"$work/wrong.toml"
code=0
"$build/daemons/burdockspur-scheduler" --settings "$work/wrong.toml" --check >/dev/null 2>"$work/wrong.log" || code=$?
[ "$code" = 2 ] || fail "--check of wrong settings ended with $code"
passed "--check of wrong settings ends with 2"

owns_all() {
    [ "$(owned_shards "$1")" -eq 3 ]
}
all_owned() {
    [ $(($(owned_shards 1) + $(owned_shards 2))) -eq 3 ]
}
wait_until 60 'every shard has an owner' all_owned
victim=$(owner_of_shards)
other=$((3 - victim))
kill_daemon "scheduler-$victim"
wait_until 60 "scheduler-$other owns every shard" owns_all "$other"
grep -q 'event=shard_recovered.*epoch=2' "$work/scheduler-$other.log" || fail "the takeover did not raise the epoch"
passed "scheduler-$other took over and raised the epoch"

start_scheduler "$victim"
kill -TERM "${pids[scheduler-$other]}"
code=0
wait "${pids[scheduler-$other]}" || code=$?
unset "pids[scheduler-$other]"
[ "$code" = 0 ] || fail "drain ended with code $code"
grep -q 'event=drain_ends released=true' "$work/scheduler-$other.log" || fail "drain did not release the shards"
wait_until 60 "scheduler-$victim owns every shard" owns_all "$victim"
passed "scheduler-$other released every shard, and scheduler-$victim owns them"

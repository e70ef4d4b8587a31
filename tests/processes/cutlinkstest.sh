#!/usr/bin/env bash
# Each entry host, the platform and the workers have separate network namespaces. One entry host loses its link to the
# platform (packets are dropped), then to the workers, then to everything (the link goes down). Guards against work that
# two owners start, and against jobs that are lost with the disconnected host.
set -euo pipefail
cd "$(dirname "$0")/../.."
if [ -z "${BURDOCKSPUR_HUB:-}" ]; then
    # The script itself runs in a namespace that connects the others and that is removed when the script ends.
    BURDOCKSPUR_HUB=1 exec unshare --map-root-user --net "$0" "$@"
fi
source scripts/lib/deployment.sh
deployment_begin "$1"
network=10.77.0
ip link set lo up
ip link add hub type bridge
ip address add "$network.254/24" dev hub
ip link set hub up

# add_namespace NAME NUMBER: creates a namespace with a link to the hub; a sleeping process keeps it open.
add_namespace() {
    start "net-$1" ready unshare --net sh -c 'echo ready; exec sleep 3600'
    local holder=${pids[net-$1]}
    ip link add "link-$1" type veth peer name eth0 netns "$holder"
    ip link set "link-$1" master hub up
    inside "$1" ip link set lo up
    inside "$1" ip address add "$network.$2/24" dev eth0
    inside "$1" ip link set eth0 up
}
# inside NAME COMMAND...: runs a command in a namespace.
inside() {
    nsenter "--net=/proc/${pids[net-$1]}/ns/net" "${@:2}"
}
# place NAME PROCESS NUMBER: makes a process start later in this namespace with this address.
place() {
    namespaces[$2]=${pids[net-$1]}
    addresses[$2]=$network.$3
}
add_namespace platform 1
add_namespace workers 2
place platform platform 1
place workers worker 2
for number in 1 2 3; do
    add_namespace "host$number" "1$number"
    place "host$number" "entry-$number" "1$number"
    place "host$number" "scheduler-$number" "1$number"
done
# Short worker leases, so that they expire while a link is cut.
scheduler_settings='[worker]
lease_ms = 4000
renewal_ms = 1000'
deployment_start 3 6
begin_work --repeat_unanswered --deadline_ms 4000 --checks 30 --holds 6 --batch 24 --watchers 4 --batch_duration_ms 20000

choose_victim() {
    victim=$(owner_of_shards)
    others=()
    for number in 1 2 3; do
        [ "$number" = "$victim" ] || others+=("$number")
    done
}
# drop_packets NAME add|del: starts or stops dropping the packets from a namespace to the victim, so that its connections
# receive no data.
drop_packets() {
    inside "$1" ip route "$2" blackhole "$network.1$victim/32"
}
# expect_recovery WHAT: checks that every shard has one owner and that requests are answered.
expect_recovery() {
    wait_until 120 "$1: every shard has one owner again" all_owned 2 1 2 3
    wait_rounds 1
    passed "$1: every shard has one owner after the link is back"
}

choose_victim
drop_packets platform add
wait_until 120 'the other hosts own both shards' all_owned 2 "${others[@]}"
wait_rounds 1
drop_packets platform del
expect_recovery "host-$victim without the platform, its shards were taken over"

choose_victim
lapses=$(count_of_workers lapses)
drop_packets workers add
lapsed() {
    [ "$(count_of_workers lapses)" -gt "$lapses" ]
}
wait_until 120 'leases that the disconnected owner cannot renew expire' lapsed
wait_rounds 1
drop_packets workers del
expect_recovery "host-$victim without the workers, $(($(count_of_workers lapses) - lapses)) leases expired"

choose_victim
ip link set "link-host$victim" down
wait_until 120 'the other hosts own both shards' all_owned 2 "${others[@]}"
wait_rounds 1
ip link set "link-host$victim" up
expect_recovery "host-$victim without any link, its shards were taken over"

[ "$(count_of_workers attempts_repeated)" -eq 0 ] || fail "an attempt was started twice"
check_running
end_work

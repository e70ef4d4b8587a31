#!/usr/bin/env bash
# Two operators switch the preset at the same time, based on the same version, through two hosts. Guards against both
# changes being accepted, both being rejected, and daemons that revert to an older version or never get the new one.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
deployment_start 3 3

# config_version ADDRESS:PORT: prints the version of the configuration that a daemon uses.
config_version() {
    status_of "$1" | sed -n 's/.*"config_version":\([0-9]*\).*/\1/p'
}
switch() {
    "$build/daemons/burdockspurctl" presets switch "$1" --expected_version "$2" --entry "$3" >"$work/switch-$1" 2>&1
}
declare -A highest=()
# note_versions: fails when the version of any daemon is lower than before.
note_versions() {
    local admin found
    for admin in "${entry_admins[@]}" "${scheduler_admins[@]}"; do
        found=$(config_version "$admin")
        [ "${found:-0}" -ge "${highest[$admin]:-0}" ] || fail "$admin reverted from version ${highest[$admin]} to $found"
        highest[$admin]=${found:-0}
    done
}
all_have() {
    local admin
    note_versions
    for admin in "${entry_admins[@]}" "${scheduler_admins[@]}"; do
        [ "${highest[$admin]}" -ge "$1" ] || return 1
    done
}
wait_until 60 'every daemon has version 1' all_have 1
for version in 1 2 3 4 5 6; do
    first=0
    second=0
    switch peak "$version" "${entries[1]}" &
    peak=$!
    switch maintenance "$version" "${entries[2]}" &
    maintenance=$!
    wait "$peak" || first=$?
    wait "$maintenance" || second=$?
    accepted=$(now_ms)
    case "$first $second" in
    '0 4') winner=peak ;;
    '4 0') winner=maintenance ;;
    *) fail "the switches from version $version ended with $first and $second, expected 0 and 4: $(cat "$work"/switch-*)" ;;
    esac
    wait_until 60 "every daemon has version $((version + 1))" all_have $((version + 1))
    arrived=$(($(now_ms) - accepted))
    for number in 1 2 3; do
        status_of "${entry_admins[$number]}" | grep -q "\"preset\":\"$winner\"" || fail "host $number does not show the preset $winner"
    done
    passed "$winner won version $((version + 1)); every daemon showed it at most $arrived ms after both answers (target 4000)"
done
for _ in $(seq 40); do
    note_versions
    sleep 0.1
done
passed 'no daemon reverted in a further 4 s'
check_running

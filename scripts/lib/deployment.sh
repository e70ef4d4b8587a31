# Functions that start and end a deployment on loopback addresses: stand-ins for the platform and the
# workers, and entry hosts with one entry daemon and one scheduler daemon each. Sourced by scripts/demo,
# scripts/bench and the tests in tests/processes.
#
# deployment_start sets: platform (ADDRESS:PORT), entries[] and entry_admins[], schedulers[] and
# scheduler_admins[] (ADDRESS:PORT), worker_names[], worker_endpoints[], pids[NAME], work (directory with
# settings and logs).

declare -A pids=()
entries=()
entry_admins=()
schedulers=()
scheduler_admins=()
worker_names=()
worker_endpoints=()

# deployment_begin BUILD_DIRECTORY: prepares the working directory and the clean-up.
deployment_begin() {
    build=$1
    work=$(mktemp -d "${TMPDIR:-/tmp}/burdockspur.XXXXXX")
    trap deployment_end EXIT
    trap 'exit 130' INT TERM
}

# Ends every process that was started here, by its id, and removes the working directory.
deployment_end() {
    local status=$?
    local pid
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -TERM "$pid" 2>/dev/null || true
    done
    local left=100
    for pid in "${pids[@]}"; do
        while kill -0 "$pid" 2>/dev/null && [ "$left" -gt 0 ]; do
            sleep 0.05
            left=$((left - 1))
        done
        kill -KILL "$pid" 2>/dev/null || true
    done
    if [ "$status" -ne 0 ] && [ -n "${BURDOCKSPUR_KEEP_LOGS:-}" ]; then
        echo "logs kept in $work" >&2
    else
        rm -rf "$work"
    fi
    return "$status"
}

# start NAME PATTERN PROGRAM [ARGUMENT...]: starts a program and waits until its output has PATTERN.
start() {
    local name=$1 pattern=$2
    shift 2
    "$@" >"$work/$name.out" 2>"$work/$name.log" </dev/null &
    pids[$name]=$!
    wait_for_line "$work/$name.out" "$pattern" "$name" "${pids[$name]}"
}

# wait_for_line FILE PATTERN NAME PID: waits for a line while the process lives.
wait_for_line() {
    until grep -q "$2" "$1" 2>/dev/null; do
        if ! kill -0 "$4" 2>/dev/null; then
            echo "$3 ended before it was ready:" >&2
            tail -n 20 "$work/$3.log" >&2
            return 1
        fi
        sleep 0.02
    done
}

# value_of FILE KEY: first value of KEY in lines of key=value pairs.
value_of() {
    sed -n "s/.*\b$2=\([^ ]*\).*/\1/p" "$1" | head -n 1
}

start_platform() {
    start platform 'port=' "$build/standins/standin-platform" --address 127.0.0.1 --port 0 "$@"
    platform_port=$(value_of "$work/platform.out" port)
    platform=127.0.0.1:$platform_port
}

# start_workers PROCESS_NAME COUNT [FLAG...]: starts worker stand-ins in one process.
start_workers() {
    local process=$1 count=$2
    shift 2
    start "$process" 'control port=' "$build/standins/standin-worker" --workers "$count" --name_prefix "$process-" --first_port 0 "$@"
    local line
    while read -r line; do
        worker_names+=("$(sed 's/.*worker=\([^ ]*\).*/\1/' <<<"$line")")
        worker_endpoints+=("127.0.0.1:$(sed 's/.*port=\([0-9]*\).*/\1/' <<<"$line")")
    done < <(grep '^worker=' "$work/$process.out")
}

zone_of() {
    if [ $(($1 % 2)) -eq 1 ]; then echo zone-a; else echo zone-b; fi
}

# settings_of PROGRAM HOST_NUMBER: writes the settings file of a daemon.
settings_of() {
    local program=$1 number=$2
    {
        printf '[host]\nname = "host-%s"\nzone = "%s"\nregion = "north"\n' "$number" "$(zone_of "$number")"
        printf '[log]\nlevel = "%s"\n' "${BURDOCKSPUR_LOG_LEVEL:-info}"
        printf '[admin]\naddress = "127.0.0.1"\nport = 0\n'
        printf '[table]\naddress = "127.0.0.1"\nport = %s\n' "$platform_port"
        printf '[hostlist]\naddress = "127.0.0.1"\nport = %s\n' "$platform_port"
        if [ "$program" = entry ]; then
            printf '[callers]\naddress = "127.0.0.1"\nport = 0\n'
        else
            printf '[objects]\naddress = "127.0.0.1"\nport = %s\n' "$platform_port"
            printf '[frames]\naddress = "127.0.0.1"\nport = 0\n'
            printf '%s\n' "${scheduler_settings:-}"
        fi
    } >"$work/$program-$number.toml"
}

start_scheduler() {
    settings_of scheduler "$1"
    start "scheduler-$1" '^ready' "$build/daemons/burdockspur-scheduler" --settings "$work/scheduler-$1.toml"
    schedulers[$1]=127.0.0.1:$(value_of "$work/scheduler-$1.out" frame_port)
    scheduler_admins[$1]=127.0.0.1:$(value_of "$work/scheduler-$1.out" admin_port)
}

start_entry() {
    settings_of entry "$1"
    start "entry-$1" '^ready' "$build/daemons/burdockspur-entry" --settings "$work/entry-$1.toml"
    entries[$1]=127.0.0.1:$(value_of "$work/entry-$1.out" callers_port)
    entry_admins[$1]=127.0.0.1:$(value_of "$work/entry-$1.out" admin_port)
}

# publish_hosts HOSTS: gives the host list to the platform stand-in.
publish_hosts() {
    local separator='' index number
    {
        printf '{"generation":1,"hosts":['
        for index in "${!worker_names[@]}"; do
            printf '%s{"name":"%s","role":"worker","address":"127.0.0.1","port":%s,"zone":"%s","rack":"rack-%s","region":"north","state":"live",' \
                "$separator" "${worker_names[$index]}" "${worker_endpoints[$index]#*:}" "$(zone_of "$index")" $((index / 8))
            printf '"cpu_millis":16000,"memory_mb":60000,"accelerators":0,"slots":8,"connections":64}'
            separator=,
        done
        for number in $(seq 1 "$1"); do
            printf '%s{"name":"host-%s","role":"entry","address":"127.0.0.1","port":%s,"frame_port":%s,"zone":"%s","rack":"rack-h%s","region":"north","state":"live"}' \
                "$separator" "$number" "${entries[$number]#*:}" "${schedulers[$number]#*:}" "$(zone_of "$number")" "$number"
        done
        printf ']}'
    } >"$work/hosts.json"
    curl -sS -f -o /dev/null -X PUT --data-binary "@$work/hosts.json" "http://$platform/standin/hosts"
}

# deployment_start HOSTS WORKERS: starts everything, publishes the host list and the configuration.
deployment_start() {
    local hosts=$1 workers=$2 number
    start_platform
    start_workers worker "$workers"
    for number in $(seq 1 "$hosts"); do
        start_scheduler "$number"
        start_entry "$number"
    done
    publish_hosts "$hosts"
    "$build/daemons/burdockspurctl" config init "${configuration:-scripts/lib/demo-configuration.toml}" --entry "${entries[1]}" >/dev/null
}

# join_by SEPARATOR ITEM...
join_by() {
    local IFS=$1
    shift
    echo "$*"
}

# named_workers: NAME=ADDRESS:PORT,... of all workers.
named_workers() {
    local list=() index
    for index in "${!worker_names[@]}"; do
        list+=("${worker_names[$index]}=${worker_endpoints[$index]}")
    done
    join_by , "${list[@]}"
}

# Functions that start and end a deployment on loopback addresses: stand-ins for the platform and the
# workers, and entry hosts with one entry daemon and one scheduler daemon each. Sourced by scripts/demo,
# scripts/bench and the tests in tests/processes.
#
# deployment_start sets: platform (ADDRESS:PORT), entries[] and entry_admins[], schedulers[] and
# scheduler_admins[] (ADDRESS:PORT), worker_names[], worker_endpoints[], pids[NAME], work (directory of settings
# and logs).

declare -A pids=()
entries=()
entry_admins=()
schedulers=()
scheduler_admins=()
worker_names=()
worker_endpoints=()
# Optional settings by process name: the address of a process, and the network namespace in which it starts, given as the
# id of a process in that namespace.
declare -A addresses=()
declare -A namespaces=()

# address_of NAME: prints the address of a process.
address_of() { echo "${addresses[$1]:-127.0.0.1}"; }

# deployment_begin BUILD_DIRECTORY: prepares the working directory and the clean-up.
deployment_begin() {
    build=$1
    work=$(mktemp -d "${TMPDIR:-/tmp}/burdockspur.XXXXXX")
    trap deployment_end EXIT
    trap 'exit 130' INT TERM
}

# end_processes PATTERN: ends the processes whose names match, by their ids; kills those that have not ended after 5 s.
end_processes() {
    local name pid left=100
    for name in "${!pids[@]}"; do
        if [[ $name == $1 ]]; then
            kill -CONT "${pids[$name]}" 2>/dev/null || true
            kill -TERM "${pids[$name]}" 2>/dev/null || true
        fi
    done
    for name in "${!pids[@]}"; do
        [[ $name == $1 ]] || continue
        pid=${pids[$name]}
        while kill -0 "$pid" 2>/dev/null && [ "$left" -gt 0 ]; do
            sleep 0.05
            left=$((left - 1))
        done
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
        unset "pids[$name]"
    done
}

# Ends every process that the script has started and removes the working directory.
deployment_end() {
    local status=$?
    # The daemons end first, because a scheduler needs the table service to release its shards.
    end_processes 'entry-*'
    end_processes 'scheduler-*'
    end_processes '*'
    if [ "$status" -ne 0 ] && [ -n "${BURDOCKSPUR_KEEP_LOGS:-}" ]; then
        echo "logs kept in $work" >&2
    else
        rm -rf "$work"
    fi
    return "$status"
}

# start NAME PATTERN PROGRAM [ARGUMENT...]: starts a program and waits until its output contains PATTERN.
start() {
    local name=$1 pattern=$2 enter=()
    shift 2
    [ -z "${namespaces[$name]:-}" ] || enter=(nsenter "--net=/proc/${namespaces[$name]}/ns/net")
    "${enter[@]}" "$@" >"$work/$name.out" 2>"$work/$name.log" </dev/null &
    pids[$name]=$!
    wait_for_line "$work/$name.out" "$pattern" "$name" "${pids[$name]}"
}

# wait_for_line FILE PATTERN NAME PID: waits until the file contains PATTERN; fails when the process ends before.
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

# ticks_of PID: prints the processor time of a process, user and system, in clock ticks.
ticks_of() { sed 's/.*) //' "/proc/$1/stat" | awk '{print $12 + $13}'; }

# resident_kb PID: prints the resident memory of a process in KB.
resident_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

# value_of FILE KEY: prints the first value of KEY in lines of key=value pairs.
value_of() {
    sed -n "s/.*\b$2=\([^ ]*\).*/\1/p" "$1" | head -n 1
}

start_platform() {
    start platform 'port=' "$build/standins/standin-platform" --address "$(address_of platform)" --port 0 "$@"
    platform_port=$(value_of "$work/platform.out" port)
    platform=$(address_of platform):$platform_port
}

# start_workers PROCESS_NAME COUNT [FLAG...]: starts worker stand-ins in one process.
start_workers() {
    local process=$1 count=$2
    shift 2
    start "$process" 'control port=' "$build/standins/standin-worker" --address "$(address_of "$process")" --workers "$count" --name_prefix "$process-" --first_port 0 "$@"
    local line
    while read -r line; do
        worker_names+=("$(sed 's/.*worker=\([^ ]*\).*/\1/' <<<"$line")")
        worker_endpoints+=("$(address_of "$process"):$(sed 's/.*port=\([0-9]*\).*/\1/' <<<"$line")")
    done < <(grep '^worker=' "$work/$process.out")
}

zone_of() {
    if [ $(($1 % 2)) -eq 1 ]; then echo zone-a; else echo zone-b; fi
}

# settings_of PROGRAM HOST_NUMBER: writes the settings file of a daemon.
settings_of() {
    local program=$1 number=$2 own store
    own=$(address_of "$1-$2")
    store=$(address_of platform)
    {
        printf '[host]\nname = "host-%s"\nzone = "%s"\nregion = "north"\n' "$number" "$(zone_of "$number")"
        # A version without this setting has no bound that it could lower.
        if [ -n "${machine_memory_mb:-}" ] && [[ $("$build/daemons/burdockspur-$program" --print_defaults) == *memory_mb* ]]; then
            printf 'memory_mb = %s\n' "$machine_memory_mb"
        fi
        printf '[log]\nlevel = "%s"\n' "${BURDOCKSPUR_LOG_LEVEL:-info}"
        printf '[admin]\naddress = "%s"\nport = 0\n' "$own"
        printf '[table]\naddress = "%s"\nport = %s\n' "$store" "$platform_port"
        printf '[hostlist]\naddress = "%s"\nport = %s\n' "$store" "$platform_port"
        if [ "$program" = entry ]; then
            printf '[callers]\naddress = "%s"\nport = 0\n%s\n' "$own" "${caller_settings:-}"
            printf '%s\n' "${entry_settings:-}"
        else
            printf '[objects]\naddress = "%s"\nport = %s\n' "$store" "$platform_port"
            printf '[frames]\naddress = "%s"\nport = 0\n' "$own"
            printf '%s\n' "${scheduler_settings:-}"
        fi
    } >"$work/$program-$number.toml"
}

start_scheduler() {
    settings_of scheduler "$1"
    start "scheduler-$1" '^ready' "$build/daemons/burdockspur-scheduler" --settings "$work/scheduler-$1.toml"
    schedulers[$1]=$(address_of "scheduler-$1"):$(value_of "$work/scheduler-$1.out" frame_port)
    scheduler_admins[$1]=$(address_of "scheduler-$1"):$(value_of "$work/scheduler-$1.out" admin_port)
}

start_entry() {
    settings_of entry "$1"
    start "entry-$1" '^ready' "$build/daemons/burdockspur-entry" --settings "$work/entry-$1.toml"
    entries[$1]=$(address_of "entry-$1"):$(value_of "$work/entry-$1.out" callers_port)
    entry_admins[$1]=$(address_of "entry-$1"):$(value_of "$work/entry-$1.out" admin_port)
}

# publish_hosts HOSTS: publishes the workers and that number of entry hosts in the platform stand-in.
publish_hosts() {
    local separator='' index number
    {
        printf '{"generation":1,"hosts":['
        for index in "${!worker_names[@]}"; do
            printf '%s{"name":"%s","role":"worker","address":"%s","port":%s,"zone":"%s","rack":"rack-%s","region":"north","state":"live",' \
                "$separator" "${worker_names[$index]}" "${worker_endpoints[$index]%:*}" "${worker_endpoints[$index]#*:}" "$(zone_of "$index")" $((index / 8))
            printf '"cpu_millis":16000,"memory_mb":60000,"accelerators":0,"slots":8,"connections":64}'
            separator=,
        done
        for number in $(seq 1 "$1"); do
            printf '%s{"name":"host-%s","role":"entry","address":"%s","port":%s,"frame_port":%s,"zone":"%s","rack":"rack-h%s","region":"north","state":"live"}' \
                "$separator" "$number" "${entries[$number]%:*}" "${entries[$number]#*:}" "${schedulers[$number]#*:}" "$(zone_of "$number")" "$number"
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
    # An entry daemon refuses requests with no_target until it has read the host list, and it delays requests with a key
    # until it is registered in the key map.
    for number in $(seq 1 "$hosts"); do
        wait_until 60 "entry-$number lists $workers workers" lists_targets "$number" "$workers"
        wait_until 60 "entry-$number accepts keys" accepts_keys "$number"
    done
}

# accepts_keys NUMBER: whether the entry daemon of a host is registered in the key map.
accepts_keys() {
    status_of "${entry_admins[$1]}" | grep -q '"accepts_keys":true'
}

# lists_targets NUMBER COUNT: whether the entry daemon of a host lists that number of available workers.
lists_targets() {
    [ "$(status_of "${entry_admins[$1]}" | grep -o '"accepts":true' | wc -l)" -eq "$2" ]
}

# join_by SEPARATOR ITEM...: prints the items with the separator, a single character, between them.
join_by() {
    local IFS=$1
    shift
    echo "$*"
}

# named_workers: prints NAME=ADDRESS:PORT,... for all workers.
named_workers() {
    local list=() index
    for index in "${!worker_names[@]}"; do
        list+=("${worker_names[$index]}=${worker_endpoints[$index]}")
    done
    join_by , "${list[@]}"
}

fail() {
    echo "FAILED: $*"
    exit 1
}

passed() {
    echo "ok: $*"
}

now_ms() {
    date +%s%3N
}

# wait_until SECONDS WHAT COMMAND...: repeats a command until it succeeds; fails after SECONDS, which only prevents a test
# from hanging.
wait_until() {
    local limit=$1 what=$2 end=$((SECONDS + $1))
    shift 2
    until "$@"; do
        [ "$SECONDS" -lt "$end" ] || fail "not reached within $limit s: $what"
        sleep 0.05
    done
}

# set_fault ADDRESS:PORT NAME VALUE [MEMBERS]: sets a fault of a stand-in; MEMBERS are additional JSON members.
set_fault() {
    curl -sS -f -m 30 -o /dev/null -X PUT -d "{\"name\":\"$2\",\"value\":$3${4:+,$4}}" "http://$1/standin/faults"
}

# begin_work FLAG...: starts burdockspur-demo, which sends rounds of requests, and waits until its watchers run. It uses
# all entry daemons, or those listed in work_entries.
begin_work() {
    start work '^phase=working' "$build/bench/burdockspur-demo" --entry "${work_entries:-$(join_by , "${entries[@]}")}" --worker "$(named_workers)" \
        --platform "$platform" --until "$work/stop" --patience_s 120 "$@"
}

rounds() {
    grep -c '^round=' "$work/work.out" || true
}

# wait_rounds COUNT: waits until COUNT more rounds of requests have ended.
wait_rounds() {
    local wanted=$(($(rounds) + $1))
    wait_until 120 "round $wanted of requests" reached_round "$wanted"
}

reached_round() {
    kill -0 "${pids[work]}" 2>/dev/null || fail "the work ended early: $(tail -n 5 "$work/work.log")"
    [ "$(rounds)" -ge "$1" ]
}

# end_work: ends the rounds, waits for every job, and fails when a request or job was lost, executed twice or answered wrongly.
end_work() {
    local code=0
    touch "$work/stop"
    wait "${pids[work]}" || code=$?
    unset 'pids[work]'
    grep -v '^\(round\|phase\)=' "$work/work.out" || true
    if [ "$code" -ne 0 ]; then
        tail -n 20 "$work/work.log"
        fail "requests or jobs were lost, executed twice or answered wrongly"
    fi
    passed "$(rounds) rounds of requests and all jobs and watchers agree with the workers' journals"
}

# status_of ADDRESS:PORT: prints the status of a daemon, read from its admin port.
status_of() {
    curl -s -m 5 "http://$1/v1/status"
}

# owned_shards NUMBER: prints how many shards the scheduler of an entry host owns.
owned_shards() {
    status_of "${scheduler_admins[$1]}" | grep -o '"owned":true' | wc -l
}

# kill_daemon NAME: kills a daemon with SIGKILL.
kill_daemon() {
    kill -KILL "${pids[$1]}"
    wait "${pids[$1]}" 2>/dev/null || true
    unset "pids[$1]"
}

# raw_exchange ADDRESS:PORT: sends standard input over a new connection and prints the response until the other end
# closes the connection, for at most 20 s.
raw_exchange() {
    local descriptor
    exec {descriptor}<>"/dev/tcp/${1%:*}/${1#*:}"
    # A daemon may close the connection before it has read all input.
    cat >&"$descriptor" 2>/dev/null || true
    timeout 20 cat <&"$descriptor" 2>/dev/null || true
    exec {descriptor}>&-
}

# status_and_code CURL_ARGUMENT...: prints the HTTP status and the code of an error answer.
status_and_code() {
    local answer
    answer=$(curl -sS -m 30 -w '\n%{http_code}' "$@")
    echo "$(tail -n 1 <<<"$answer") $(sed -n 's/.*"code":"\([a-z_]*\)".*/\1/p' <<<"$answer" | head -n 1)"
}

# check_error EXPECTED WHAT CURL_ARGUMENT...: compares the status and code of an answer, e.g. "400 bad_request".
check_error() {
    local expected=$1 what=$2 found
    shift 2
    found=$(status_and_code "$@")
    [ "$found" = "$expected" ] || fail "$what: answered '$found', expected '$expected'"
    passed "$what: $expected"
}

# check_running: fails when a process has ended.
check_running() {
    local name
    for name in "${!pids[@]}"; do
        kill -0 "${pids[$name]}" 2>/dev/null || fail "$name has ended: $(tail -n 5 "$work/$name.log")"
    done
    passed "every process still runs"
}

# executions_of_key KEY: prints how often the workers executed requests with an idempotency key.
executions_of_key() {
    local endpoint runs=0
    for endpoint in "${worker_endpoints[@]}"; do
        runs=$((runs + $(curl -sS -f "http://$endpoint/standin/journal" | grep -o '{[^{}]*}' |
            grep '"event":"request_started"' | grep -c "\"key\":\"$1\"" || true)))
    done
    echo "$runs"
}

# count_of_workers NAME: prints the sum of a count over all workers.
count_of_workers() {
    local endpoint sum=0 value
    for endpoint in "${worker_endpoints[@]}"; do
        value=$(curl -sS -f -m 30 "http://$endpoint/standin/counts" | sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p")
        sum=$((sum + ${value:?no count $1}))
    done
    echo "$sum"
}

# find_owner: sets owner to the number of the entry host whose scheduler owns most shards; fails when none owns a shard.
find_owner() {
    local number owned most=0
    owner=0
    for number in "${!scheduler_admins[@]}"; do
        owned=$(owned_shards "$number")
        if [ "$owned" -gt "$most" ]; then
            most=$owned
            owner=$number
        fi
    done
    [ "$owner" -gt 0 ]
}

# owned_by NUMBER...: prints how many shards the schedulers of these hosts own in total.
owned_by() {
    local number sum=0
    for number in "$@"; do
        sum=$((sum + $(owned_shards "$number")))
    done
    echo "$sum"
}

# all_owned COUNT NUMBER...: whether the schedulers of these hosts own COUNT shards in total.
all_owned() {
    [ "$(owned_by "${@:2}")" -eq "$1" ]
}

# owner_of_shards: prints the number of the entry host whose scheduler owns most shards. It waits for one, because the
# status is refreshed once a second and may not yet show a shard that already runs tasks.
owner_of_shards() {
    wait_until 30 'a scheduler shows a shard that it owns' find_owner >&2
    echo "$owner"
}

# jobs_in_state STATE COUNT CLASS: whether exactly COUNT jobs of a class are in a state.
jobs_in_state() {
    [ "$(curl -sS -f -m 10 "http://${entries[1]}/v1/jobs?state=$1&limit=500" | grep -o "\"class\":\"$3\"" | wc -l)" -eq "$2" ]
}

# pause_workers true|false: while paused, workers hold back every call, and the clocks of their tasks and leases stop.
pause_workers() {
    set_fault "$(address_of worker):$(sed -n 's/^control port=\([0-9]*\).*/\1/p' "$work/worker.out")" pause "$1"
}

# in_flight NUMBER COUNT: whether an entry daemon has at least so many requests in progress.
in_flight() {
    [ "$(status_of "${entry_admins[$1]}" | sed -n 's/.*"requests_in_flight":\([0-9]*\).*/\1/p')" -ge "$2" ]
}

#!/usr/bin/env bash
# crowddaemon.sh BUILD DAEMON CROWD PORTS: sends a crowd of crowddaemon.py to a port of burdockspur-DAEMON on a machine of 80 MB. PORTS names
# the array of scripts/lib/deployment.sh with the address of the port.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
machine_memory_mb=80
deployment_start 1 2
declare -n addresses_of_port=$4
python3 tests/processes/crowddaemon.py "$3" "${pids[$2-1]}" "${addresses_of_port[1]#*:}" "${entries[1]}"
check_running

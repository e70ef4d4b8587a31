#!/usr/bin/env bash
# 50 clients at the admin port of burdockspur-scheduler that ask for the metrics and read no answer. Guards against an operator who is refused.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
machine_memory_mb=80
deployment_start 1 2
python3 tests/processes/crowddaemon.py unread_metrics "${pids[scheduler-1]}" "${scheduler_admins[1]#*:}" "${entries[1]}"
check_running

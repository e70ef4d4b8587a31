#!/usr/bin/env bash
# 300 clients at burdockspur-entry, each with a body in large chunks without the last one. Guards against a process that holds all bodies.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
machine_memory_mb=80
deployment_start 1 2
python3 tests/processes/crowddaemon.py large_chunks "${pids[entry-1]}" "${entries[1]#*:}" "${entries[1]}"
check_running

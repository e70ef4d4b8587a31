#!/usr/bin/env bash
# 300 clients at burdockspur-entry, each with 200,000 chunks of one byte without the last one. Guards against chunks that cost several times
# their size.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
machine_memory_mb=80
deployment_start 1 2
python3 tests/processes/crowddaemon.py small_chunks "${pids[entry-1]}" "${entries[1]#*:}" "${entries[1]}"
check_running

#!/usr/bin/env bash
# 300 clients at burdockspur-entry, each with a body that lacks its last byte. Guards against a process that holds all bodies.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
machine_memory_mb=80
deployment_start 1 2
python3 tests/processes/crowddaemon.py one_byte_short "${pids[entry-1]}" "${entries[1]#*:}" "${entries[1]}"
check_running

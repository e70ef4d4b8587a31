#!/usr/bin/env bash
# 900 clients at the frame port of burdockspur-scheduler, each with a frame that lacks its last byte. Guards against links without a common
# bound, and against memory that is not given back.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
machine_memory_mb=80
deployment_start 1 2
python3 tests/processes/crowddaemon.py frames_one_byte_short "${pids[scheduler-1]}" "${schedulers[1]#*:}" "${entries[1]}"
check_running

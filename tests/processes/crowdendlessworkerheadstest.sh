#!/usr/bin/env bash
# 20 workers send answers whose heads never end. Guards against a process whose memory grows with what it receives.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" endless_worker_heads

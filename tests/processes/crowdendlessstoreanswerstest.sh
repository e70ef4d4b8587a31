#!/usr/bin/env bash
# The store sends answers whose bodies never end. Guards against a process whose memory grows with what it receives.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" endless_store_answers

#!/usr/bin/env bash
# 330 clients send requests and read no answer. Guards against a process whose memory grows with answers that wait for their clients.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" unread_answers

#!/usr/bin/env bash
# 300 clients send all bytes of a body but the last and stay open. Guards against a process whose memory grows with incomplete requests.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" one_byte_short

#!/usr/bin/env bash
# 300 clients send bodies of 250 kB in large chunks, without the last chunk, and stay open. Guards against a process whose memory
# grows with the bodies of all clients, and against memory that is not given back.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" large_chunks

#!/usr/bin/env bash
# 300 clients send bodies in 200,000 chunks of one byte and stay open. Guards against buffers that cost several times the bytes of the body.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" small_chunks

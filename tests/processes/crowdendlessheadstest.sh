#!/usr/bin/env bash
# 900 clients send heads of short fields that never end. Guards against fields that cost many times their bytes.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" endless_heads

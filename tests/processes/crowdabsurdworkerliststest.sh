#!/usr/bin/env bash
# 20 workers report 2,700,000 empty runs. Guards against parsed lists that cost many times their bytes.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" absurd_worker_lists

#!/usr/bin/env bash
# 1,500 clients that stop inside a body and connect again half a second after they are closed. Guards against a full port that refuses every caller
# while such a crowd goes on.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" callers_return

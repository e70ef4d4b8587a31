#!/usr/bin/env bash
# 300 clients send requests with bodies without waiting for the answers. Guards against a process that reads ahead without a bound.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" pipelined_requests

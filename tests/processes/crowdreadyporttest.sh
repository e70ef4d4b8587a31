#!/usr/bin/env bash
# 500 clients at the ready port, 300 of them with bodies that stop short of their end. Guards against a port without bounds, and against a
# host that leaves the rotation because its readiness checks are refused.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" ready_port

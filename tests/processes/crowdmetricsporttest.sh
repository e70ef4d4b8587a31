#!/usr/bin/env bash
# 500 clients at the metrics port, 300 of them with bodies that stop short of their end. Guards against an operator who cannot see the crowd.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" metrics_port

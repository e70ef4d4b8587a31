#!/usr/bin/env bash
# 60 clients that send half a request line to the metrics port and connect again as soon as they are closed. Guards against an operator who cannot
# see the crowd.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" metrics_reconnect

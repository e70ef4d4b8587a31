#!/usr/bin/env bash
# 100 clients that send half a request line to the readiness port and connect again as soon as they are closed. Guards against a host that the
# load balancer takes out of rotation because of them.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" ready_reconnect

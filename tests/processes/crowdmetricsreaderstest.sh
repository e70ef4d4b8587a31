#!/usr/bin/env bash
# 50 clients that ask for the metrics and read no answer. Guards against an operator who is refused while, and after, they hold the port.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" metrics_readers

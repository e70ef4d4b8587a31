#!/usr/bin/env bash
# Sends real signals to burdockspur-host. Guards against a signal that ends a process at once, or a planned stop that cuts requests off.
set -euo pipefail
exec python3 "$(dirname "$0")/hostsignals.py" "$1"

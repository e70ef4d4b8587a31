#!/usr/bin/env bash
# 300 clients at burdockspur-entry, each with a body in large chunks without the last one. Guards against a process that holds all bodies.
set -euo pipefail
exec "$(dirname "$0")/crowddaemon.sh" "$1" entry large_chunks entries

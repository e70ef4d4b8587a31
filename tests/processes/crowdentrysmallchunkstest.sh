#!/usr/bin/env bash
# 300 clients at burdockspur-entry, each with 200,000 chunks of one byte without the last one. Guards against chunks that cost several times
# their size.
set -euo pipefail
exec "$(dirname "$0")/crowddaemon.sh" "$1" entry small_chunks entries

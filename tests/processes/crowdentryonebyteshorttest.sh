#!/usr/bin/env bash
# 300 clients at burdockspur-entry, each with a body that lacks its last byte. Guards against a process that holds all bodies.
set -euo pipefail
exec "$(dirname "$0")/crowddaemon.sh" "$1" entry one_byte_short entries

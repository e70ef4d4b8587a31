#!/usr/bin/env bash
# 900 clients at the frame port of burdockspur-scheduler, each with a frame that lacks its last byte. Guards against links without a common
# bound, and against memory that is not given back.
set -euo pipefail
exec "$(dirname "$0")/crowddaemon.sh" "$1" scheduler frames_one_byte_short schedulers

#!/usr/bin/env bash
# 50 clients at the admin port of burdockspur-scheduler that ask for the metrics and read no answer. Guards against an operator who is refused.
set -euo pipefail
exec "$(dirname "$0")/crowddaemon.sh" "$1" scheduler unread_metrics scheduler_admins

#!/usr/bin/env bash
# 1,500 clients of one address that each send one request and keep their connections. Guards against one address that keeps the callers of all
# others out.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" kept_connections

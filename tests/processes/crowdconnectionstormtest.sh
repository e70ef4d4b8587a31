#!/usr/bin/env bash
# 3,000 connections are opened and closed, and 600 stay open without a request. Guards against clients that use up the descriptors,
# and against ordinary callers who are refused because of them.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" connection_storm

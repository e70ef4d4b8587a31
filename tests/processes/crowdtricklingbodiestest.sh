#!/usr/bin/env bash
# 300 clients send bodies whose last bytes arrive one at a time. Guards against clients that count as active because of single bytes.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" trickling_bodies

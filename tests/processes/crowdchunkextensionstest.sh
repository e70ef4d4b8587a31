#!/usr/bin/env bash
# 300 clients send chunks with long extensions, and trailers without an end. Guards against buffered bytes that no limit of the body counts.
set -euo pipefail
exec python3 "$(dirname "$0")/crowd.py" "$1" chunk_extensions

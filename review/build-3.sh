#!/usr/bin/env bash
# Checks the stand-ins of the third review. They are Python programs of the standard library, so nothing has to be compiled.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is required")
for path in ("standins-3/standins.py", "11/play.py", "12/play.py", "13/play.py"):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
test -x ../target/daemons/burdockspur-host || { echo "target/daemons/burdockspur-host is missing: run the build of deploy/system.toml" >&2; exit 1; }

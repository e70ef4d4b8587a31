#!/usr/bin/env bash
# Checks the stand-ins of the cases, which are Python programs, and that the build of the deploy file has left the host's program.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [1-5]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
test -x ../target/daemons/burdockspur-host || { echo "target/daemons/burdockspur-host is missing: run the build of deploy/system.toml" >&2; exit 1; }

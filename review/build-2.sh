#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start; the programs under test are built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
g++ -std=c++23 -O2 -Wall -Wextra -pthread -o build-review-2/cases review/standins-2/cases.cc

#!/usr/bin/env bash
# Plays the case and writes record.txt; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs target/ as the deploy file builds it, and review/build-2.sh.
set -euo pipefail
cd "$(dirname "$0")/../.."
[ -x build-review-2/cases ] || { echo "build-review-2/cases is missing: run review/build-2.sh" >&2; exit 2; }
exec build-review-2/cases hopeless-first-step review/9

#!/usr/bin/env bash
# Guards against a settings page that differs from the settings defined in the daemons' sources.
set -euo pipefail
build=$1
page=$(dirname "$0")/../../docs/settings.md
if ! "$build/daemons/settingspage" | diff "$page" -; then
    echo "FAILED: update the page with: $build/daemons/settingspage >docs/settings.md"
    exit 1
fi

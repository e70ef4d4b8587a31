#!/usr/bin/env bash
# Guards against a page of logs, metrics and error codes that lacks a name from the sources or lists one that no longer exists.
set -euo pipefail
cd "$(dirname "$0")/../.."
export LC_ALL=C
page=docs/logs-and-metrics.md
failed=0

# names_of_page HEADING COLUMNS: prints the first columns of the table rows in a section, without backquotes.
names_of_page() {
    awk -v heading="## $1" '/^## /{inside = ($0 == heading)} inside && /^\| `/' "$page" \
        | cut -d '|' -f "2-$(($2 + 1))" | tr -d '` ' | sort -u
}

# compare HEADING COLUMNS: compares the names on standard input with those of a section.
compare() {
    if ! diff <(sort -u) <(names_of_page "$1" "$2") >"$differences"; then
        echo "FAILED: section '$1' of $page; < only in the sources, > only on the page:"
        grep '^[<>]' "$differences"
        failed=1
    fi
}
differences=$(mktemp)
trap 'rm -f "$differences"' EXIT

mapfile -t sources < <(find src daemons platform -name '*.cpp' | sort)
# Prints each log call on one line, up to the fields of the event or the end of the statement.
calls() {
    local file
    for file in "${sources[@]}"; do
        sed 's,//.*,,' "$file" | tr '\n' ' ' | { grep -oE '\blog(Event|Pool|Job)\([^{;]*' || true; } | sed "s,^,$file ,"
    done
}
names() { { grep -oE '"[a-z][a-z0-9_]*"' || true; } | tr -d '"'; }

# The listed files contain functions that forward a name, whose callers are read instead. Any other call must contain the name.
unnamed=$(calls | grep -v '"' | grep -vE '^src/(operations/log|link/httpclient|shard/shardscheduler)\.cpp ' || true)
if [ -n "$unnamed" ]; then
    printf 'FAILED: no event name in these calls:\n%s\n' "$unnamed"
    failed=1
fi

{
    calls | names
    grep -ohE 'event=[a-z][a-z0-9_]*' "${sources[@]}" | cut -d = -f 2
} | compare Events 1
grep -ohE '"burdockspur_[a-z0-9_]+"' "${sources[@]}" | tr -d '"' | compare Metrics 1
sed -nE 's/^ *\{ErrorCode::[A-Za-z]+, "([a-z_]+)", ([0-9]+)\},$/\1|\2/p' src/core/error.cpp | compare 'Error codes' 2
exit "$failed"

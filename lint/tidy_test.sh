#!/usr/bin/env bash
# Tests lint/tidy on a small tree: findings are reported except in files on the list, and the list must have no needless
# entries.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(mktemp -d)
trap 'rm -rf "$root"' EXIT
failures=0

# Creates a tree in which good.c is clean, and bad.c and bad.h each have a parameter whose name is too short.
fresh_tree() {
    rm -rf "${root:?}"/{*,.clang-tidy}
    mkdir -p "$root"/{src/good,src/bad,rehearsal,tests/standin,lint,build}
    cp "$here/tidy" "$root/lint/tidy"
    cp "$here/../.clang-tidy" "$root/.clang-tidy"
    echo 'int twice(int q);' >"$root/src/bad/bad.h"
    printf '#include "../bad/bad.h"\nint good(int value) { return twice(value); }\n' >"$root/src/good/good.c"
    printf '#include "bad.h"\nint twice(int p) { return 2 * p; }\n' >"$root/src/bad/bad.c"
    echo 'int test(int p) { return p; }' >"$root/src/bad/bad_test.c"
    printf 'src/bad/bad.c\nsrc/bad/bad.h # both to be mended\n' >"$root/lint/tidy-unfinished"
    compile_commands src/good/good.c src/bad/bad.c
}

compile_commands() {
    local file separator='['
    for file in "$@"; do
        printf '%s\n{\n  "directory": "%s",\n  "command": "cc -c %s",\n  "file": "%s"\n}' \
            "$separator" "$root" "$root/$file" "$root/$file"
        separator=','
    done >"$root/build/compile_commands.json"
    echo ']' >>"$root/build/compile_commands.json"
}

# expect NAME STATUS LINE...: compares the exit status, and the output without its last line, which holds counts.
expect() {
    local name=$1 expected=$2 status=0 output
    shift 2
    output=$(JOBS=2 "$root/lint/tidy" build 2>&1) || status=$?
    output=$(sed '$d' <<<"$output")
    if [ "$status" -ne "$expected" ] || [ "$output" != "$(printf '%s\n' "$@")" ]; then
        echo "FAILED $name: status $status, printed: $output"
        failures=$((failures + 1))
    fi
}

short_name=', expected at least 3 characters [readability-identifier-length,-warnings-as-errors]'
in_source="src/bad/bad.c:2:15: error: parameter name 'p' is too short$short_name"
in_header="src/bad/bad.h:1:15: error: parameter name 'q' is too short$short_name"

fresh_tree
expect "findings in unfinished files only" 0

fresh_tree
rm "$root/lint/tidy-unfinished"
expect "no list" 1 "$in_source" "$in_header" "lint/tidy: 2 findings"

fresh_tree
echo 'src/bad/bad.c' >"$root/lint/tidy-unfinished"
expect "a header that is not on the list" 1 "$in_header" "lint/tidy: 1 findings"

fresh_tree
echo 'src/bad/gone.c' >>"$root/lint/tidy-unfinished"
expect "an entry that names no file" 1 "lint/tidy: lint/tidy-unfinished names src/bad/gone.c, which does not exist"

fresh_tree
echo 'src/good/good.c' >>"$root/lint/tidy-unfinished"
expect "an entry without findings" 1 \
    "lint/tidy: lint/tidy-unfinished names src/good/good.c, in which clang-tidy finds nothing: remove it from the list"

fresh_tree
echo 'int broken(int value) { return valeu; }' >>"$root/src/bad/bad.c"
expect "an unfinished file that doesn't compile" 1 \
    "src/bad/bad.c:3:32: error: use of undeclared identifier 'valeu'; did you mean 'value'? [clang-diagnostic-error]" \
    "lint/tidy: 1 findings"

fresh_tree
compile_commands src/bad/bad.c
expect "a file that isn't built" 1 "lint/tidy: src/good/good.c is not in build/compile_commands.json"

[ "$failures" -eq 0 ] && echo "lint/tidy: all cases passed"

#!/usr/bin/env bash
# Tests lint/layers on small source trees: it accepts a valid one, and reports each kind of error with the right
# message.
set -euo pipefail
layers=$(cd "$(dirname "$0")" && pwd)/layers
root=$(mktemp -d)
trap 'rm -rf "$root"' EXIT
failures=0

# Creates a valid tree: package high includes package low. The tests of low include high, which is allowed.
fresh_tree() {
    rm -rf "${root:?}"/*
    mkdir -p "$root"/src/{low,high} "$root"/lint
    printf '# bottom\nlow\n\n# top\nhigh\n' >"$root/lint/layers.conf"
    : >"$root/lint/layers-unfinished"
    echo 'int low(void);' >"$root/src/low/low.h"
    echo '#include "low.h"' >"$root/src/low/low.c"
    echo '#include "../high/high.h"' >"$root/src/low/low_test.c"
    echo '#include "../high/high.h"' >"$root/src/low/low_properties.cpp"
    printf '#include <stdio.h>\n#include "../low/low.h"\n' >"$root/src/high/high.h"
    echo '#include "high.h"' >"$root/src/high/high.c"
    echo '#include "high/high.h"' >"$root/src/main.c"
}

report() {
    echo "FAILED $1: status $2, printed: $3"
    failures=$((failures + 1))
}

expect_pass() {
    local status=0 output
    output=$("$layers" "$root" 2>&1) || status=$?
    [ "$status" -eq 0 ] && [ "$output" = "2 packages in order" ] || report "$1" "$status" "$output"
}

# The message must be the only line of output, as the tree has no other error.
expect_fail() {
    local status=0 output
    output=$("$layers" "$root" 2>&1) || status=$?
    [ "$status" -eq 1 ] && [ "$output" = "$2" ] || report "$1" "$status" "$output"
}

fresh_tree
expect_pass "a valid tree"

fresh_tree
rm "$root/lint/layers-unfinished"
expect_pass "no file of exceptions"

fresh_tree
printf '\n  #  include   "../high/high.h" /* up */\n' >>"$root/src/low/low.c"
expect_fail "an include of a higher layer" "src/low/low.c:3: low includes high, which is in a higher layer"

echo 'low high # to be mended' >"$root/lint/layers-unfinished"
expect_pass "an include of a higher layer with an exception"

fresh_tree
echo 'low high' >"$root/lint/layers-unfinished"
expect_fail "an exception without an include" \
    "lint/layers-unfinished:1: low high: exception is not needed"

fresh_tree
echo 'high low' >"$root/lint/layers-unfinished"
expect_fail "an exception for an include of a lower layer" \
    "lint/layers-unfinished:1: high low: exception is not needed"

fresh_tree
echo 'low' >"$root/lint/layers-unfinished"
expect_fail "an exception of one name" "lint/layers-unfinished:1: not FROM TO: low"

fresh_tree
mkdir "$root/src/new"
echo 'int new_one(void);' >"$root/src/new/new.h"
expect_fail "a package that is not listed" "src/new: package new is not in lint/layers.conf"

fresh_tree
echo 'gone' >>"$root/lint/layers.conf"
expect_fail "a listed package that does not exist" "lint/layers.conf:6: no package gone under src/"

fresh_tree
echo 'low' >>"$root/lint/layers.conf"
expect_fail "a package listed twice" "lint/layers.conf:6: low is listed twice"

fresh_tree
echo 'other names' >>"$root/lint/layers.conf"
mkdir "$root/src/other"
expect_fail "two names on a line" "lint/layers.conf:6: not one package: other names"

fresh_tree
echo '#include "inner.h"' >>"$root/src/low/low.h"
echo '#include "low.h"' >"$root/src/low/inner.h"
output=$("$layers" "$root" 2>&1) && report "a cycle inside a package" 0 "$output"
# Which include is reported depends on the file that is visited first.
[[ "$output" =~ ^src/low/(low|inner)\.h:[12]:\ includes\ src/low/(low|inner)\.h\ in\ a\ cycle$ ]] ||
    report "a cycle inside a package" 1 "$output"

fresh_tree
echo '#include "low.h"' >>"$root/src/low/low.h"
expect_fail "a file that includes itself" "src/low/low.h:2: includes src/low/low.h in a cycle"

fresh_tree
echo '#include "../low/absent.h"' >>"$root/src/high/high.c"
expect_fail "an include of a file that does not exist" \
    "src/high/high.c:2: includes src/low/absent.h, which is no source file under src/"

fresh_tree
echo 'int stray(void);' >"$root/src/stray.h"
expect_fail "a file outside the packages" "src/stray.h: belongs to no package"

[ "$failures" -eq 0 ] && echo "lint/layers: all cases passed"

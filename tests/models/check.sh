#!/usr/bin/env bash
# Checks a Promela model exhaustively with spin. Its assertions must hold without defines, and be violated with each of
# the given defines, which remove one condition each.
# Usage: check.sh MODEL.pml [DEFINE...]
set -euo pipefail
model=$(realpath "$1")
shift
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# Prints the checker's report of the model built with the given define, if any.
check() {
    timeout 30 spin ${1:+-D"$1"} -a "$model" >/dev/null
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=4000 -o pan pan.c
    timeout 120 ./pan -m1000000 -n
}

report=$(check "")
grep -E "errors:|states, stored" <<<"$report"
grep -q "errors: 0" <<<"$report" || { echo "FAIL: the model's assertions are violated"; exit 1; }
! grep -qE "max search depth too small|out of memory|memory limit" <<<"$report" || { echo "FAIL: the search was incomplete"; exit 1; }
for define in "$@"; do
    report=$(check "$define")
    grep -q "assertion violated" <<<"$report" || { echo "FAIL: no assertion is violated with $define"; exit 1; }
    echo "violated with $define, as expected"
done

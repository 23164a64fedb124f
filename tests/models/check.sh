#!/usr/bin/env bash
# Checks a Promela model in full: without defines it must hold, with each of the given ones it must be refuted.
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
grep -q "errors: 0" <<<"$report" || { echo "FAIL: the model does not hold"; exit 1; }
! grep -qE "max search depth too small|out of memory|memory limit" <<<"$report" || { echo "FAIL: the search was not complete"; exit 1; }
for define in "$@"; do
    report=$(check "$define")
    grep -q "assertion violated" <<<"$report" || { echo "FAIL: it holds with $define, too"; exit 1; }
    echo "refuted with $define"
done

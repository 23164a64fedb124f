#!/bin/sh
# run.sh NUMBER: runs one case of the second review. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out.
number=$1
root=$(cd "$(dirname "$0")/../.." && pwd)
program=$root/target/review-2/case-$number
[ -x "$program" ] && [ -x "$root/target/fieldfield" ] || { echo "build it first: README, review/build-2.sh" >&2; exit 2; }
REVIEW_TMP=$(mktemp -d) || exit 2
export REVIEW_TMP
LOG_LEVEL=${LOG_LEVEL:-info}
export LOG_LEVEL
"$program" "$root" "${RECORD:-$root/review/$number/record.txt}"
status=$?
[ -n "$KEEP_LOGS" ] && cp -r "$REVIEW_TMP" "$KEEP_LOGS"
rm -rf "$REVIEW_TMP"
[ "$status" -le 2 ] || status=2
exit $status

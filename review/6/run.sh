#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout --kill-after=2 115 target/review-2/yard all-alone review/6/record.txt
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"

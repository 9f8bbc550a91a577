#!/usr/bin/env bash
# Runs the case; needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-8 ] && [ -x target/dockpoint-platform ] || exit 2
RECORD="review/8/record.txt" timeout -k 5 118 target/review-2/case-8
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2

#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
export RECORD="$PWD/review/9/record.txt" HOST_PROGRAM="$PWD/target/fuchsiapitch"
ulimit -n "$(ulimit -Hn)" 2>/dev/null
exec target/review-world2 herd

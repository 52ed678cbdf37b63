#!/bin/sh
# Case 15. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fuchsiapitch ] && [ -x target/review/world3 ] || { echo "build first: see review/build-3.sh" >&2; exit 2; }
export WORLD3=cut WORLD3_PROGRAM=target/fuchsiapitch WORLD3_RECORD=review/15/record.txt
exec target/review/world3

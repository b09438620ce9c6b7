#!/usr/bin/env bash
# Case 5: the three routers that watch the store are killed twice. Exits with
# 1 if a rule is broken, 0 if it holds, 2 if the case can't run. TROUBLE=0 plays it without the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/watchers ] || [ ! -x target/gentianhead ]; then
	echo "run the build of the deploy file and review/build.sh first" >&2
	exit 2
fi
exec target/review/watchers review/5/record.txt restarts

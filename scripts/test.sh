#!/usr/bin/env bash
# Runs every test with the race detector. Tests named in KNOWN-RED.txt must
# fail, and all others must pass.
set -euo pipefail
cd "$(dirname "$0")/.."
log=$(mktemp)
processes=$(mktemp)
trap 'rm -f "$log" "$processes"' EXIT
status=0
# The e2e tests mostly wait, so they run in parallel with the others. The test
# cache doesn't track the programs that they start, so -count=1 disables it.
go test -race -count=1 -parallel 6 -timeout 10m ./fleet/e2e >"$processes" 2>&1 &
beside=$!
packages=$(go list ./core/... ./fleet/... ./measure/... ./platform/... ./standin/... | grep -v -e /e2e -e /soak -e /hostile)
# shellcheck disable=SC2086
go test -race -timeout 10m $packages 2>&1 | tee "$log" || status=$?
wait "$beside" || status=$?
tee -a "$log" <"$processes"
# The soak checks bounds in real time, which a machine short of processor time can't keep.
go test -race -count=1 -timeout 10m ./fleet/soak 2>&1 | tee -a "$log" || status=$?
# These check the memory of processes under crowds, one process at a time.
go test -count=1 -timeout 10m ./fleet/hostile 2>&1 | tee -a "$log" || status=$?
known=$(sed -n 's/^test: //p' KNOWN-RED.txt)
failed=$(sed -n 's/^ *--- FAIL: \([^ /]*\).*/\1/p' "$log" | sort -u)
sed -n -e 's/^faults: /KNOWN RED at another seed: /p' -e 's/^open: /KNOWN OPEN: /p' KNOWN-RED.txt
verdict=0
for name in $failed; do
	grep -qxF "$name" <<<"$known" || { echo "FAILED and not in KNOWN-RED.txt: $name"; verdict=1; }
done
for name in $known; do
	if grep -qxF "$name" <<<"$failed"; then
		echo "KNOWN RED, passed over: $name"
	else
		echo "listed in KNOWN-RED.txt but did not fail: $name"
		verdict=1
	fi
done
if [ "$status" != 0 ] && [ -z "$failed" ]; then
	echo "the test run itself failed"
	verdict=1
fi
exit "$verdict"

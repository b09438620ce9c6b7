#!/usr/bin/env bash
# Runs all TestFaults* tests with SEED and N schedules per cell, and prints the
# matrix of steps and faults.
set -euo pipefail
cd "$(dirname "$0")/.."
export N="${N:-1000}" SEED="${SEED:-1}"
log=$(mktemp)
trap 'rm -f "$log"' EXIT
status=0
go test -count=1 -timeout 30m -run '^TestFaults' -v ./core/... ./fleet/... >"$log" 2>&1 || status=$?
echo "seed $SEED, $N schedules a cell where a cell is random"
sed -n 's/^ *CELL\t//p' "$log" | sort | awk -F'\t' '
	BEGIN { printf "%-12s %-28s %-34s %-12s %8s  %s\n", "protocol", "step", "fault", "verdict", "runs", "note" }
	{ printf "%-12s %-28s %-34s %-12s %8s  %s\n", $1, $2, $3, $4, $5, $6; count[$4]++ }
	END { for (v in count) printf "%s: %d cells\n", v, count[v] }'
if [ "$status" != 0 ]; then
	grep -E -A20 '^ *--- FAIL|^FAIL|panic:' "$log" | head -100
fi
exit "$status"

#!/usr/bin/env bash
# Model-checks each specification in model/ exhaustively. Each line
#   // run: NAME expect=holds|fails [-DMACRO ...]
# in a specification defines one run of the checker.
set -euo pipefail
cd "$(dirname "$0")/.."
specs=$(ls "$PWD"/model/*.pml)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
verdict=0
for spec in $specs; do
	while read -r _ _ name expect flags; do
		cd "$work" && rm -f pan* ./*.trail
		# shellcheck disable=SC2086
		spin -a $flags "$spec" >spin.log 2>&1 || { cat spin.log; exit 1; }
		gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=8000 -o pan pan.c
		./pan -m1000000 -w26 >pan.log 2>&1 || true
		states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
		errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
		complete=yes
		grep -qE 'max search depth too small|out of memory|Search not completed' pan.log && complete=no
		result=holds
		[ "$errors" = 0 ] || result=fails
		line=ok
		[ "$expect" = "expect=$result" ] || line=WRONG
		[ -n "$states" ] && [ -n "$errors" ] || line="WRONG (the checker did not run)"
		[ "$result" = fails ] || [ "$complete" = yes ] || line="WRONG (search not complete)"
		[ "$line" = ok ] || verdict=1
		printf '%-14s %-28s %-6s states %-12s %s\n' "$(basename "$spec" .pml)" "$name" "$result" "$states" "$line"
	done < <(grep '^// run:' "$spec")
done
exit "$verdict"

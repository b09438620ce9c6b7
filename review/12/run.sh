#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/gentianhead target/review/third-lapse; do
	[ -x "$program" ] || { echo "the case can't run: $program isn't built"; exit 2; }
done
ROOT="$PWD" RECORD="$PWD/review/12/record.txt" exec target/review/third-lapse most

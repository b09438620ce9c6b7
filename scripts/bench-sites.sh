#!/usr/bin/env bash
# Plays the quick scores of the deployments in sites.txt. FLEETBENCH is the users' bench
# and SITES the folder with their deployments; neither is part of this repository.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x "${FLEETBENCH:-}" ] || [ ! -d "${SITES:-}" ]; then
	echo "make bench-sites needs the users' bench: set FLEETBENCH to the program and SITES to the folder with the deployments" >&2
	exit 2
fi
mapfile -t sites < <(grep -v '^#' scripts/sites.txt)
"$FLEETBENCH" score "${sites[@]/#/$SITES/}" --quick --jobs "${JOBS:-3}" --why "${WHY:-regression run}"

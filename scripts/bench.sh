#!/usr/bin/env bash
# Measures what a router adds to a request, side by side with calling the
# stand-in engine directly. Takes under a minute.
set -euo pipefail
cd "$(dirname "$0")/.."
echo "processors: $(nproc), load average: $(cut -d' ' -f1-3 /proc/loadavg)"
go run ./measure/overhead -seed "${SEED:-1}" -bin bin

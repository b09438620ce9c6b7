#!/usr/bin/env bash
# Measures the latency that a router adds to a request, compared with direct
# calls to the stand-in engine. Takes under a minute.
set -euo pipefail
cd "$(dirname "$0")/.."
echo "processors: $(nproc), load average: $(cut -d' ' -f1-3 /proc/loadavg)"
go run ./measure/overhead -seed "${SEED:-1}" -bin bin

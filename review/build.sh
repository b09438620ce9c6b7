#!/usr/bin/env bash
# Builds the stand-ins and callers of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
GOWORK="$PWD/review/go.work" go build -o target/review/ ./review/...

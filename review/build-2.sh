#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review/. Run it after the build of
# deploy/system.toml. It needs no network then.
set -euo pipefail
cd "$(dirname "$0")/.."
GOWORK=$PWD/review/second/go.work go build -o target/review/ ./review/second/...

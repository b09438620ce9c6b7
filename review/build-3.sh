#!/bin/sh
# Builds the programs of the cases 11 to 15, with their stand-ins, into target/review/. It needs no
# network after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
GOWORK="$PWD/review/third/go.work" go build -o target/review/ ./review/third/...

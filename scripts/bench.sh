#!/usr/bin/env bash
echo "bench: not built yet" >&2
exit 1

#!/usr/bin/env bash
echo "model: not built yet" >&2
exit 1

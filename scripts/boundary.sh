#!/usr/bin/env bash
# Fails if the platform's names and formats are used outside platform/, or if
# platform/ imports packages with decision logic, or if a client accepts broken answers.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Gentianhead-|/gentianhead/(rows|blob|kv|hold|resolve|readyz|report)|GENTIANHEAD_BOOT|"(RouteTable|TrafficSplit|ApiKeys|SeedNodes|RowVersion)"'
found=$(git grep -nE "$names" -- '*.go' ':!platform' ':!*_test.go' || true)
if [ -n "$found" ]; then
	echo "names of the platform outside platform/:"
	echo "$found"
	exit 1
fi
# Packages whose types platform/ fills in; it may import no others of this project.
allowed='gentianhead/(core/process/(endpoints|table)|core/request/exchange|core/version/routetable)$'
wrong=$(go list -f '{{join .Imports "\n"}}' ./platform | grep '^gentianhead/' | grep -vE "$allowed" || true)
if [ -n "$wrong" ]; then
	echo "platform/ imports what decides:"
	echo "$wrong"
	exit 1
fi
# Every client of the processes refuses broken answers.
clients='(^|[^.[:alnum:]])(http\.(DefaultClient|DefaultTransport|Transport\{|Client\{(Timeout: [[:alnum:]]+)?\}|(Get|Head|Post|PostForm)\()|platform\.New(Store|EngineClient)\()'
unguarded=$(git grep -nE "$clients" -- 'fleet/*.go' ':!*_test.go' ':!fleet/connection/transport' | grep -v 'transport\.Guard' || true)
if [ -n "$unguarded" ]; then
	echo "HTTP clients without transport.Guard:"
	echo "$unguarded"
	exit 1
fi

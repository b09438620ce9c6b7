package beacon

import "expvar"

var (
	// unsent counts beacons that could not be sent.
	unsent = expvar.NewInt("beacon_unsent")
	// reduced counts beacons that were too large with their hints.
	reduced = expvar.NewInt("beacon_reduced")
	// unreadable counts datagrams that could not be received or decoded.
	unreadable = expvar.NewInt("beacon_unreadable")
)

package beacon

import "expvar"

var (
	// unsent counts datagrams that the socket did not take.
	unsent = expvar.NewInt("beacon_unsent")
	// unreadable counts datagrams that could not be decoded.
	unreadable = expvar.NewInt("beacon_unreadable")
)

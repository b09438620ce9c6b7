package relay

import "expvar"

var (
	// inFlight is the number of requests that are being served.
	inFlight = expvar.NewInt("relay_in_flight")
	// outcomes counts requests by how they ended.
	outcomes = expvar.NewMap("relay_requests")
	// undelivered counts answers that the caller did not take whole.
	undelivered = expvar.NewInt("relay_undelivered")
)

func count(c *call, f *failure) {
	switch {
	case f == nil:
		outcomes.Add("answered", 1)
	case c.fallback != nil:
		outcomes.Add("endpoint-failure-handed-on", 1)
	default:
		outcomes.Add(string(codes[f.kind].code), 1)
	}
}

package relay

import (
	"expvar"
	"strconv"

	"gentianhead/fleet/process/boottime"
	"gentianhead/fleet/process/telemetry"
)

var (
	// inFlight is the number of requests that are being served.
	inFlight = expvar.NewInt("relay_in_flight")
	// outcomes counts requests by how they ended.
	outcomes = expvar.NewMap("relay_requests")
	// undelivered counts answers that the caller did not take whole.
	undelivered = expvar.NewInt("relay_undelivered")
	// firstByteTime and wholeTime are of requests that were answered.
	firstByteTime = telemetry.NewHistogram("relay_first_byte_seconds")
	wholeTime     = telemetry.NewHistogram("relay_request_seconds")
	// attemptsMade counts requests by how many endpoints they were sent to.
	attemptsMade = expvar.NewMap("relay_sends")
)

// commit notes that the answer begins.
func (c *call) commit() {
	c.isCommitted = true
	c.firstByte = boottime.Now() - c.begun
}

func count(c *call, f *failure) {
	attemptsMade.Add(strconv.Itoa(c.sends), 1)
	switch {
	case f == nil:
		outcomes.Add("answered", 1)
		firstByteTime.Record(c.firstByte)
		wholeTime.Record(boottime.Now() - c.begun)
	case c.fallback != nil:
		outcomes.Add("endpoint-failure-handed-on", 1)
	default:
		outcomes.Add(string(codes[f.kind].code), 1)
	}
}

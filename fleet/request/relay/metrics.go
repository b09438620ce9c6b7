package relay

import (
	"expvar"
	"strconv"

	"gentianhead/fleet/process/boottime"
	"gentianhead/fleet/process/telemetry"
)

var (
	inFlight = expvar.NewInt("relay_in_flight")
	// requestsByResult counts requests by failure code, as answered, or as
	// endpoint-failure-handed-on if an endpoint's error response was forwarded.
	requestsByResult = expvar.NewMap("relay_requests")
	// undelivered counts buffered responses that could not be written completely.
	undelivered = expvar.NewInt("relay_undelivered")
	// noticesReceived counts notices of endpoints that are leaving or want no requests.
	noticesReceived = expvar.NewInt("relay_endpoint_notices")
	// limitedEndpoints is the number of endpoints that state a request rate, ownedLimits that
	// of those to which this router may send requests, and unreadableRates counts statements
	// without a meaning.
	limitedEndpoints = expvar.NewInt("relay_limited_endpoints")
	ownedLimits      = expvar.NewInt("relay_owned_limits")
	unreadableRates  = expvar.NewInt("relay_unreadable_rates")
	// evacuatedEndpoints is the number of endpoints in evacuated zones, evacuatedRunning that of
	// this router's requests in progress there, and evacuatedWithheld counts requests that were
	// placed there before the evacuation and not sent.
	evacuatedEndpoints = expvar.NewInt("relay_evacuated_endpoints")
	evacuatedRunning   = expvar.NewInt("relay_evacuated_running")
	evacuatedWithheld  = expvar.NewInt("relay_evacuated_withheld")
	// coldEndpoints is the number of endpoints that are cold, ownedColdLimits that of those to
	// which this router may send requests, coldPlaced counts requests placed on cold endpoints
	// and coldWithheld those that waited for a connection too long and were not written.
	coldEndpoints   = expvar.NewInt("relay_cold_endpoints")
	ownedColdLimits = expvar.NewInt("relay_owned_cold_limits")
	coldPlaced      = expvar.NewInt("relay_cold_placed")
	coldWithheld    = expvar.NewInt("relay_cold_withheld")
	// homesRefused counts requests refused since their service has no endpoint in a region to
	// which they may be sent, and homesWithheld those not written since the configuration
	// changed.
	homesRefused  = expvar.NewInt("relay_outside_regions")
	homesWithheld = expvar.NewInt("relay_outside_regions_withheld")
	// slowEndpoints is the number of endpoints known to be slow now, and unreadableLoads counts
	// stated loads of which a part has no meaning.
	slowEndpoints   = expvar.NewInt("relay_slow_endpoints")
	unreadableLoads = expvar.NewInt("relay_unreadable_loads")
	// expectedTime is the expected time to the first event of requests placed by time.
	expectedTime = telemetry.NewHistogram("relay_expected_first_event_seconds")
	// quarantined is the number of prompt parts in quarantine.
	quarantined = expvar.NewInt("relay_quarantined_parts")
	// firstByteTime and requestTime cover successful requests only.
	firstByteTime = telemetry.NewHistogram("relay_first_byte_seconds")
	requestTime   = telemetry.NewHistogram("relay_request_seconds")
	// requestsBySends counts requests by the number of endpoints they were sent to.
	requestsBySends = expvar.NewMap("relay_sends")
)

// markCommitted marks the start of the response to the caller.
func (r *Relay) markCommitted(c *call) {
	r.announceClose(c)
	c.isCommitted = true
	c.firstByte = boottime.Now() - c.startedAt
}

func recordMetrics(c *call, f *failure) {
	requestsBySends.Add(strconv.Itoa(c.sends), 1)
	recordComparisons(c, f)
	switch {
	case f == nil:
		requestsByResult.Add("answered", 1)
		firstByteTime.Record(c.firstByte)
		requestTime.Record(boottime.Now() - c.startedAt)
	case c.fallback != nil:
		requestsByResult.Add("endpoint-failure-handed-on", 1)
	default:
		requestsByResult.Add(string(codes[f.kind].code), 1)
	}
}

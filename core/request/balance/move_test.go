package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/request/breaker"
)

// Guards against a late request that leaves an endpoint that may still answer it for one that
// can't be reached, also as the probe of it.
func TestMoveOnlyToTrustedEndpoint(t *testing.T) {
	c := newCore(t, 1, 2)
	for c.states["server-00"] == nil || !c.states["server-00"].breaker.IsOpen() {
		p, _ := c.Place(0, PlacementRequest{Service: "plain"})
		outcome := breaker.Neutral
		if p.Endpoint.ID == "server-00" {
			outcome = breaker.Unreachable
		}
		c.Done(0, &p, outcome)
	}
	for _, now := range []time.Duration{0, time.Second} {
		request := PlacementRequest{Service: "plain", Excluded: []string{"server-01"}, IsMove: true}
		_, refusal := c.Place(now, request)
		assert.Assert(t, refusal != Accepted, "after %v", now)
		request.Excluded = []string{"server-00"}
		p, refusal := c.Place(now, request)
		assert.Equal(t, refusal, Accepted)
		c.Done(now, &p, breaker.Neutral)
	}
}

// Guards against late requests that get a place by asking often while others are refused, and
// against asking that counts as refused requests.
func TestMoveNotPlacedWhileRequestsAreRefused(t *testing.T) {
	const target = 100 * time.Millisecond
	c := newCore(t, 1, 2)
	now := time.Second
	p, _ := c.Place(now, PlacementRequest{Service: "plain", Target: target})
	now += target
	c.Done(now, &p, breaker.Succeeded)
	accepted := 0
	for range 200 {
		if _, refusal := c.Place(now, PlacementRequest{Service: "plain", Target: target}); refusal == Accepted {
			accepted++
		}
	}
	assert.Assert(t, accepted < 200, "the servers are full")
	stats := c.statsFor("plain")
	refused := stats.demand.RefusedFraction()
	for range 100 {
		_, refusal := c.Place(now, PlacementRequest{Service: "plain", Target: target, Excluded: []string{"server-00"}, IsMove: true})
		assert.Equal(t, refusal, Full)
	}
	assert.Equal(t, stats.demand.RefusedFraction(), refused)
}

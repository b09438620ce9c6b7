package breaker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func report(b *Breaker, now time.Duration, outcomes ...Outcome) {
	for _, outcome := range outcomes {
		b.Sent(now)
		b.Report(now, outcome)
	}
}

func TestBreakerOpensAfterOneConnectionFailure(t *testing.T) {
	var b Breaker
	report(&b, 0, Unreachable)
	assert.Assert(t, !b.Allows(0))
	assert.Assert(t, b.Allows(minCooldown))
}

func TestBreakerAllowsSingleProbeAfterCooldown(t *testing.T) {
	var b Breaker
	report(&b, 0, Unreachable, Unreachable)
	b.Sent(minCooldown)
	assert.Assert(t, !b.Allows(minCooldown), "a probe is in flight")
	b.Report(minCooldown, Succeeded)
	assert.Assert(t, b.Allows(minCooldown))
	assert.Assert(t, !b.IsOpen())
}

func TestCooldownDoublesAfterFailedProbe(t *testing.T) {
	var b Breaker
	report(&b, 0, Unreachable, Unreachable)
	report(&b, minCooldown, Failed)
	assert.Assert(t, !b.Allows(2*minCooldown))
	assert.Assert(t, b.Allows(3*minCooldown))
}

func TestNeutralProbeAllowsNextProbe(t *testing.T) {
	var b Breaker
	report(&b, 0, Unreachable, Unreachable)
	report(&b, minCooldown, Neutral)
	assert.Assert(t, b.Allows(minCooldown))
	assert.Assert(t, b.IsOpen())
}

// One of seven requests fails by itself, not because of the endpoint; the breaker
// must not open.
func TestBreakerStaysClosedBelowFailureRatio(t *testing.T) {
	var b Breaker
	for number := range 1000 {
		outcome := Succeeded
		if number%7 == 0 {
			outcome = Failed
		}
		report(&b, time.Duration(number)*time.Millisecond, outcome)
		assert.Assert(t, !b.IsOpen())
	}
}

// The endpoint reports itself healthy but fails every second request.
func TestBreakerOpensForHealthyEndpointThatFailsRequests(t *testing.T) {
	var b Breaker
	for range windowSize {
		report(&b, 0, Failed, Succeeded)
	}
	assert.Assert(t, b.IsOpen())
}

package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var plan = Plan{AddressesExpireAt: 3 * time.Second, AnswerBy: 7 * time.Second, ExitAt: 8 * time.Second}

// Guards against taking a request that outlasts the process, and against refusing one that would
// have been answered.
func TestAdmitsRequestsThatEndInTime(t *testing.T) {
	for _, c := range []struct {
		name                 string
		now, limit, expected time.Duration
		isKnown, want        bool
	}{
		{"limit within the stop", 2 * time.Second, 5 * time.Second, 0, false, true},
		{"limit beyond the stop, nothing known", 2 * time.Second, 6 * time.Second, 0, false, false},
		{"short answers while addresses are valid", 2 * time.Second, 15 * time.Second, 4 * time.Second, true, true},
		{"long answers while addresses are valid", 2 * time.Second, 15 * time.Second, 6 * time.Second, true, false},
		{"short answers after addresses expired", 3 * time.Second, 15 * time.Second, time.Second, true, false},
		{"short limit after addresses expired", 3 * time.Second, 4 * time.Second, 9 * time.Second, true, true},
		{"after the last answer", 8 * time.Second, time.Millisecond, 0, true, false},
	} {
		assert.Check(t, plan.Admits(c.now, c.limit, c.expected, c.isKnown) == c.want, c.name)
	}
}

func TestShorterGraceMovesPlanForward(t *testing.T) {
	assert.Equal(t, plan.WithExitAt(9*time.Second), plan)
	assert.Equal(t, plan.WithExitAt(3*time.Second), Plan{AddressesExpireAt: 2 * time.Second, AnswerBy: 2 * time.Second, ExitAt: 3 * time.Second})
}

func TestExpectedDurationNeedsRecentSamples(t *testing.T) {
	d := NewDurations()
	now := time.Duration(0)
	answer := func(took time.Duration) {
		request := d.Begin("route", now)
		now += took
		d.End(request, now, true)
	}
	for range minSamples - 1 {
		answer(time.Second)
	}
	_, isKnown := d.Expected("route", now)
	assert.Assert(t, !isKnown)
	answer(2 * time.Second)
	_, isKnown = d.Expected("route", now)
	assert.Assert(t, isKnown)
	for range 10 - minSamples {
		answer(0)
	}
	expected, _ := d.Expected("route", now)
	assert.Equal(t, expected, 4*time.Second)
	for range 90 {
		answer(0)
	}
	expected, _ = d.Expected("route", now)
	assert.Equal(t, expected, 2500*time.Millisecond)
	_, isKnown = d.Expected("other", now)
	assert.Assert(t, !isKnown)
	_, isKnown = d.Expected("route", now+3*windowLength)
	assert.Assert(t, !isKnown)
	assert.Equal(t, len(d.keys), 0)
}

// Guards against taking requests for endpoints that have just stopped answering.
func TestExpectedDurationCountsRequestsInFlight(t *testing.T) {
	d := NewDurations()
	for range 10 {
		d.End(d.Begin("route", 0), time.Second, true)
	}
	stuck := d.Begin("route", time.Second)
	expected, _ := d.Expected("route", 6*time.Second)
	assert.Equal(t, expected, 10*time.Second)
	d.End(stuck, 6*time.Second, false)
	expected, _ = d.Expected("route", 6*time.Second)
	assert.Equal(t, expected, 2*time.Second)
}

package retrydelay

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Twenty requests are refused at the same instant by a router whose share of the
// service is 100 requests per second.
func TestSimultaneousRefusalsGetSpacedDelays(t *testing.T) {
	var schedule Schedule
	var delays []time.Duration
	for range 20 {
		delays = append(delays, schedule.Delay(time.Hour, 0, 100, 0, 3*time.Second, 0))
	}
	assert.Assert(t, slices.IsSorted(delays))
	for i := range delays[1:] {
		assert.Equal(t, delays[i+1]-delays[i], 40*time.Millisecond)
	}
}

func TestPastSlotsDontDelayRetries(t *testing.T) {
	var schedule Schedule
	for range 20 {
		schedule.Delay(time.Hour, 0, 100, 0, 3*time.Second, 0)
	}
	assert.Equal(t, schedule.Delay(2*time.Hour, 0, 100, 0, 3*time.Second, 0), MinDelay+40*time.Millisecond)
}

func TestUnknownCapacityRandomizesFallback(t *testing.T) {
	var schedule Schedule
	assert.Equal(t, schedule.Delay(0, 0, 0, time.Second, time.Minute, 0), 500*time.Millisecond)
	assert.Equal(t, schedule.Delay(0, 0, 0, time.Second, time.Minute, 0.5), time.Second)
}

func TestDelayIsAtMostThirdOfTimeLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var schedule Schedule
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "refusals") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond
			left := time.Duration(rapid.IntRange(0, 15000).Draw(t, "left")) * time.Millisecond
			opensIn := time.Duration(rapid.IntRange(0, 5000).Draw(t, "opensIn")) * time.Millisecond
			capacity := rapid.Float64Range(0, 500).Draw(t, "capacity")
			delay := schedule.Delay(now, opensIn, capacity, time.Second, left, rapid.Float64Range(0, 0.999).Draw(t, "random"))
			assert.Assert(t, delay >= MinDelay, "%v", delay)
			assert.Assert(t, delay <= max(MinDelay, left/3), "%v of %v", delay, left)
		}
	})
}

// Guards against callers that return before an endpoint takes requests, or all at once at
// that moment: with and without a known capacity, with enough time left and without.
func TestDelaysSpreadFromOpening(t *testing.T) {
	const opensIn = 2 * time.Second
	for _, capacity := range []float64{0, 100} {
		for _, left := range []time.Duration{30 * time.Second, 3 * time.Second} {
			var schedule Schedule
			seen := make(map[time.Duration]bool)
			for i := range 20 {
				delay := schedule.Delay(time.Hour, opensIn, capacity, time.Second, left, float64(i)/20)
				seen[delay] = true
				assert.Assert(t, left < 3*opensIn || delay >= opensIn, "capacity %v, left %v: %v", capacity, left, delay)
			}
			assert.Assert(t, len(seen) >= 19, "capacity %v, left %v: %d delays of 20", capacity, left, len(seen))
		}
	}
}

// Guards against retries that can only be late, and against a delay beyond what callers honour.
func TestInTimeDelaysAreWithinThirdOfTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := time.Duration(rapid.IntRange(0, 3000).Draw(t, "target")) * time.Millisecond
		left := time.Duration(rapid.IntRange(0, 15000).Draw(t, "left")) * time.Millisecond
		delay := InTime(target, left, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		assert.Assert(t, delay >= MinDelay && delay <= max(2*MinDelay, target/3) && delay <= max(MinDelay, left/3), "%v of %v and %v", delay, target, left)
	})
	assert.Assert(t, InTime(300*time.Millisecond, time.Second, 0.1) != InTime(300*time.Millisecond, time.Second, 0.9), "retries are not spread")
}

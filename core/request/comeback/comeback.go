// Package comeback decides when callers whose requests were refused are told to
// come back.
//
// The load pattern: a burst, or servers that were away, makes routers refuse many
// requests at about the same time. Callers that were all told the same time would
// come back as a second burst. So each refused request gets a turn of its own, and
// turns follow each other as fast as the service has room for returns.
//
// The core has no I/O, clock or goroutine; the owner serializes calls. Times are
// readings of a steady clock.
package comeback

import "time"

const (
	// MinDelay is the shortest time to come back: a place takes about as long to
	// become free.
	MinDelay = 50 * time.Millisecond
	// leftShare is the part of the time left to the caller's deadline that callers
	// are kept waiting for at most, so that the return still has time to be served.
	leftShare = 1.0 / 3
	// returnShare is the part of a service's capacity that returns are let fill.
	// The rest is for the requests that come meanwhile.
	returnShare = 0.25
)

// Turns hands out the turns of one service. The zero value is ready.
type Turns struct {
	next time.Duration
}

// After returns when to come back. capacity is how many requests a second this
// router's share of the service can do, zero when that is unknown; fallback is
// used then. left is the time to the caller's deadline. random is in [0, 1).
//
// Turns beyond what the caller can wait for are spread over the second half of
// that time.
func (t *Turns) After(now time.Duration, capacity float64, fallback, left time.Duration, random float64) time.Duration {
	most := max(MinDelay, time.Duration(leftShare*float64(left)))
	if capacity <= 0 {
		return clamp(time.Duration((0.5+random)*float64(fallback)), most)
	}
	spacing := min(float64(time.Second)/(returnShare*capacity), float64(most))
	t.next = max(t.next, now+MinDelay) + time.Duration(spacing)
	delay := t.next - now
	if delay <= most {
		return delay
	}
	t.next = now + most
	return clamp(time.Duration((0.5+random/2)*float64(most)), most)
}

func clamp(delay, most time.Duration) time.Duration { return min(max(delay, MinDelay), most) }

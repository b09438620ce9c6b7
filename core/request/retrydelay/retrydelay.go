// Package retrydelay computes the retry delay that callers of refused requests are
// given.
//
// A burst of load or an outage of endpoints makes routers refuse many requests at
// about the same time. With one delay for all, the retries would arrive as a
// second burst. So each refused request gets its own retry slot, and slots are
// spaced by the capacity that the service has for retries.
//
// The package has no I/O, clock or goroutine; the owner serializes calls. Times
// are readings of a monotonic clock.
package retrydelay

import "time"

const (
	// MinDelay is the shortest retry delay: about the time until an endpoint slot
	// becomes free.
	MinDelay = 50 * time.Millisecond
	// maxDelayFraction is the longest retry delay as a fraction of the time left to
	// the caller's deadline, so that the retry still has time to be served.
	maxDelayFraction = 1.0 / 3
	// retryCapacityFraction is the fraction of a service's capacity planned for
	// retries. The rest is left to new requests.
	retryCapacityFraction = 0.25
)

// Schedule assigns the retry slots of one service. The zero value is ready to use.
type Schedule struct {
	nextSlot time.Duration
}

// Delay returns the delay after which the caller should retry. capacity is this
// router's share of the service's capacity in requests per second; if it is zero
// (unknown), the delay is drawn around fallback. left is the time to the caller's
// deadline. opensIn is the time until the service takes requests again, zero if it does
// now; when all endpoints asked for distance, slots start then. random is in [0, 1).
//
// A slot later than the caller can wait for is replaced by a random delay in the
// second half of the allowed time.
func (s *Schedule) Delay(now, opensIn time.Duration, capacity float64, fallback, left time.Duration, random float64) time.Duration {
	maxDelay := max(MinDelay, time.Duration(maxDelayFraction*float64(left)))
	if capacity <= 0 {
		delay := opensIn + time.Duration((0.5+random)*float64(fallback))
		if opensIn > 0 && delay > maxDelay {
			return late(maxDelay, random)
		}
		return clamp(delay, maxDelay)
	}
	spacing := min(float64(time.Second)/(retryCapacityFraction*capacity), float64(maxDelay))
	s.nextSlot = max(s.nextSlot, now+max(MinDelay, opensIn)) + time.Duration(spacing)
	delay := s.nextSlot - now
	if delay <= maxDelay {
		return delay
	}
	s.nextSlot = now + maxDelay
	return late(maxDelay, random)
}

// InTime returns a delay after which the retry may still be in time: random up to a third of
// the target latency, but at least twice MinDelay. left and random are as in Delay.
//
// While a service is overloaded for seconds, a later retry is refused as often as an early
// one, and all that are served are late, in the place of others that would be in time.
func InTime(target, left time.Duration, random float64) time.Duration {
	maxDelay := max(MinDelay, time.Duration(maxDelayFraction*float64(left)))
	latest := max(2*MinDelay, target/3)
	return clamp(MinDelay+time.Duration(random*float64(latest-MinDelay)), maxDelay)
}

// late returns a random delay in the second half of the allowed time.
func late(maxDelay time.Duration, random float64) time.Duration {
	return clamp(time.Duration((0.5+random/2)*float64(maxDelay)), maxDelay)
}

func clamp(delay, limit time.Duration) time.Duration { return min(max(delay, MinDelay), limit) }

package ratelimit

import "math"

const (
	// maxRate is the rate in requests per second from which a limit is none. No endpoint
	// serves as many.
	maxRate = 1e6
	// minRate is the lowest rate that is kept, in requests per second. Only the responses of
	// an endpoint tell that its limit has ended, so that one that takes no requests still
	// gets one now and then.
	minRate = 0.1
)

// Unlimited is the rate of an endpoint without a limit.
var Unlimited = math.Inf(1)

// RateOf returns the rate in requests per second that a response states, Unlimited if it
// states none. Of several, the lowest counts; numbers below minRate are raised to it, and
// those from maxRate on are no limit. isReadable is false if none of the values has a
// meaning, such as NaN and negative numbers: the response then neither sets a limit nor ends
// one.
func RateOf(stated []float64) (rate float64, isReadable bool) {
	rate, isReadable = Unlimited, len(stated) == 0
	for _, value := range stated {
		if math.IsNaN(value) || value < 0 {
			continue
		}
		isReadable = true
		if value < maxRate {
			rate = min(rate, max(value, minRate))
		}
	}
	return rate, isReadable
}

// Package breaker decides from the outcomes of real requests whether an endpoint
// is trusted with more of them. Health answers play no part: an endpoint may
// fail requests while it calls itself healthy.
//
// An endpoint that fails too often is left alone for a cooling time that doubles
// while it goes on failing. After that it gets one request at a time until one
// succeeds. The owner decides what to do when no endpoint of a service is
// trusted; a Breaker alone never empties a service.
package breaker

import "time"

const (
	// window is how many of the last outcomes count.
	window = 12
	// minOutcomes is the least number of outcomes to judge by their ratio.
	minOutcomes = 5
	// maxRatio is the share of failures above which an endpoint is distrusted.
	// Some requests fail by themselves, at a share well below this.
	maxRatio = 0.4
	// maxUnreachable is how many connection failures in a row end the trust. With
	// two, each of many routers pays twice for an endpoint that is gone.
	maxUnreachable = 1
	// minCooling and maxCooling bound the time for which an endpoint is left alone.
	minCooling = 500 * time.Millisecond
	maxCooling = 8 * time.Second
)

// Outcome is how a request ended at an endpoint.
type Outcome uint8

const (
	// Succeeded requests were answered.
	Succeeded Outcome = iota
	// Failed requests were answered with a failure, broken off, or not answered in time.
	Failed
	// Unreachable endpoints took no connection.
	Unreachable
	// Neutral outcomes say nothing about the endpoint, such as a caller that left.
	Neutral
)

// Breaker judges one endpoint. The zero value trusts it.
type Breaker struct {
	failed      [window]bool
	count, next int
	unreachable int
	cooling     time.Duration
	openUntil   time.Duration
	isOpen      bool
	// isProbed says that a single request is under way after the cooling time.
	isProbed bool
}

// Allows reports whether the endpoint may get a request at now.
func (b *Breaker) Allows(now time.Duration) bool {
	return !b.isOpen || now >= b.openUntil && !b.isProbed
}

// Sent notes that the endpoint gets a request.
func (b *Breaker) Sent(now time.Duration) {
	if b.isOpen && now >= b.openUntil {
		b.isProbed = true
	}
}

// IsOpen reports whether the endpoint is distrusted.
func (b *Breaker) IsOpen() bool { return b.isOpen }

// IsUnreachable reports whether the endpoint is distrusted since it took no
// connections. Unlike failed requests that says nothing about the requests.
func (b *Breaker) IsUnreachable() bool { return b.isOpen && b.unreachable >= maxUnreachable }

// Report takes the outcome of a request and reports whether trust changed.
func (b *Breaker) Report(now time.Duration, outcome Outcome) (isChanged bool) {
	switch outcome {
	case Neutral:
		b.isProbed = false
		return false
	case Succeeded:
		b.unreachable = 0
		b.record(false)
		if b.isOpen && b.isProbed {
			*b = Breaker{}
			return true
		}
		return false
	case Unreachable:
		b.unreachable++
	}
	b.record(true)
	if b.isOpen {
		if b.isProbed {
			b.open(now)
		}
		return false
	}
	if b.unreachable < maxUnreachable && !b.isFailing() {
		return false
	}
	b.open(now)
	return true
}

func (b *Breaker) open(now time.Duration) {
	b.cooling = min(max(2*b.cooling, minCooling), maxCooling)
	b.openUntil = now + b.cooling
	b.isOpen, b.isProbed = true, false
}

func (b *Breaker) record(failed bool) {
	b.failed[b.next] = failed
	b.next = (b.next + 1) % window
	b.count = min(b.count+1, window)
}

func (b *Breaker) isFailing() bool {
	failures := 0
	for _, failed := range b.failed {
		if failed {
			failures++
		}
	}
	return b.count >= minOutcomes && float64(failures) > maxRatio*float64(b.count)
}

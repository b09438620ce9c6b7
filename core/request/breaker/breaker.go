// Package breaker implements a circuit breaker for one endpoint, driven by the
// outcomes of real requests. It ignores health checks: an endpoint may fail
// requests while it reports itself healthy.
//
// The breaker of an endpoint that fails too often opens for a cooldown that
// doubles with each failed probe. After the cooldown it allows one request at a
// time until one succeeds. The owner decides what to do when the breakers of all
// endpoints of a service are open; a Breaker alone never takes a service out of use.
package breaker

import "time"

const (
	// windowSize is the number of latest outcomes that are counted.
	windowSize = 12
	// minOutcomes is the number of outcomes from which the failure ratio applies.
	minOutcomes = 5
	// maxFailureRatio is the failure ratio above which the breaker opens. Failures that
	// the requests themselves cause stay well below it.
	maxFailureRatio = 0.4
	// connectFailureLimit is the number of consecutive connection failures that opens
	// the breaker. With two, each of many routers would spend two attempts on an
	// endpoint that is down.
	connectFailureLimit = 1
	// minCooldown and maxCooldown bound the time without requests before each probe.
	minCooldown = 500 * time.Millisecond
	maxCooldown = 8 * time.Second
)

// Outcome is how a request ended at an endpoint.
type Outcome uint8

const (
	// Succeeded requests were answered.
	Succeeded Outcome = iota
	// Failed requests got an error response, were cut off, or timed out.
	Failed
	// Unreachable endpoints did not accept a connection.
	Unreachable
	// Neutral outcomes say nothing about the endpoint, such as a caller that disconnected.
	Neutral
)

// Breaker is the circuit breaker of one endpoint. The zero value is closed. Times
// are readings of a monotonic clock.
type Breaker struct {
	failed          [windowSize]bool
	count, next     int
	connectFailures int
	cooldown        time.Duration
	openUntil       time.Duration
	isOpen          bool
	// isProbing is set while a probe request is in flight after the cooldown.
	isProbing bool
}

// Allows reports whether a request may be sent to the endpoint at now.
func (b *Breaker) Allows(now time.Duration) bool {
	return !b.isOpen || now >= b.openUntil && !b.isProbing
}

// Sent records that a request is sent to the endpoint.
func (b *Breaker) Sent(now time.Duration) {
	if b.isOpen && now >= b.openUntil {
		b.isProbing = true
	}
}

// IsOpen reports whether the breaker is open, also while a probe is in progress.
func (b *Breaker) IsOpen() bool { return b.isOpen }

// IsUnreachable reports whether the breaker is open because of connection
// failures, which the requests themselves can't cause.
func (b *Breaker) IsUnreachable() bool { return b.isOpen && b.connectFailures >= connectFailureLimit }

// Report records the outcome of a request and reports whether the breaker opened
// or closed.
func (b *Breaker) Report(now time.Duration, outcome Outcome) (isChanged bool) {
	switch outcome {
	case Neutral:
		b.isProbing = false
		return false
	case Succeeded:
		b.connectFailures = 0
		b.record(false)
		if b.isOpen && b.isProbing {
			*b = Breaker{}
			return true
		}
		return false
	case Unreachable:
		b.connectFailures++
	}
	b.record(true)
	if b.isOpen {
		if b.isProbing {
			b.open(now)
		}
		return false
	}
	if b.connectFailures < connectFailureLimit && !b.isFailing() {
		return false
	}
	b.open(now)
	return true
}

func (b *Breaker) open(now time.Duration) {
	b.cooldown = min(max(2*b.cooldown, minCooldown), maxCooldown)
	b.openUntil = now + b.cooldown
	b.isOpen, b.isProbing = true, false
}

func (b *Breaker) record(failed bool) {
	b.failed[b.next] = failed
	b.next = (b.next + 1) % windowSize
	b.count = min(b.count+1, windowSize)
}

func (b *Breaker) isFailing() bool {
	failures := 0
	for _, failed := range b.failed {
		if failed {
			failures++
		}
	}
	return b.count >= minOutcomes && float64(failures) > maxFailureRatio*float64(b.count)
}

// Package drain decides which requests a router still takes after it was told to
// stop, so that the end of its process cuts off none of them.
//
// Invariant: a request that Admits accepts after AddressesExpireAt ends before
// AnswerBy, since its time limit does, unless a reload brings AnswerBy forward. Before that, callers find this router in
// addresses that they may still use, and a request with a longer limit is accepted
// if answers on its route have taken much less than the time left.
package drain

import "time"

// Plan is the course of a stop. Times are on a clock that keeps running during suspend.
type Plan struct {
	// AddressesExpireAt is when the last response that names this router has expired.
	// New connections are refused from then on, and idle ones are closed.
	AddressesExpireAt time.Duration
	// AnswerBy is when requests in flight are ended with an error, so that their
	// callers still get it.
	AnswerBy time.Duration
	// ExitAt is when the process must have exited.
	ExitAt time.Duration
}

// Admits reports whether a request can end in time. limit is the time after which it
// ends in any case; expected is how long it is likely to take at most, if known.
func (p Plan) Admits(now, limit, expected time.Duration, isKnown bool) bool {
	left := p.AnswerBy - now
	return limit <= left || isKnown && expected <= left && now < p.AddressesExpireAt
}

// WithExitAt returns the plan with an earlier exit; a later one doesn't change it.
func (p Plan) WithExitAt(exitAt time.Duration) Plan {
	earlier := max(0, p.ExitAt-exitAt)
	p.ExitAt -= earlier
	p.AnswerBy -= earlier
	p.AddressesExpireAt = min(p.AddressesExpireAt, p.AnswerBy)
	return p
}

package retry

import "time"

const (
	// askFraction is the interval at which a late attempt asks for another place, as a
	// fraction of its timeout, and minAskInterval the minimum.
	askFraction    = 0.5
	minAskInterval = 10 * time.Millisecond
	// usualFactor is the multiple of the usual time before which an attempt is not late.
	// With one, every second answer would be.
	usualFactor = 1.5
	// MinTimeLeft is the minimum time left with which a retry is worth sending.
	MinTimeLeft = 5 * time.Millisecond
)

// LateLimits are the times of one attempt, as readings of a monotonic clock.
type LateLimits struct {
	StartedAt, EndsAt time.Duration
	// Timeout is the time after which an attempt that may be retried is late; zero if it may
	// not be. It is not late before a multiple of Usual, the mean time that answers of the
	// service take; zero if that is not known.
	Timeout, Usual time.Duration
	// Overdue is the time after which its endpoint is reported as failed, and the attempt is
	// late in any case.
	Overdue time.Duration
}

// LateAttempt decides what to do about an attempt without a response. A late one is given up
// once another endpoint has a place for the request and the retry budget allows it; until
// then it goes on.
//
// If late attempts were given up first, then with all endpoints of a service slow and at
// capacity, requests would fail that were about to be answered. If attempts at a service that
// is slower than the timeout were late before its usual time, all its requests would be sent
// twice and all its endpoints would count as failing.
type LateAttempt struct {
	limits    LateLimits
	askAt     time.Duration
	isOverdue bool
	isEnded   bool
}

// NewLateAttempt returns the state of an attempt that starts.
func NewLateAttempt(limits LateLimits) *LateAttempt {
	if limits.Timeout > 0 {
		limits.Timeout = max(limits.Timeout, min(time.Duration(usualFactor*float64(limits.Usual)), limits.Overdue))
	}
	return &LateAttempt{limits: limits, askAt: limits.StartedAt + limits.Timeout}
}

// LateActions are what to do about an attempt now.
type LateActions struct {
	// IsOverdue is set, once, when the endpoint is to be reported as failed.
	IsOverdue bool
	// ShouldAsk is set when the owner should ask for another place and, if there is one, give
	// the attempt up and call End.
	ShouldAsk bool
}

// Step returns what is due at now.
func (l *LateAttempt) Step(now time.Duration) LateActions {
	var actions LateActions
	if l.isEnded {
		return actions
	}
	if !l.isOverdue && now >= l.limits.StartedAt+l.limits.Overdue {
		l.isOverdue, actions.IsOverdue = true, true
	}
	if l.mayAsk(now) && now >= l.askAt {
		actions.ShouldAsk = true
		l.askAt = now + max(minAskInterval, time.Duration(askFraction*float64(l.limits.Timeout)))
	}
	return actions
}

// End records that the attempt was answered, failed or was given up. Nothing is due any more.
func (l *LateAttempt) End() { l.isEnded = true }

// Next returns the time of the next Step; isDue is false if none is needed.
func (l *LateAttempt) Next(now time.Duration) (at time.Duration, isDue bool) {
	if l.isEnded {
		return 0, false
	}
	overdueAt := l.limits.StartedAt + l.limits.Overdue
	switch {
	case !l.mayAsk(max(now, l.askAt)):
		return overdueAt, !l.isOverdue
	case l.isOverdue:
		return l.askAt, true
	}
	return min(l.askAt, overdueAt), true
}

func (l *LateAttempt) mayAsk(now time.Duration) bool {
	return l.limits.Timeout > 0 && l.limits.EndsAt-now >= MinTimeLeft
}

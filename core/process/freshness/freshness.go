// Package freshness decides whether a router's configuration was confirmed
// recently enough to accept the secrets in it.
//
// Invariant: IsFresh is true only if, at some moment within the last Lifetime, no
// version newer than the one in force existed. The age of a confirmation counts
// from the start of the store call that gave it, as the response may have been
// true only then. It is measured on a clock that keeps running during suspend.
package freshness

import "time"

// DeliveryMargin is subtracted from the time for which a removed secret may be
// accepted, as an accepted request takes time to reach its endpoint.
const DeliveryMargin = 500 * time.Millisecond

// Lease holds the latest confirmation of one router. It is an immutable value;
// callers pass times read from a clock that keeps running during suspend.
type Lease struct {
	// Lifetime is how long a confirmation is valid; zero means indefinitely.
	Lifetime time.Duration
	// confirmedAt is the start of the latest confirming call.
	confirmedAt time.Duration
	isConfirmed bool
}

// NewLease returns an unconfirmed lease. A removed secret must not be accepted for
// longer than bound; zero means no bound.
func NewLease(bound time.Duration) Lease {
	if bound == 0 {
		return Lease{}
	}
	return Lease{Lifetime: bound - DeliveryMargin}
}

// WithBound returns the lease with another bound and the same confirmation.
func (l Lease) WithBound(bound time.Duration) Lease {
	l.Lifetime = NewLease(bound).Lifetime
	return l
}

// Confirm records that a store call started at startedAt found the version in
// force to be the latest. It returns the updated lease.
func (l Lease) Confirm(startedAt time.Duration) Lease {
	if !l.isConfirmed || startedAt > l.confirmedAt {
		l.confirmedAt, l.isConfirmed = startedAt, true
	}
	return l
}

// IsFresh reports whether secrets may be accepted at now.
func (l Lease) IsFresh(now time.Duration) bool {
	return l.isConfirmed && (l.Lifetime == 0 || now-l.confirmedAt < l.Lifetime)
}

// Age returns the age of the latest confirmation, or false if there is none.
func (l Lease) Age(now time.Duration) (time.Duration, bool) {
	return now - l.confirmedAt, l.isConfirmed
}

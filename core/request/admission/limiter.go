// Package admission enforces each client account's request rate limit across the
// fleet, where each router sees only some of the account's requests.
//
// Rendezvous hashing over the live routers selects one home router per account.
// Routers report the account's demand to it and get a share of the limit that
// follows their demand. A router without a share uses an equal part of the limit.
// The package has no I/O or clock, and its types are not safe for concurrent use.
package admission

import (
	"math"
	"time"
)

// Parameters of the reports to an account's home router and of the token buckets.
const (
	// ReportInterval is the minimum time between two reports of an account's
	// demand. Interval scales it with the fleet, so that a home router gets at
	// most about ReportsPerSecond for an account.
	ReportInterval   = time.Second
	ReportsPerSecond = 40
	// ShareIntervals is the lifetime of a share in report intervals.
	ShareIntervals = 4
	// BurstTime and MinBurst set the bucket size: MinBurst requests plus the share
	// over BurstTime.
	BurstTime = 2 * time.Second
	MinBurst  = 5
	// unreportedFraction is the fraction of its equal part of the limit below which
	// a router need not report. The home router holds back as much for each router
	// that did not report: a twentieth saves the reports for accounts far below
	// their limits and leaves an account whose requests all reach one router 95% of
	// its limit.
	unreportedFraction = 0.05
	// idleTimeout is the time without requests after which an account is dropped.
	idleTimeout = 20 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay after a refusal.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Demand is the request rate of an account at one router.
type Demand struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	Account  string
	Router   string
	// Rate is in requests per second, including refused ones.
	Rate float64
}

// Share is the part of an account's limit that a router may use.
type Share struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	Account  string
	// Rate is in requests per second.
	Rate float64
}

// bucket is a token bucket whose rate changes with the router's share.
type bucket struct {
	tokens      float64
	limit       float64
	refilledAt  time.Time
	share       float64
	sharedAt    time.Time
	requests    int
	lastRequest time.Time
	demand      float64
	countedFrom time.Time
}

// Interval returns the time between two reports in a fleet of so many routers.
func Interval(routers int) time.Duration {
	return ReportInterval * time.Duration(max(1, (routers+ReportsPerSecond-1)/ReportsPerSecond))
}

// Limiter runs on every router: it admits requests within the router's shares.
type Limiter struct {
	buckets map[string]*bucket
	routers int
}

// NewLimiter returns a limiter for a fleet of one router.
func NewLimiter() *Limiter {
	return &Limiter{buckets: make(map[string]*bucket), routers: 1}
}

// SetRouters sets the number of routers that are considered live.
func (l *Limiter) SetRouters(count int) {
	l.routers = max(1, count)
}

// Allow reports whether a request of an account is admitted. limit is the account's
// rate across the fleet in requests per second; zero means no limit. After a
// refusal, retryAfter is the time until this router has a token again.
func (l *Limiter) Allow(now time.Time, account string, limit float64) (isAllowed bool, retryAfter time.Duration) {
	if limit <= 0 {
		return true, 0
	}
	b, ok := l.buckets[account]
	if !ok {
		b = &bucket{refilledAt: now, countedFrom: now}
		b.tokens = burst(l.rate(now, b, limit))
		l.buckets[account] = b
	}
	b.requests++
	b.lastRequest = now
	b.limit = limit
	rate := l.rate(now, b, limit)
	b.tokens = min(burst(rate), b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	wait := (1 - b.tokens) / math.Max(rate, 1/maxRetryAfter.Seconds())
	return false, min(maxRetryAfter, max(minRetryAfter, time.Duration(wait*float64(time.Second))))
}

// rate returns the share, or the equal part of limit if there is no current share.
func (l *Limiter) rate(now time.Time, b *bucket, limit float64) float64 {
	if !b.sharedAt.IsZero() && now.Sub(b.sharedAt) <= ShareIntervals*Interval(l.routers) {
		return min(limit, b.share)
	}
	return limit / float64(l.routers)
}

func burst(rate float64) float64 {
	return MinBurst + rate*BurstTime.Seconds()
}

// SetShare stores a share received from the account's home router.
func (l *Limiter) SetShare(now time.Time, share Share) {
	if b, ok := l.buckets[share.Account]; ok {
		b.share, b.sharedAt = share.Rate, now
	}
}

// Demands returns the reports due now: accounts that have a share, are nearly out
// of tokens, or exceeded unreportedFraction. A router below its equal part reports
// too, because the home router would otherwise give that part to another router.
func (l *Limiter) Demands(now time.Time, router string) []Demand {
	var demands []Demand
	for account, b := range l.buckets {
		if now.Sub(b.lastRequest) > idleTimeout {
			delete(l.buckets, account)
			continue
		}
		interval := now.Sub(b.countedFrom)
		isNearlyEmpty := b.sharedAt.IsZero() && b.tokens <= MinBurst/2
		if interval <= 0 || (interval < Interval(l.routers) && !isNearlyEmpty) {
			continue
		}
		// requests is the number per second since countedFrom.
		requests := float64(b.requests) / interval.Seconds()
		b.demand = b.demand/2 + requests/2
		b.requests, b.countedFrom = 0, now
		if b.sharedAt.IsZero() && !isNearlyEmpty && requests <= unreportedFraction*b.limit/float64(l.routers) {
			continue
		}
		demands = append(demands, Demand{Account: account, Router: router, Rate: b.demand})
	}
	return demands
}

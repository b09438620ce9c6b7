// Package admission keeps each client account within its request rate while
// many routers each see a part of the account's requests.
//
// One router, the home of an account, follows from the live view by rendezvous
// hashing. Routers tell it how much the account asks of them, and it gives each
// a share of the limit that follows demand. A router without a share uses an
// equal part. Nothing here has I/O or a clock, and types are not safe for
// concurrent use.
package admission

import (
	"math"
	"time"
)

// Times of the exchange between a router and the home of an account.
const (
	// ReportInterval is the least time between two reports of an account's
	// demand. It grows with the fleet, so that the home of an account hears at
	// most about ReportsPerSecond.
	ReportInterval   = time.Second
	ReportsPerSecond = 40
	// ShareIntervals is for how many report intervals a share is used.
	ShareIntervals = 4
	// BurstTime and MinBurst are how much of its share a router may use at once.
	BurstTime = 2 * time.Second
	MinBurst  = 5
	// quietPart is the part of its equal part below which a router need not
	// report. The home holds back as much for each router that did not report:
	// a twentieth keeps accounts far from their limits out of the exchange and
	// leaves an account that meets one router 95% of its limit.
	quietPart = 0.05
	// idleTime is how long an account without requests is remembered.
	idleTime = 20 * time.Second
	// minRetryAfter and maxRetryAfter bound the time to come back.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Demand is how much an account asks of one router.
type Demand struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	Account  string
	Router   string
	// Rate is in requests per second, refused ones included.
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
	tokens  float64
	limit   float64
	filled  time.Time
	share   float64
	shared  time.Time
	asked   int
	last    time.Time
	demand  float64
	counted time.Time
}

// Interval returns the time between two reports in a fleet of this size.
func Interval(routers int) time.Duration {
	return ReportInterval * time.Duration(max(1, (routers+ReportsPerSecond-1)/ReportsPerSecond))
}

// Limiter is the router's side: it admits requests within the router's shares.
type Limiter struct {
	buckets map[string]*bucket
	routers int
}

// NewLimiter returns a limiter of a fleet of one router.
func NewLimiter() *Limiter {
	return &Limiter{buckets: make(map[string]*bucket), routers: 1}
}

// SetRouters sets how many routers are believed live.
func (l *Limiter) SetRouters(count int) {
	l.routers = max(1, count)
}

// Allow reports whether a request of an account may go on. limit is the
// account's rate across the fleet in requests per second; zero means no limit.
// After a refusal, retryAfter is when this router will have room again.
func (l *Limiter) Allow(now time.Time, account string, limit float64) (isAllowed bool, retryAfter time.Duration) {
	if limit <= 0 {
		return true, 0
	}
	b, ok := l.buckets[account]
	if !ok {
		b = &bucket{filled: now, counted: now}
		b.tokens = burst(l.rate(now, b, limit))
		l.buckets[account] = b
	}
	b.asked++
	b.last = now
	b.limit = limit
	rate := l.rate(now, b, limit)
	b.tokens = min(burst(rate), b.tokens+rate*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	wait := (1 - b.tokens) / math.Max(rate, 1/maxRetryAfter.Seconds())
	return false, min(maxRetryAfter, max(minRetryAfter, time.Duration(wait*float64(time.Second))))
}

// rate returns the share in force.
func (l *Limiter) rate(now time.Time, b *bucket, limit float64) float64 {
	if !b.shared.IsZero() && now.Sub(b.shared) <= ShareIntervals*Interval(l.routers) {
		return min(limit, b.share)
	}
	return limit / float64(l.routers)
}

func burst(rate float64) float64 {
	return MinBurst + rate*BurstTime.Seconds()
}

// SetShare takes in what the home of an account gave.
func (l *Limiter) SetShare(now time.Time, share Share) {
	if b, ok := l.buckets[share.Account]; ok {
		b.share, b.shared = share.Rate, now
	}
}

// Demands returns what to report now: each account that asked for more than the
// quiet part lately, or that holds a share. A router within its equal part
// reports too, for else the home would give that part to another.
func (l *Limiter) Demands(now time.Time, router string) []Demand {
	var demands []Demand
	for account, b := range l.buckets {
		if now.Sub(b.last) > idleTime {
			delete(l.buckets, account)
			continue
		}
		interval := now.Sub(b.counted)
		isShort := b.shared.IsZero() && b.tokens <= MinBurst/2
		if interval <= 0 || (interval < Interval(l.routers) && !isShort) {
			continue
		}
		asked := float64(b.asked) / interval.Seconds()
		b.demand = b.demand/2 + asked/2
		b.asked, b.counted = 0, now
		if b.shared.IsZero() && !isShort && asked <= quietPart*b.limit/float64(l.routers) {
			continue
		}
		demands = append(demands, Demand{Account: account, Router: router, Rate: b.demand})
	}
	return demands
}

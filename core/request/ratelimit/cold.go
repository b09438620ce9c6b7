package ratelimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"gentianhead/core/process/presence"
)

const (
	// coldDoubling is how many times the parts of a cold limit may be in use: once on either
	// side of a partition, by routers that forgot or never knew those of the other side.
	coldDoubling = 2
	// coldMargin is the fraction of the bound that is used. The rest covers requests that are
	// written up to ColdTokenTTL after their token was taken.
	coldMargin = 0.95
	// minColdOwners is the number of owners of a cold limit, so that the loss of one leaves
	// another, and coldRatePerOwner the rate in requests per second from which it has more.
	minColdOwners, coldRatePerOwner = 2, 4
	// minColdUse is the fraction of a cold limit that bursts leave for its rate.
	minColdUse = 0.5
	// coldTTL is how long the bucket of an unused cold limit is kept. It is full by then.
	coldTTL = time.Minute
	// ColdTokenTTL is how long a token of a cold limit holds for a request that waits for a
	// connection. Requests that waited would be written at once otherwise.
	ColdTokenTTL = 50 * time.Millisecond
)

// Defaults of ColdBound, as the platform documents them.
const (
	DefaultColdOverage   = 1.5
	DefaultColdTolerance = 5.0
)

// ColdBound is the bound on the requests that a cold endpoint gets from all routers: in any
// one second, at most PerSecond times Overage plus Tolerance.
type ColdBound struct {
	PerSecond, Overage, Tolerance float64
}

// ColdLimit is the rate at which the routers together send a cold endpoint requests, in
// requests per second, and the number of its owners. Each owner has an equal part, and a burst
// of one request. A limit with a rate of zero allows none.
type ColdLimit struct {
	PerSecond float64
	Owners    int
}

// Limit returns the limit that keeps the bound. If all parts are in use coldDoubling times,
// their bursts and rates add up to coldMargin of it.
func (b ColdBound) Limit() ColdLimit {
	most := b.PerSecond*b.Overage + b.Tolerance
	if !(most >= 1) {
		return ColdLimit{}
	}
	budget := coldMargin * most / coldDoubling
	owners := max(minColdOwners, math.Ceil(b.PerSecond/coldRatePerOwner))
	owners = max(1, min(owners, math.Floor(budget-minColdUse*min(b.PerSecond, budget))))
	// A bound too low for a burst on either side of a partition leaves the lowest rate.
	return ColdLimit{PerSecond: max(minRate, min(b.PerSecond, budget-owners)), Owners: int(owners)}
}

// coldPart is this router's part of the limit of a cold process. Its bucket is kept while its
// limit or owners change, so that these make no tokens.
type coldPart struct {
	limit  ColdLimit
	tokens *rate.Limiter
	share  float64
	epoch  int
	usedAt time.Duration
	// taken counts the tokens taken.
	taken uint64
}

// ColdToken is a token of a cold limit. The zero value is none.
type ColdToken struct {
	process presence.Key
	number  uint64
	takenAt time.Duration
}

// IsZero reports whether there is no token.
func (t ColdToken) IsZero() bool { return t.number == 0 }

// coldOf returns this router's current part of the limit of a cold process.
func (c *Core) coldOf(now time.Duration, process presence.Key, limit ColdLimit) *coldPart {
	part, isKnown := c.cold[process]
	if !isKnown {
		part = &coldPart{tokens: newBucket(now, c.random())}
		c.cold[process] = part
	}
	part.usedAt = now
	if part.epoch != c.fleet.epoch || part.limit != limit {
		part.epoch, part.limit, part.share = c.fleet.epoch, limit, 0
		if limit.PerSecond > 0 && c.fleet.isOwner(process, limit.Owners, c.fleet.allLostHashes) {
			part.share = limit.PerSecond / float64(limit.Owners)
		}
		part.tokens.SetLimitAt(clock(now), rate.Limit(part.share))
	}
	return part
}

// ColdPartOf returns this router's part of the limit of a cold process.
func (c *Core) ColdPartOf(now time.Duration, process presence.Key, limit ColdLimit) Part {
	cold := c.coldOf(now, process, limit)
	return c.partOf(now, cold.share, cold.tokens)
}

// AllowsCold reports whether this router may send a cold process a request now.
func (c *Core) AllowsCold(now time.Duration, process presence.Key, limit ColdLimit) bool {
	return c.ColdPartOf(now, process, limit).Tokens >= 1
}

// TakeCold takes a token for a request that is about to be sent to a cold process, and reports
// whether there was one. held is a token that the request has already, or none: it holds for
// ColdTokenTTL. An older one is taken again, now, as long as no other was taken since.
func (c *Core) TakeCold(now time.Duration, process presence.Key, limit ColdLimit, held ColdToken) (token ColdToken, isTaken bool) {
	if held.process == process && !held.IsZero() && now-held.takenAt <= ColdTokenTTL {
		return held, true
	}
	cold := c.coldOf(now, process, limit)
	if cold.share == 0 || c.fleet.settlesIn(now) > 0 {
		return held, false
	}
	if held.process == process && held.number == cold.taken && cold.tokens.TokensAt(clock(now)) < 1 {
		cold.tokens = rate.NewLimiter(rate.Limit(cold.share), 1)
	}
	if !cold.tokens.AllowN(clock(now), 1) {
		return held, false
	}
	cold.taken++
	return ColdToken{process: process, number: cold.taken, takenAt: now}, true
}

func (c *Core) tickCold(now time.Duration) {
	for process, part := range c.cold {
		if now-part.usedAt > coldTTL {
			delete(c.cold, process)
		}
	}
}

// Package ratelimit keeps the request rates that endpoints state: each holds for all routers
// of the fleet together.
//
// Load pattern: an endpoint in need names a rate in its responses, below what it gets. Each
// of many routers sends it a small part, often less than one request in the time in which
// the rate is judged, so a part of the rate for each router would allow bursts of one request
// from every router at once. Instead, a few routers own the rate of an endpoint and divide it
// equally; the others send it nothing while it has one. Owners are chosen by rendezvous
// hashing over the routers that are known to be live, without communication, for each
// endpoint anew, so that every router owns parts of some.
//
// Routers tell each other the rates that endpoints stated to them. The latest response
// counts, whichever router received it.
//
// Invariants: an owner's tokens grow at its part of the rate at most and never exceed its
// burst, whatever happens to limits and fleet; a limit that no response states any more ends;
// the state is bounded, and each entry expires.
//
// The core has no I/O, clock or goroutine and is not safe for concurrent use. Times are read
// from a clock that keeps running during suspend.
package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"gentianhead/core/process/presence"
)

const (
	// statementTTL is how long a limit holds after the latest response that stated it, and how
	// long an ended one is remembered, so that late reports don't revive it.
	statementTTL = time.Minute
	// maxLimits is the number of limits above which the oldest are dropped.
	maxLimits = 8192
	// refreshInterval is how old the latest statement known to the fleet must be for a
	// router to report another one of the same rate, and reportTime how long it is reported:
	// several beacons, as single ones get lost.
	refreshInterval = 2 * time.Second
	reportTime      = 1500 * time.Millisecond
	// minChange is the change of a rate, as a fraction, from which it is logged and reported
	// at once: an endpoint may compute another one for each response.
	minChange = 0.1
	// maxReports bounds the statements in one report, and maxAll those for a router that has
	// started.
	maxReports = 128
	maxAll     = 512
)

// limit is what is known of the rate of one process of an endpoint.
type limit struct {
	// rate is in requests per second; Unlimited once the limit has ended. announced is the
	// one that was last logged.
	rate, announced float64
	// statedAt is when the latest response that stated the rate arrived at some router.
	statedAt time.Duration
	// sharedAt is the time of the latest statement of the rate that other routers know.
	sharedAt    time.Duration
	reportUntil time.Duration
	// tokens is this router's bucket. Its rate is share, computed for the epoch of the
	// fleet.
	tokens *rate.Limiter
	share  float64
	epoch  int
}

func (l *limit) isEnded() bool { return l.rate == Unlimited }

// Core holds the limits known to one router and its parts of them. Endpoints are named by
// the keys of their processes (endpoints.Entry.Process): a restarted one is not bound by what
// the former stated.
type Core struct {
	limits map[presence.Key]*limit
	cold   map[presence.Key]*coldPart
	fleet  fleet
	random func() float64
}

// New returns a core without limits for a router that knows no other. random returns values
// in [0, 1).
func New(random func() float64) *Core {
	return &Core{limits: make(map[presence.Key]*limit), cold: make(map[presence.Key]*coldPart), fleet: newFleet(), random: random}
}

// SetRouters replaces the other live routers. After the first call, the router waits for
// settleTime before it takes part in limits.
func (c *Core) SetRouters(now time.Duration, self string, others []Router) {
	c.fleet.set(now, self, others)
}

// Stated records the rate that a response of a process stated, as RateOf returns it. The
// request was placed at placedAt: a response to one placed before a limit was last stated
// may be older than that statement and doesn't end it. Stated reports whether the rate
// changed notably.
func (c *Core) Stated(now, placedAt time.Duration, process presence.Key, perSecond float64) (isChanged bool) {
	known, isKnown := c.limits[process]
	if perSecond == Unlimited && (!isKnown || known.isEnded() || placedAt <= known.statedAt) {
		return false
	}
	isChanged = c.adopt(now, process, perSecond)
	l := c.limits[process]
	l.statedAt = now
	if isChanged || now-l.sharedAt > refreshInterval {
		l.sharedAt, l.reportUntil = now, now+reportTime
	}
	return isChanged
}

// adopt sets the rate of a process and reports whether it changed notably.
func (c *Core) adopt(now time.Duration, process presence.Key, perSecond float64) (isChanged bool) {
	l, isKnown := c.limits[process]
	if !isKnown {
		if len(c.limits) >= maxLimits {
			c.dropOldest()
		}
		l = &limit{rate: Unlimited, announced: Unlimited}
		c.limits[process] = l
	}
	if perSecond == l.rate {
		return false
	}
	if l.tokens == nil && perSecond != Unlimited {
		l.tokens = newBucket(now, c.random())
	}
	l.rate, l.epoch = perSecond, 0
	if l.isEnded() == (l.announced == Unlimited) && math.Abs(perSecond-l.announced) < minChange*l.announced {
		return false
	}
	l.announced = perSecond
	return true
}

// newBucket returns a bucket with less than one token, so that the first requests of the
// owners of a limit are spread evenly.
func newBucket(now time.Duration, tokens float64) *rate.Limiter {
	bucket := rate.NewLimiter(1, 1)
	bucket.AllowN(clock(now-time.Duration(tokens*float64(time.Second))), 1)
	return bucket
}

func clock(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

func (c *Core) dropOldest() {
	var oldest presence.Key
	isFirst := true
	for process, l := range c.limits {
		if isFirst || l.statedAt < c.limits[oldest].statedAt {
			oldest, isFirst = process, false
		}
	}
	delete(c.limits, oldest)
}

// Report records what other routers report and returns the processes whose rates changed notably.
func (c *Core) Report(now time.Duration, reported []presence.StatedRate) (changed []presence.Key) {
	for _, stated := range reported {
		perSecond := stated.PerSecond
		if perSecond != Unlimited {
			var isReadable bool
			if perSecond, isReadable = RateOf([]float64{perSecond}); !isReadable {
				continue
			}
		}
		statedAt := now - time.Duration(stated.Age)*time.Millisecond
		known, isKnown := c.limits[stated.Process]
		isOutdated := isKnown && statedAt <= known.statedAt || now-statedAt > statementTTL
		if isOutdated || !isKnown && perSecond == Unlimited {
			continue
		}
		if c.adopt(now, stated.Process, perSecond) {
			changed = append(changed, stated.Process)
		}
		l := c.limits[stated.Process]
		l.statedAt, l.sharedAt = statedAt, statedAt
	}
	return changed
}

// Reports returns the latest statements for other routers.
func (c *Core) Reports(now time.Duration) []presence.StatedRate {
	return c.reports(now, maxReports, func(l *limit) bool { return now < l.reportUntil })
}

// All returns what is known of all limits, for routers that have started and for fleets in
// which each router passes on what it was told.
func (c *Core) All(now time.Duration) []presence.StatedRate {
	return c.reports(now, maxAll, func(*limit) bool { return true })
}

// reports returns the latest statements of those included, at most most.
func (c *Core) reports(now time.Duration, most int, isIncluded func(*limit) bool) []presence.StatedRate {
	var reports []presence.StatedRate
	for process, l := range c.limits {
		if isIncluded(l) {
			age := uint32((now - l.statedAt) / time.Millisecond)
			reports = append(reports, presence.StatedRate{Process: process, PerSecond: l.rate, Age: age})
		}
	}
	slices.SortFunc(reports, func(a, b presence.StatedRate) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Process, b.Process))
	})
	return reports[:min(len(reports), most)]
}

// Tick drops limits that no response has stated for statementTTL, and routers that were lost
// long ago.
func (c *Core) Tick(now time.Duration) {
	for process, l := range c.limits {
		if now-l.statedAt > statementTTL {
			delete(c.limits, process)
		}
	}
	c.tickCold(now)
	c.fleet.tick(now)
}

// limitOf returns the limit of a process with this router's current part of it, or nil if it
// has none.
func (c *Core) limitOf(now time.Duration, process presence.Key) *limit {
	l, isKnown := c.limits[process]
	if !isKnown || l.isEnded() {
		return nil
	}
	if l.epoch != c.fleet.epoch {
		l.epoch = c.fleet.epoch
		burst := 1
		if l.share, burst = c.fleet.part(process, l.rate); l.share > 0 {
			l.tokens.SetBurstAt(clock(now), burst)
		}
		l.tokens.SetLimitAt(clock(now), rate.Limit(l.share))
	}
	return l
}

// IsLimited reports whether a process has a limit.
func (c *Core) IsLimited(process presence.Key) bool {
	l, isKnown := c.limits[process]
	return isKnown && !l.isEnded()
}

// Rate returns the rate of a process in requests per second, Unlimited if it has no limit.
func (c *Core) Rate(process presence.Key) float64 {
	if l, isKnown := c.limits[process]; isKnown {
		return l.rate
	}
	return Unlimited
}

// Allows reports whether this router may send a process a request now.
func (c *Core) Allows(now time.Duration, process presence.Key) bool {
	l := c.limitOf(now, process)
	return l == nil || c.mayUse(now, l) && l.tokens.TokensAt(clock(now)) >= 1
}

// Take takes the token for a request that is about to be sent. It reports whether there was
// one, or no limit.
func (c *Core) Take(now time.Duration, process presence.Key) bool {
	l := c.limitOf(now, process)
	return l == nil || c.mayUse(now, l) && l.tokens.AllowN(clock(now), 1)
}

// mayUse reports whether this router is an owner of a limit.
func (c *Core) mayUse(now time.Duration, l *limit) bool {
	return l.share > 0 && c.fleet.settlesIn(now) == 0
}

// Part is this router's part of a limit.
type Part struct {
	// PerSecond is its rate in requests per second, and Tokens the requests that it may send
	// now. Both are zero if other routers own the limit.
	PerSecond, Tokens float64
	// Wait is the time until there is a token; it has no meaning if PerSecond is zero.
	Wait time.Duration
}

// PartOf returns this router's part of the limit of a process. isLimited is false if it has
// none.
func (c *Core) PartOf(now time.Duration, process presence.Key) (part Part, isLimited bool) {
	l := c.limitOf(now, process)
	if l == nil {
		return Part{}, false
	}
	return c.partOf(now, l.share, l.tokens), true
}

func (c *Core) partOf(now time.Duration, share float64, tokens *rate.Limiter) Part {
	if share == 0 {
		return Part{}
	}
	part := Part{PerSecond: share, Tokens: tokens.TokensAt(clock(now))}
	part.Wait = time.Duration(math.Max(0, 1-part.Tokens) / share * float64(time.Second))
	if settlesIn := c.fleet.settlesIn(now); settlesIn > 0 {
		part.Tokens, part.Wait = 0, max(part.Wait, settlesIn)
	}
	return part
}

// Limited returns the number of processes with a limit, and of those that this router owns
// a part of.
func (c *Core) Limited(now time.Duration) (limited, owned int) {
	for process := range c.limits {
		if l := c.limitOf(now, process); l != nil {
			limited++
			if l.share > 0 {
				owned++
			}
		}
	}
	return limited, owned
}

// Package shedding decides which requests are refused when a service has too little capacity:
// those whose refusal costs callers least.
//
// A caller of a long, late or less urgent request loses less per unit of capacity, and an
// account that sends many times its usual load should not displace the others. Each router
// sees a sample of the fleet's requests and decides from that alone; decisions add up as
// routers see about the same mix.
//
// The package has no I/O, clock, goroutine or random source; the owner serializes calls.
// Times are readings of a monotonic clock.
package shedding

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gentianhead/core/request/retrydelay"
)

const (
	// timeConstant is the time constant of the moving averages. A router of a large fleet gets
	// less than one request of an account in two seconds, so that refused callers who repeat
	// at once would count no more than others; a surge lasts about ten.
	timeConstant = 5 * time.Second
	// ranks is the number of ranks that are told apart.
	ranks = 8
	// maxFlows bounds the tracked accounts of all ranks.
	maxFlows = 4096
	// minDemand is the demand, in requests, below which a flow is dropped.
	minDemand = 0.02
	// rankFloor is the part of the average served share that each rank gets before the more
	// urgent ranks get the rest. With the tilts below, each class is served more than a quarter
	// as often as all.
	rankFloor = 0.4
	// maxExcess is the largest fraction that is refused of all requests. What is served beyond
	// it are mostly the most urgent ones; with 1 instead, a twelfth of these is refused at 1.3
	// times the capacity.
	maxExcess = 0.9
	// accountFloor is the part of its rank's served share that each account gets.
	accountFloor = 0.25
	// minWorkTilt and maxWorkTilt bound the factor of the served share of large and small
	// requests. The largest of a class must be served at least half as often as the class.
	minWorkTilt, maxWorkTilt = 0.7, 1.15
	// lateTilt is the factor for requests that would be late, and returnTilt that for those
	// that were refused before and came back when they were told to.
	lateTilt, returnTilt = 0.8, 1.15
	// hastyTilt is the factor for requests that come back earlier than they were told to.
	hastyTilt = 0.25
	// hastyTolerance is how much earlier a caller may be, as delays are sent rounded.
	hastyTolerance = 10 * time.Millisecond
	// returnWindow is how long a refusal is remembered, maxRefusals how many are.
	returnWindow = time.Second
	maxRefusals  = 4096
)

// Request is a request that may be refused.
type Request struct {
	Account string
	// Rank orders requests; 0 is the most urgent.
	Rank int
	// Work is what it needs of the service, in any unit; zero if that is unknown.
	Work float64
	// Target is its target latency and Left the time until its deadline, each zero if there is
	// none.
	Target, Left time.Duration
	// Repeat is equal for repeats of one request; zero if that is not known.
	Repeat uint64
}

// Room is what a service has left.
type Room struct {
	// HasFreePlace is set if the request would not wait.
	HasFreePlace bool
	// Excess is the fraction of all requests for which there is no capacity. It may be outside
	// [0, 1].
	Excess float64
	// Expected is the time until the request would be answered, zero if unknown.
	Expected time.Duration
}

// Reason is what determined a decision.
type Reason string

// The reasons. Each names the order that put the request behind others.
const (
	NotShed    Reason = ""
	ByCapacity Reason = "capacity"
	ByRank     Reason = "rank"
	ByAccount  Reason = "account"
	ByWork     Reason = "work"
	ByTarget   Reason = "target"
	ByRepeat   Reason = "repeat"
	ByDeadline Reason = "deadline"
)

// Decision is what should happen to a request.
type Decision struct {
	// Fraction of such requests is to be refused.
	Fraction float64
	Reason   Reason
}

// Core holds the requests of one service that a router got lately. The zero value is ready to
// use.
type Core struct {
	flows map[flow]float64
	// accounts and byRank are the sums of flows.
	accounts map[string]float64
	byRank   [ranks]float64
	// requests and work are the number of requests with known work, and their work.
	requests, work float64
	decayedAt      time.Duration
	refusals       map[uint64]refusal
}

type flow struct {
	account string
	rank    int
}

// refusal is when a request was refused and when its caller was to come back.
type refusal struct{ at, until time.Duration }

func rankOf(request Request) int { return min(max(request.Rank, 0), ranks-1) }

// Record records a request, whether it is served or not.
func (c *Core) Record(now time.Duration, request Request) {
	if c.flows == nil {
		c.flows, c.accounts, c.refusals = make(map[flow]float64), make(map[string]float64), make(map[uint64]refusal)
	}
	c.decay(now)
	key := flow{request.Account, rankOf(request)}
	if _, isKnown := c.flows[key]; isKnown || len(c.flows) < maxFlows {
		c.flows[key]++
		c.accounts[key.account]++
		c.byRank[key.rank]++
	}
	if request.Work > 0 {
		c.requests++
		c.work += request.Work
	}
}

// decay applies the exponential decay, at most twenty times per time constant.
func (c *Core) decay(now time.Duration) {
	passed := now - c.decayedAt
	if passed < timeConstant/20 {
		return
	}
	c.decayedAt = now
	factor := math.Exp(-float64(passed) / float64(timeConstant))
	c.requests, c.work = c.requests*factor, c.work*factor
	clear(c.accounts)
	c.byRank = [ranks]float64{}
	for key, demand := range c.flows {
		if demand *= factor; demand < minDemand {
			delete(c.flows, key)
			continue
		}
		c.flows[key] = demand
		c.accounts[key.account] += demand
		c.byRank[key.rank] += demand
	}
	for key, r := range c.refusals {
		if now-r.at > returnWindow {
			delete(c.refusals, key)
		}
	}
}

// RecordRefusal records that a request is refused and its caller told to come back after a
// delay.
func (c *Core) RecordRefusal(now time.Duration, request Request, delay time.Duration) {
	if request.Repeat == 0 || len(c.refusals) >= maxRefusals {
		return
	}
	// Callers that repeat at once don't put off the time at which they are considered again.
	if r, isKnown := c.refusals[request.Repeat]; !isKnown || now >= r.until {
		c.refusals[request.Repeat] = refusal{at: now, until: now + delay - hastyTolerance}
	}
}

// Decide returns the fraction of requests like this one to refuse, and why. The fraction is
// monotone in rank. It is one only if the deadline can't be met.
func (c *Core) Decide(now time.Duration, request Request, room Room) Decision {
	if room.HasFreePlace {
		return Decision{}
	}
	if request.Left > 0 && room.Expected > request.Left {
		return Decision{Fraction: 1, Reason: ByDeadline}
	}
	served := 1 - min(max(room.Excess, 0), maxExcess)
	if served == 1 {
		return Decision{}
	}
	rank := rankOf(request)
	shares := c.rankShares(served)
	share := max(c.accountShare(shares, rank, request.Account), accountFloor*shares[rank])
	reason := ByCapacity
	switch {
	case share < shares[rank]:
		reason = ByAccount
	case shares[rank] < served:
		reason = ByRank
	}
	tilt, tiltReason := c.tilt(now, request, room)
	if tilt < 1 && tiltReason != NotShed {
		reason = tiltReason
	}
	return Decision{Fraction: 1 - min(1, share*tilt), Reason: reason}
}

// tilt returns the factor of the served share that doesn't depend on rank and account, and
// what lowers it most.
func (c *Core) tilt(now time.Duration, request Request, room Room) (tilt float64, reason Reason) {
	tilt = 1
	if request.Work > 0 && c.work > 0 {
		tilt = min(max(math.Sqrt(c.work/c.requests/request.Work), minWorkTilt), maxWorkTilt)
		if tilt < 1 {
			reason = ByWork
		}
	}
	if request.Target > 0 && room.Expected > request.Target {
		tilt, reason = tilt*lateTilt, ByTarget
	}
	r, wasRefused := c.refusals[request.Repeat]
	switch {
	case request.Repeat == 0 || !wasRefused || now-r.at > returnWindow:
	case now < r.until:
		return tilt * hastyTilt, ByRepeat
	default:
		tilt *= returnTilt
	}
	return tilt, reason
}

// rankShares returns the shares of the ranks' requests to serve, if a share of all is served:
// a floor for each, and the rest to the most urgent first.
func (c *Core) rankShares(served float64) [ranks]float64 {
	total := 0.0
	for _, demand := range c.byRank {
		total += demand
	}
	var shares [ranks]float64
	floor := rankFloor * served
	rest := (served - floor) * total
	for rank, demand := range c.byRank {
		shares[rank] = 1
		if missing := (1 - floor) * demand; missing > rest {
			shares[rank] = floor + rest/demand
			rest = 0
		}
		rest = max(0, rest-(1-floor)*demand)
		if rank > 0 {
			// A rank without recent requests is served like the next more urgent one.
			shares[rank] = min(shares[rank], shares[rank-1])
		}
	}
	return shares
}

// accountShare returns the share of an account's requests of a rank to serve. Within a rank,
// accounts are served up to a common level of all that they send. The level of a rank is at
// most that of the next more urgent one, so that the share is monotone in rank.
func (c *Core) accountShare(shares [ranks]float64, rank int, account string) float64 {
	level := math.Inf(1)
	for r := range rank + 1 {
		level = min(level, c.level(r, shares[r]))
	}
	return min(1, level/c.usage(account))
}

// usage returns the demand of an account, but at least the mean. Otherwise callers who try one
// router after the other find those that have seen none of their requests.
func (c *Core) usage(account string) float64 {
	total := 0.0
	for _, demand := range c.byRank {
		total += demand
	}
	return max(total/float64(max(1, len(c.accounts))), c.accounts[account])
}

// level returns the level at which a share of a rank's requests is served.
func (c *Core) level(rank int, share float64) float64 {
	if share >= 1 || c.byRank[rank] == 0 {
		return math.Inf(1)
	}
	type need struct{ usage, demand float64 }
	var needs []need
	inverse := 0.0
	for key, demand := range c.flows {
		if key.rank == rank {
			usage := c.usage(key.account)
			needs = append(needs, need{usage, demand})
			inverse += demand / usage
		}
	}
	slices.SortFunc(needs, func(a, b need) int { return cmp.Compare(a.usage, b.usage) })
	capacity := share * c.byRank[rank]
	for _, n := range needs {
		// Accounts up to the level are served wholly, the others up to it.
		if inverse*n.usage > capacity {
			return capacity / inverse
		}
		capacity -= n.demand
		inverse -= n.demand / n.usage
	}
	return math.Inf(1)
}

// Draw returns a number in [0, 1) for a request to compare with a fraction. It is the same at
// all routers for repeats of a request in one window, so that callers who repeat a refused
// request at once are refused again, wherever they go.
func Draw(repeat, window uint64) float64 {
	// The finalizer of SplitMix64.
	x := repeat + (window+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// RetryDelay returns the delay after which the caller of a refused request should retry, so
// that its answer may be in time; random is in [0, 1).
func RetryDelay(request Request, random float64) time.Duration {
	return retrydelay.InTime(request.Target, request.Left, random)
}

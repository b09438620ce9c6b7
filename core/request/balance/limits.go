package balance

import (
	"math"
	"slices"
	"time"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/presence"
	"gentianhead/core/request/fairness"
	"gentianhead/core/request/ratelimit"
)

// reservedFraction is the fraction of a router's parts of limits, rounded up, whose tokens
// accounts above their fair share leave to the others.
const reservedFraction = 0.4

// RateChange is a change of the request rate that an endpoint states.
type RateChange struct {
	Endpoint endpoints.Entry
	// PerSecond is the rate in requests per second, ratelimit.Unlimited without a limit, and
	// Part this router's part of it.
	PerSecond, Part float64
	// IsReported is set if another router got the response.
	IsReported bool
}

// SetRouters replaces the other live routers, with which limits are divided.
func (c *Core) SetRouters(now time.Duration, self string, others []ratelimit.Router) {
	c.limits.SetRouters(now, self, others)
}

// RecordRate records the request rate that a response of a placement's endpoint stated, in
// requests per second and ratelimit.Unlimited if it stated none.
func (c *Core) RecordRate(now time.Duration, p *Placement, perSecond float64) {
	state := c.stateOf(p)
	if state != nil && c.limits.Stated(now, p.placedAt, state.process, perSecond) {
		c.recordRateChange(now, state, false)
	}
}

func (c *Core) recordRateChange(now time.Duration, state *endpointState, isReported bool) {
	part, _ := c.limits.PartOf(now, state.process)
	c.rateChanges = append(c.rateChanges, RateChange{
		Endpoint: state.entry, PerSecond: c.limits.Rate(state.process), Part: part.PerSecond, IsReported: isReported,
	})
}

// TakeRateChanges returns the changes of stated rates since its last call.
func (c *Core) TakeRateChanges() []RateChange {
	changes := c.rateChanges
	c.rateChanges = nil
	return changes
}

// StatedRates returns the request rates known, for a router that has started.
func (c *Core) StatedRates(now time.Duration) []presence.StatedRate { return c.limits.All(now) }

// LimitedEndpoints returns the number of endpoints that state a request rate, and of those
// that this router may send requests to.
func (c *Core) LimitedEndpoints(now time.Duration) (limited, owned int) { return c.limits.Limited(now) }

// TickLimits drops limits that have expired, and notes which endpoints became cold or warm.
func (c *Core) TickLimits(now time.Duration) {
	c.tickedAt = now
	c.limits.Tick(now)
	c.trackCold(now)
}

// withinLimits divides endpoints into those whose limits allow a request now and the others.
func (c *Core) withinLimits(now time.Duration, states []*endpointState) (allowed, atLimit []*endpointState) {
	if !slices.ContainsFunc(states, func(s *endpointState) bool { return c.isLimited(now, s) }) {
		return states, nil
	}
	for _, state := range states {
		if c.allows(now, state) {
			allowed = append(allowed, state)
		} else {
			atLimit = append(atLimit, state)
		}
	}
	return allowed, atLimit
}

// isUnfairAtLimits reports whether a request should be refused although some endpoint takes
// it, because all endpoints of its service have limits, there are more requests than those
// allow, and its flow has more than its share of them. candidates is the number of endpoints
// whose limits allow a request.
//
// Without it, when all endpoints are limited, an account that sends many times its usual
// requests takes most tokens, and the others find none.
func (c *Core) isUnfairAtLimits(now time.Duration, service string, flow fairness.Flow, candidates int) bool {
	share, owned := 0.0, 0
	for _, e := range c.view.InService(service) {
		if c.isEvacuated(e) || !c.notices.MayReceive(now, e) {
			continue
		}
		part, isLimited := c.partOf(now, c.state(e))
		if !isLimited {
			return false
		}
		if part.PerSecond > 0 {
			share, owned = share+part.PerSecond, owned+1
		}
	}
	if float64(candidates) > math.Ceil(reservedFraction*float64(owned)) {
		return false
	}
	demand := &c.statsFor(service).demand
	return demand.Rate() > share && demand.IsAboveShare(flow, share/demand.Rate())
}

// LimitedFor returns the time until a service takes a request from this router again, if
// all its endpoints that take requests are at their limits. The time is zero if they are
// other routers' only.
func (c *Core) LimitedFor(now time.Duration, service string) (wait time.Duration, isLimited bool) {
	for _, e := range c.view.InService(service) {
		if c.isEvacuated(e) || !c.notices.MayReceive(now, e) {
			continue
		}
		part, isLimited := c.partOf(now, c.state(e))
		if !isLimited || part.PerSecond > 0 && part.Tokens >= 1 {
			return 0, false
		}
		if part.PerSecond > 0 && (wait == 0 || part.Wait < wait) {
			wait = part.Wait
		}
	}
	return wait, len(c.view.InService(service)) > 0
}

// Capacity returns how many requests per second the endpoints of a service can process and
// take, or zero while that is unknown.
func (c *Core) Capacity(service string) float64 {
	serviceTime := c.statsFor(service).serviceTime.value.Seconds()
	capacity := 0.0
	for _, e := range c.view.InService(service) {
		if c.isEvacuated(e) {
			continue
		}
		limit := c.rateOf(c.state(e))
		switch {
		case serviceTime > 0:
			capacity += min(float64(e.Slots)/serviceTime, limit)
		case limit == ratelimit.Unlimited:
			return 0
		default:
			capacity += limit
		}
	}
	return capacity
}

// recordReportedRates records the request rates that endpoints stated to other routers.
func (c *Core) recordReportedRates(now time.Duration, reported []presence.StatedRate) {
	changed := c.limits.Report(now, reported)
	if len(changed) == 0 {
		return
	}
	for _, state := range c.states {
		if slices.Contains(changed, state.process) {
			c.recordRateChange(now, state, true)
		}
	}
}

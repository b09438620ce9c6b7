package balance

import (
	"slices"
	"time"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/request/ratelimit"
	"gentianhead/core/version/routetable"
)

// coldTimeTTL is how long the time that cold endpoints take for a service's requests counts
// after the last measurement, so that a service whose endpoints became faster tries them again.
const coldTimeTTL = time.Minute

// ColdChange is an endpoint that became cold, or no longer is.
type ColdChange struct {
	Endpoint endpoints.Entry
	// Until is when it is expected to be warm; zero if it is. Stated is the time that it stated,
	// which may be longer than what counts, and Age the time since.
	Until, Stated, Age time.Duration
	// IsFromResponse is set if a response stated it, not the entry.
	IsFromResponse bool
	// Limit is the limit of the fleet, with a rate of zero if the service has none, and Part
	// this router's part of it.
	Limit ratelimit.ColdLimit
	Part  float64
}

// coldness is until when an endpoint is cold.
type coldness struct {
	// until and statedAt are of the latest response that stated a time, and stated is that
	// time. warmAt is when a response last stated that the endpoint is warm.
	until, stated, statedAt, warmAt time.Duration
	// wasCold is set while the endpoint is reported as cold by TakeColdChanges.
	wasCold bool
}

// SetColdBounds sets the bound on requests to a cold endpoint in any one second: overage times
// the rate of its service, plus tolerance.
func (c *Core) SetColdBounds(overage, tolerance float64) {
	c.coldOverage, c.coldTolerance = overage, tolerance
}

// RecordCold records for how long the endpoint of a placement is still cold, as a response
// stated it. A response that states zero ends a cold time only if its request was placed after
// the latest statement of one: it may be older than that otherwise.
func (c *Core) RecordCold(now time.Duration, p *Placement, remaining time.Duration) {
	state := c.stateOf(p)
	if state == nil {
		return
	}
	cold := &state.cold
	until := now + min(remaining, endpoints.MaxCold)
	isLater := p.placedAt > max(cold.statedAt, state.entry.ColdFrom)
	switch {
	case remaining > 0:
		if !isLater {
			until = max(until, cold.until)
		}
		cold.until, cold.stated, cold.statedAt = until, remaining, now
	case isLater:
		cold.until, cold.warmAt = 0, now
	}
}

// coldUntil returns when an endpoint is no longer cold.
func (c *Core) coldUntil(s *endpointState) time.Duration {
	until := s.cold.until
	if s.entry.ColdFrom == 0 || s.entry.ColdFrom <= s.cold.warmAt {
		return until
	}
	return max(until, s.entry.ColdUntil(c.serviceOf(s).ColdStart))
}

func (c *Core) isCold(now time.Duration, s *endpointState) bool {
	return (s.cold.until != 0 || s.entry.ColdFrom != 0) && now < c.coldUntil(s)
}

// serviceOf returns the service of an endpoint as configured; an empty one if it isn't.
func (c *Core) serviceOf(s *endpointState) *routetable.Service {
	if c.table != nil {
		if service, isKnown := c.table.Service(s.entry.Service); isKnown {
			return service
		}
	}
	return &routetable.Service{}
}

// coldLimit returns the fleet's limit for an endpoint while it is cold and its service has one.
func (c *Core) coldLimit(now time.Duration, s *endpointState) (limit ratelimit.ColdLimit, isLimited bool) {
	if !c.isCold(now, s) {
		return ratelimit.ColdLimit{}, false
	}
	service := c.serviceOf(s)
	if service.ColdPerSecond <= 0 {
		return ratelimit.ColdLimit{}, false
	}
	return ratelimit.ColdBound{PerSecond: service.ColdPerSecond, Overage: c.coldOverage, Tolerance: c.coldTolerance}.Limit(), true
}

// isLimited reports whether an endpoint states a request rate or is cold.
func (c *Core) isLimited(now time.Duration, s *endpointState) bool {
	_, isCold := c.coldLimit(now, s)
	return isCold || c.limits.IsLimited(s.process)
}

// allows reports whether this router may send an endpoint a request now.
func (c *Core) allows(now time.Duration, s *endpointState) bool {
	if limit, isCold := c.coldLimit(now, s); isCold && !c.limits.AllowsCold(now, s.process, limit) {
		return false
	}
	return c.limits.Allows(now, s.process)
}

// takeColdToken takes a token for a request to an endpoint that is cold, unless the placement
// has a recent one. It reports whether the request may be sent.
func (c *Core) takeColdToken(now time.Duration, s *endpointState, p *Placement) (isTaken bool) {
	limit, isCold := c.coldLimit(now, s)
	if isCold {
		p.coldToken, isTaken = c.limits.TakeCold(now, s.process, limit, p.coldToken)
	}
	return isTaken || !isCold
}

// IsCold reports whether the endpoint was cold, with a limit, when the request was placed.
func (p *Placement) IsCold() bool { return !p.coldToken.IsZero() }

// mayReceiveCold is MayReceive for the limit of a cold endpoint. An endpoint that has restarted
// at its address since the request was placed is cold although the placement's process wasn't.
func (c *Core) mayReceiveCold(now time.Duration, p *Placement) bool {
	state := c.states[p.Endpoint.ID]
	return state == nil || state.entry.Address != p.Endpoint.Address || c.takeColdToken(now, state, p)
}

// partOf returns this router's part of what limits an endpoint. isLimited is false if nothing
// does.
func (c *Core) partOf(now time.Duration, s *endpointState) (part ratelimit.Part, isLimited bool) {
	part, isLimited = c.limits.PartOf(now, s.process)
	limit, isCold := c.coldLimit(now, s)
	if !isCold {
		return part, isLimited
	}
	cold := c.limits.ColdPartOf(now, s.process, limit)
	if !isLimited {
		return cold, true
	}
	if cold.PerSecond == 0 || part.PerSecond == 0 {
		return ratelimit.Part{}, true
	}
	return ratelimit.Part{
		PerSecond: min(part.PerSecond, cold.PerSecond), Tokens: min(part.Tokens, cold.Tokens), Wait: max(part.Wait, cold.Wait),
	}, true
}

// rateOf returns the requests per second that all routers together may send an endpoint, as of
// the latest TickLimits.
func (c *Core) rateOf(s *endpointState) float64 {
	perSecond := c.limits.Rate(s.process)
	if limit, isCold := c.coldLimit(c.tickedAt, s); isCold {
		return min(perSecond, limit.PerSecond)
	}
	return perSecond
}

// withoutSlowCold leaves out cold endpoints if they would miss the request's target and warm
// ones have a free slot. It returns those left out as well.
func (c *Core) withoutSlowCold(now time.Duration, request PlacementRequest, states []*endpointState) (preferred, slow []*endpointState) {
	isCold := func(s *endpointState) bool { return c.isCold(now, s) }
	if !slices.ContainsFunc(states, isCold) {
		return states, nil
	}
	expected := c.statsFor(request.Service).expectedColdTime(now)
	if request.Target <= 0 || expected <= request.Target {
		return states, nil
	}
	hasRoom := false
	for _, state := range states {
		if isCold(state) {
			slow = append(slow, state)
			continue
		}
		preferred = append(preferred, state)
		hasRoom = hasRoom || state.running(now) < state.entry.Slots
	}
	if !hasRoom {
		return states, nil
	}
	return preferred, slow
}

// expectedColdTime returns the time in which cold endpoints answered this router's requests
// lately, to the first event of a stream; zero if that is unknown.
func (s *serviceStats) expectedColdTime(now time.Duration) time.Duration {
	if now-s.coldMeasuredAt > coldTimeTTL {
		return 0
	}
	return s.coldTime.value
}

// recordColdTime records that the endpoint of a placement answered or, for a stream, began to.
func (c *Core) recordColdTime(now time.Duration, p *Placement) {
	if !p.IsCold() || p.isAnswered {
		return
	}
	service := c.statsFor(p.Endpoint.Service)
	if now-service.coldMeasuredAt > coldTimeTTL {
		service.coldTime = movingAverage{}
	}
	service.coldTime.Add(now - p.placedAt)
	service.coldMeasuredAt = now
}

// trackCold notes which endpoints became cold or warm.
func (c *Core) trackCold(now time.Duration) {
	c.coldEndpoints, c.ownedColdLimits = 0, 0
	for _, s := range c.states {
		isCold := c.isCold(now, s)
		change := ColdChange{Endpoint: s.entry}
		if isCold {
			c.coldEndpoints++
			if limit, isLimited := c.coldLimit(now, s); isLimited {
				change.Limit, change.Part = limit, c.limits.ColdPartOf(now, s.process, limit).PerSecond
			}
			if change.Part > 0 {
				c.ownedColdLimits++
			}
		}
		if isCold == s.cold.wasCold {
			continue
		}
		s.cold.wasCold = isCold
		if isCold {
			change.Until, change.Stated, change.Age = c.coldUntil(s), s.entry.Cold, now-s.entry.ColdFrom
			if s.cold.until == change.Until {
				change.Stated, change.Age, change.IsFromResponse = s.cold.stated, now-s.cold.statedAt, true
			}
		}
		c.coldChanges = append(c.coldChanges, change)
	}
}

// TakeColdChanges returns the endpoints that became cold or warm since its last call, as of
// the latest TickLimits.
func (c *Core) TakeColdChanges() []ColdChange {
	changes := c.coldChanges
	c.coldChanges = nil
	return changes
}

// ColdEndpoints returns the number of cold endpoints, and of those whose limits this router
// owns a part of, as of the latest TickLimits.
func (c *Core) ColdEndpoints() (cold, owned int) { return c.coldEndpoints, c.ownedColdLimits }

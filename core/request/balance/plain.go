package balance

import (
	"strconv"
	"time"

	"gentianhead/core/process/entry"
)

const (
	// latencyRampStart and latencyRampEnd are the ratios of expected to target latency
	// between which refusals grow from none to all. With a single threshold, all
	// routers would stop at once and resume at once when they learn of free
	// capacity. A lower ramp refuses requests that would be in time at nine tenths of
	// the capacity; a higher one responds late at four thirds.
	latencyRampStart = 0.7
	latencyRampEnd   = 1.4
	// busyUtilization is the slot utilization above which at least recentRefusalFactor
	// of the recent refusal share is kept. The routers' load estimates oscillate;
	// accounts above their share should stay refused in between, so that the next peak
	// does not hit the others. With a lower busyUtilization, requests are refused at
	// nine tenths of the capacity.
	busyUtilization     = 1.2
	recentRefusalFactor = 0.85
	// requestsPerSlotUnmeasured is the limit of requests per slot of a server while
	// their service time or target latency is unknown.
	requestsPerSlotUnmeasured = 2
	// preferredUtilization is the slot utilization, of a service and of a server, up to which
	// repeats of a request go to the same server.
	preferredUtilization = 0.5
)

// pickPlain returns a server with capacity left, or nil.
//
// Each of many routers sends a small part of the load, and knows the others' load
// only as of their latest beacons. If each chose the server with the least load in
// these, all would overload it. So the choice is the more random, the more requests
// reach a server between two beacons. Few can reach one with a limit, which has few owners
// and whose tokens are lost if they are not used.
func (c *Core) pickPlain(now time.Duration, request PlacementRequest, candidates []*endpointState) *endpointState {
	if c.refusesAhead(now, request.Service, candidates) {
		return c.pickPressedPlain(now, request, candidates)
	}
	c.recordAsked(now, request)
	service := c.statsFor(request.Service)
	if len(request.Excluded) == 0 {
		service.demand.Record(now, request.Flow)
	}
	mean := meanRunning(now, candidates)
	unreported := c.unreported(&service.serviceTime, mean)
	var best *endpointState
	bestCost := 0.0
	for _, state := range candidates {
		slots := float64(max(1, state.entry.Slots))
		spread := 1 + unreported
		if c.isLimited(now, state) {
			spread = 0
		}
		cost := (float64(state.running(now)) + c.random()*spread) / slots
		if best == nil || cost < bestCost {
			best, bestCost = state, cost
		}
	}
	if preferred := c.preferredFor(now, request, candidates, mean+unreported); preferred != nil {
		best = preferred
	}
	running := min(float64(best.running(now)), mean)
	refused := service.refusalShare(running, best.entry.Slots, request.Target)
	if running > busyUtilization*float64(best.entry.Slots) {
		refused = max(refused, recentRefusalFactor*service.demand.RefusedFraction())
	}
	isFull := c.isDrawnForRefusal(request, service.demand.RefusalFraction(request.Flow, refused))
	if isFull || c.isUnfairAtLimits(now, request.Service, request.Flow, len(candidates)) {
		service.recordRefusal(request)
		return nil
	}
	return best
}

// preferredFor returns the server that all routers prefer for repeats of a request while the
// service is little used, or nil. mean is the expected number of requests at a server.
//
// If a request crashes the server that runs it, repeats of it at one moment then end one server
// instead of all of a small service.
func (c *Core) preferredFor(now time.Duration, request PlacementRequest, candidates []*endpointState, mean float64) *endpointState {
	if request.Repeat == 0 {
		return nil
	}
	key := strconv.FormatUint(request.Repeat, 16)
	var preferred *endpointState
	var highest uint64
	for _, state := range candidates {
		if score := entry.Score(key, state.entry.ID); preferred == nil || score > highest {
			preferred, highest = state, score
		}
	}
	isBusy := max(float64(preferred.running(now)), mean) >= preferredUtilization*float64(preferred.entry.Slots)
	if isBusy || c.isLimited(now, preferred) {
		return nil
	}
	return preferred
}

// refusalShare returns the share of requests to refuse at a server with this many
// running requests, so that the others are answered in time. It may be outside [0, 1].
func (s *serviceStats) refusalShare(running float64, slots int, target time.Duration) float64 {
	if running < float64(slots) {
		return 0
	}
	if target <= 0 || s.serviceTime.value == 0 {
		return running - requestsPerSlotUnmeasured*float64(slots) + 1
	}
	expected := float64(s.serviceTime.value) * (running + 1) / float64(max(1, slots))
	ratio := expected / float64(target)
	return (ratio - latencyRampStart) / (latencyRampEnd - latencyRampStart)
}

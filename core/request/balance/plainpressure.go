package balance

import (
	"math"
	"slices"
	"time"

	"gentianhead/core/request/exchange"
	"gentianhead/core/request/shedding"
)

const (
	// pressureRampStart and pressureRampEnd are the pressures at a plain server between which
	// refusals grow from none to all. A pressure of one is an expected latency as long as the
	// target, or as many requests as the server holds. A ramp from 0.2 to 0.8 leaves servers
	// idle; one up to 1.1 triples the requests that servers reject.
	pressureRampStart = 0.5
	pressureRampEnd   = 1
	// arrivalSpread is the range of the random part of the load that a server is compared
	// with, as a multiple of the requests that are expected to have arrived since that was
	// known. With 1 instead of 3, servers reject four times as many requests.
	arrivalSpread = 3
	// minTargetFactor times the service time is the shortest latency that requests are
	// refused for: with a target below the service time, all are late, yet worth serving.
	minTargetFactor = 1.5
	// busyShare is the share of the servers' slots in use from which they are expected to have
	// queues.
	busyShare = 0.9
	// capacityTTL is how long the capacity learned from a rejection counts. It may be too
	// low, and a server below it rejects nothing from which a higher one could be learned.
	capacityTTL = 30 * time.Second
)

// plainLoad is what a router expects of a plain server.
type plainLoad struct {
	// held is the number of requests that it runs and queues, age how old the information
	// is that this rests on.
	held float64
	age  time.Duration
	// latency is the expected latency of a new request, zero while that is unknown, and
	// pressure that relative to the target, or held relative to what the server can hold.
	latency  time.Duration
	pressure float64
}

// heldCapacity is how many requests a server holds, queued ones included, as learned from its
// rejections.
type heldCapacity struct {
	value     float64
	learnedAt time.Duration
}

// RecordRejection records that an endpoint rejected the request of a placement as it holds as
// many as it can. stated is the load that it stated with that, or nil.
//
// Without it, routers fill servers with short work until their queues overflow, since the
// expected latency of a full queue is within the target.
func (c *Core) RecordRejection(now time.Duration, p *Placement, stated *exchange.Load) {
	state := c.stateOf(p)
	if state == nil || p.Endpoint.Slots < 1 {
		return
	}
	held := float64(state.own.Running + state.peers.Running)
	if stated != nil {
		held = float64(stated.Running + stated.Waiting)
	}
	if held < float64(p.Endpoint.Slots) {
		// It rejected the request for another reason, or the load is not known.
		return
	}
	capacity := &state.capacity
	if stated != nil || capacity.learnedAt == 0 || now-capacity.learnedAt > capacityTTL {
		capacity.value = held
	} else {
		capacity.value += smoothing * (held - capacity.value)
	}
	capacity.learnedAt = now
}

// heldBy returns how many requests a server can hold; zero if that is unknown.
func (s *endpointState) heldBy(now time.Duration) float64 {
	if s.capacity.learnedAt == 0 || now-s.capacity.learnedAt > capacityTTL {
		return 0
	}
	return s.capacity.value
}

// refusesAhead reports whether requests for a plain service are refused before the servers'
// queues are full: if endpoints of the deployment share machines with other work, or if a server
// has rejected requests lately. Where queues hold what routers send, refusals ahead of that
// would turn requests away that are served in time.
func (c *Core) refusesAhead(now time.Duration, service string, candidates []*endpointState) bool {
	return c.isPressured(service) && (c.isSlownessStated() || hasRejected(now, candidates))
}

// hasRejected reports whether some server has rejected requests lately since it held as many as
// it can.
func hasRejected(now time.Duration, candidates []*endpointState) bool {
	return slices.ContainsFunc(candidates, func(s *endpointState) bool { return s.heldBy(now) > 0 })
}

// isBusyPlain reports whether servers have queues: most of their slots are taken, or one has
// rejected requests lately.
//
// A router of a large fleet gets a few requests per second, so its estimate of the arrivals is
// off by half at times. Extrapolated with it, servers with a quarter of their slots in use
// looked full, and requests were refused.
func isBusyPlain(now time.Duration, candidates []*endpointState) bool {
	if hasRejected(now, candidates) {
		return true
	}
	held, slots := 0, 0
	for _, state := range candidates {
		held += state.own.Running + state.peers.Running
		slots += max(1, state.entry.Slots)
	}
	return float64(held) >= busyShare*float64(slots)
}

// plainLoadOf estimates the load of a server. arrivals is the expected rate of requests to a
// server per second.
//
// The reports of other routers are some hundred milliseconds old, in which a busy server may
// get as many requests as it holds. A load that the server stated with a response is exact,
// so the younger of both is used, and older reports of busy servers are extrapolated.
func (c *Core) plainLoadOf(now time.Duration, state *endpointState, request PlacementRequest, serviceTime time.Duration, arrivals float64, isBusy bool) plainLoad {
	slots := float64(max(1, state.entry.Slots))
	slowness := state.slowness.expected(now, 1)
	load := plainLoad{age: c.reportAge()}
	statedTTL := load.age
	if len(c.reports) == 0 {
		statedTTL = loadReportTTL
	}
	if state.reportedAt != 0 && now-state.reportedAt <= statedTTL {
		load.age = now - state.reportedAt
		load.held = float64(state.reportedLoad.Running + state.reportedLoad.Waiting)
	} else {
		load.held = float64(state.own.Running + state.peers.Running)
		if serviceTime > 0 && isBusy {
			departures := slots / (serviceTime.Seconds() * slowness)
			load.held += (arrivals - departures) * load.age.Seconds()
		}
	}
	load.held = max(load.held, float64(state.own.Running))
	perSlot := max(1, (load.held+1)/slots)
	load.latency = time.Duration(float64(serviceTime) * slowness * perSlot)
	if capacity := state.heldBy(now); capacity > 0 {
		load.pressure = (load.held + 1) / capacity
	}
	if request.Target > 0 {
		target := max(request.Target, time.Duration(minTargetFactor*float64(serviceTime)))
		load.pressure = max(load.pressure, float64(load.latency)/float64(target))
	}
	if load.pressure == 0 {
		load.pressure = (load.held + 1) / (requestsPerSlotUnmeasured * slots)
	}
	return load
}

// plainArrivals estimates how many requests per second the routers together send to each of
// some servers.
func (c *Core) plainArrivals(service *serviceStats, servers int) float64 {
	routers := 1
	for _, r := range c.reports {
		routers += max(1, r.routers)
	}
	return service.demand.Rate() * (1 - service.demand.RefusedFraction()) * float64(routers) / float64(servers)
}

// pickPressedPlain is pickPlain for services under pressure.
//
// Few servers get the requests of many routers. When all routers fill the servers up to the
// target latency by what they knew some hundred milliseconds ago, a tenth of the requests
// reach a server whose queue is full. So refusals begin while queues still have room for what
// may have arrived meanwhile.
func (c *Core) pickPressedPlain(now time.Duration, request PlacementRequest, candidates []*endpointState) *endpointState {
	service := c.statsFor(request.Service)
	if len(request.Excluded) == 0 {
		service.demand.Record(now, request.Flow)
	}
	serviceTime := service.serviceTime.value
	arrivals := c.plainArrivals(service, len(candidates))
	isBusy := isBusyPlain(now, candidates)
	loads := make([]plainLoad, len(candidates))
	var mean plainLoad
	expected := time.Duration(math.MaxInt64)
	for i, state := range candidates {
		loads[i] = c.plainLoadOf(now, state, request, serviceTime, arrivals, isBusy)
		mean.held += loads[i].held / float64(len(candidates))
		expected = min(expected, loads[i].latency)
		mean.pressure += loads[i].pressure / float64(len(candidates))
	}
	best, bestCost := 0, 0.0
	for i, state := range candidates {
		slots := float64(max(1, state.entry.Slots))
		spread := 1.0
		if serviceTime > 0 {
			spread += arrivalSpread * min(mean.held, slots) / serviceTime.Seconds() * loads[i].age.Seconds()
		}
		if c.isLimited(now, state) {
			spread = 0
		}
		cost := (loads[i].held + c.random()*spread) / slots * state.slowness.expected(now, 1)
		if i == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	picked, load := candidates[best], loads[best]
	if preferred := c.preferredFor(now, request, candidates, mean.held); preferred != nil {
		return preferred
	}
	slots := float64(max(1, picked.entry.Slots))
	held := min(load.held, mean.held)
	refused := (min(load.pressure, mean.pressure) - pressureRampStart) / (pressureRampEnd - pressureRampStart)
	if held > busyUtilization*slots {
		refused = max(refused, recentRefusalFactor*service.demand.RefusedFraction())
	}
	room := shedding.Room{HasFreePlace: held < slots, Excess: refused, Expected: expected}
	if c.isShed(now, request, room) || c.isUnfairAtLimits(now, request.Service, request.Flow, len(candidates)) {
		service.recordRefusal(request)
		return nil
	}
	return picked
}

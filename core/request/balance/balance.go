// Package balance places requests on endpoints.
//
// Every router places its requests independently, based on what it sent itself,
// the latest reports of other routers and the load that endpoints report with
// their responses. No request waits for another router.
//
// For a model engine the unit of load is the prompt token that it has yet to
// prefill: prompts are prefilled in turn, and a running stream slows others far
// less than a long prompt does. A request goes to the engine with the fewest
// queued tokens plus uncached tokens of its own. Prompt parts that several requests
// share have home engines by rendezvous hashing, on which all routers agree
// without communication, so that few engines prefill a part; any other engine that
// serves a request copies its parts.
//
// Data about other routers is as old as their latest reports, sent in beacons. The
// more requests are expected to have arrived since, the more random the choice is.
// Plain servers are sent what they are expected to answer within the target
// latency; the rest is refused, the client accounts with the most requests first.
//
// The core has no I/O, clock or goroutine. The owner serializes calls. Times are
// readings of a monotonic clock.
package balance

import (
	"slices"
	"time"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/presence"
	"gentianhead/core/request/breaker"
	"gentianhead/core/request/exchange"
	"gentianhead/core/request/fairness"
	"gentianhead/core/request/notice"
	"gentianhead/core/request/ratelimit"
	"gentianhead/core/version/routetable"
)

const (
	// streamTokens is the delay that one running stream adds to a new request, in
	// prompt tokens: each stream lengthens every step of the engine.
	streamTokens = 150
	// boundFactor lowers the load bound, since a router's load estimates lag.
	boundFactor = 0.75
	// boundSlack is added to the load bound, in requests, for small mean loads.
	boundSlack = 2
	// reportTTL is how long the last report of a silent router counts.
	reportTTL = 3 * time.Second
	// maxUnreachableShare is the share of all endpoints above which a router that
	// can't connect to them is considered isolated itself.
	maxUnreachableShare = 0.5
	// minReporters is how many other routers must report that they can't connect to
	// an endpoint, or how many routers, this one included, must see it fail requests.
	// A single one may have a bad link.
	minReporters = 2
	// ownSuccessTTL is how long an endpoint's response to this router overrides
	// reports of other routers: about one beacon interval.
	ownSuccessTTL = 500 * time.Millisecond
	// loadReportTTL is how long the load that an endpoint reported counts.
	loadReportTTL = 250 * time.Millisecond
)

// PlacementRequest is a request to be placed.
type PlacementRequest struct {
	Service string
	Prompt  *exchange.Prompt
	// Flow identifies the requester for fair refusals under overload.
	Flow fairness.Flow
	// Target is the target latency of the request, and Left the time until its deadline; zero
	// if it is unknown.
	Target, Left time.Duration
	// Excluded endpoints have already been tried.
	Excluded []string
	// Regions are those of the zones whose endpoints may get the request.
	Regions routetable.Homes
	// Repeat is equal for repeats of one request; zero if that is not known.
	Repeat uint64
	// Window is a number that is the same at all routers for some seconds, with little
	// disagreement.
	Window uint64
	// IsMove is set while another endpoint may still answer the request. It is then placed
	// only on a trusted endpoint, never as a probe, and only while no request of its flow is
	// refused: it may ask many times, and a random draw each time would favor it. Its
	// refusals are not counted.
	IsMove bool
}

// Placement is the endpoint chosen for a request. It must be ended with Done.
type Placement struct {
	Endpoint endpoints.Entry
	// CopyFrom is the address of an engine that caches more of the prompt, from
	// which the endpoint should copy it; empty when there is none.
	CopyFrom string
	// Running and Prefill are the estimated requests at the endpoint and the prompt
	// tokens that it has yet to prefill, both without this request.
	Running, Prefill int
	// Expected is the expected time to the first event, which is estimated if placement is by
	// time; otherwise it is zero.
	Expected time.Duration
	// memory is the mean number of tokens that the request holds at an engine.
	memory int
	// prefill is the number of tokens to prefill for this request, as in pick.
	prefill           int
	isPrefilling      bool
	endpointStartedAt int64
	placedAt          time.Duration
	// hasToken is set if the request was counted against a limit of the endpoint.
	hasToken bool
	// coldToken is the token taken from the limit of a cold endpoint.
	coldToken ratelimit.ColdToken
	// isWithheld is set once the request may not be sent to the endpoint any more.
	isWithheld bool
	// isAnswered reports whether the endpoint has begun its response.
	isAnswered bool
	// Shed is why the request was refused, with refusal Full of a service under pressure.
	Shed *Shed
}

// Refusal is why a request was not placed.
type Refusal uint8

const (
	// Accepted means that the request was placed.
	Accepted Refusal = iota
	// NoEndpoint means that no endpoint is left to serve the service.
	NoEndpoint
	// Full means that the endpoints have no capacity left.
	Full
	// Away means that all endpoints of the service have asked for no requests for a time
	// or are leaving.
	Away
	// AtLimit means that all endpoints that could serve the request are at the request rates
	// that they state.
	AtLimit
	// Evacuated means that the endpoints that could serve the request are in evacuated zones.
	Evacuated
	// OutsideRegions means that the service has endpoints, but none in a region to which the
	// request may be sent.
	OutsideRegions
)

// endpointState is the state that the core tracks for one endpoint.
type endpointState struct {
	entry        endpoints.Entry
	process      presence.Key
	own          presence.Work
	peers        presence.Work
	reportedLoad exchange.Load
	reportedAt   time.Duration
	capacity     heldCapacity
	breaker      breaker.Breaker
	cache        *cache
	// unreachableBy is how many other routers report that they can't connect to it.
	unreachableBy int
	suspicion     suspicion
	slowness      slowness
	// succeededAt is when this router's last successful request ended; zero if none.
	succeededAt time.Duration
	// drainingSince is when the endpoint was first seen draining.
	drainingSince time.Duration
	// removedAt is when the endpoint's entry was removed.
	removedAt time.Duration
	cold      coldness
}

// Core places the requests of one router.
type Core struct {
	loadFactor float64
	prefixTTL  time.Duration
	view       *endpoints.View
	table      *routetable.Table
	states     map[string]*endpointState
	byKey      map[presence.Key]*endpointState
	// removed holds endpoints whose entries were removed recently.
	removed []*endpointState
	reports map[string]report
	// reportInterval is the average interval between two reports of a router.
	reportInterval movingAverage
	services       map[string]*serviceStats
	recent         recentPlacements
	// suspicionChanges holds the changes that TakeSuspicionChanges has not returned
	// yet.
	suspicionChanges []SuspicionChange
	notices          *notice.Board
	limits           *ratelimit.Core
	rateChanges      []RateChange
	random           func() float64
	// evacuated are the zones whose endpoints get no requests, sorted.
	evacuated []string
	// coldOverage and coldTolerance are the parameters of SetColdBounds.
	coldOverage, coldTolerance     float64
	coldChanges                    []ColdChange
	coldEndpoints, ownedColdLimits int
	// tickedAt is the time of the latest TickLimits.
	tickedAt time.Duration
	// regions are the regions of zones.
	regions map[string]string
	options Options
	// pressured are the services that TakePressured has not returned yet.
	pressured []string
	// lastShed is why the latest request was refused, or nil.
	lastShed *Shed
}

// New returns a core without endpoints. No engine should exceed loadFactor times
// the mean load. Engines are expected to keep prompt parts for a multiple of
// prefixTTL after their last use. random returns values in [0, 1).
func New(loadFactor float64, prefixTTL time.Duration, random func() float64) *Core {
	return &Core{
		loadFactor: loadFactor,
		prefixTTL:  prefixTTL,
		states:     make(map[string]*endpointState),
		byKey:      make(map[presence.Key]*endpointState),
		reports:    make(map[string]report),
		services:   make(map[string]*serviceStats),
		notices:    notice.New(),
		limits:     ratelimit.New(random),
		random:     random,

		coldOverage: ratelimit.DefaultColdOverage, coldTolerance: ratelimit.DefaultColdTolerance,
	}
}

// SetLoadFactor sets the multiple of the mean load that no engine should exceed.
func (c *Core) SetLoadFactor(factor float64) { c.loadFactor = factor }

// SetView replaces the endpoints that may receive new requests.
func (c *Core) SetView(view *endpoints.View) { c.view = view }

// SetTable replaces the active route table.
func (c *Core) SetTable(table *routetable.Table) { c.table = table }

// Place picks the endpoint for a request.
func (c *Core) Place(now time.Duration, request PlacementRequest) (Placement, Refusal) {
	candidates, atLimit, refusal := c.candidates(now, request)
	if refusal != Accepted {
		return Placement{}, refusal
	}
	c.lastShed = nil
	service, _ := c.table.Service(request.Service)
	var picked pick
	if service != nil && service.Engine != nil {
		picked = c.pickEngine(now, request, candidates, atLimit, service.Engine)
	} else {
		picked.state = c.pickPlain(now, request, candidates)
	}
	chosen := picked.state
	if chosen == nil {
		return Placement{Shed: c.lastShed}, Full
	}
	placed := Placement{
		Endpoint: chosen.entry, CopyFrom: picked.copyFrom,
		Running: chosen.running(now), Prefill: chosen.own.Prefill + chosen.peers.Prefill,
		Expected: picked.expected, memory: memoryOf(request.Prompt),
		prefill: picked.prefill, isPrefilling: picked.prefill > 0, endpointStartedAt: chosen.entry.StartedAt, placedAt: now,
	}
	if c.isLimited(now, chosen) {
		placed.hasToken = c.limits.IsLimited(chosen.process) && c.limits.Take(now, chosen.process)
		placed.isWithheld = !c.takeColdToken(now, chosen, &placed)
		c.statsFor(request.Service).demand.RecordServed(c.flowOf(request))
	}
	chosen.own.Running++
	chosen.own.Prefill += picked.prefill
	chosen.breaker.Sent(now)
	c.recordParts(now, chosen, request.Prompt)
	return placed, Accepted
}

// recordParts records that the prompt's parts will be cached on an engine.
func (c *Core) recordParts(now time.Duration, state *endpointState, prompt *exchange.Prompt) {
	if prompt == nil || len(prompt.Parts) == 0 {
		return
	}
	state.cache.add(now, presence.KeyOf(prompt.Parts[len(prompt.Parts)-1].ID), false)
	if shared, ok := sharedPart(prompt); ok {
		key := presence.KeyOf(shared.ID)
		state.cache.add(now, key, true)
		c.recent.add(now, presence.Placed{Part: key, Endpoint: presence.KeyOf(state.entry.ID)})
	}
}

// RecordNotice records what the endpoint of a placement said of itself. It reports
// whether that is new.
func (c *Core) RecordNotice(now time.Duration, p *Placement, n notice.Notice) (isChanged bool) {
	return c.notices.Record(now, p.Endpoint, n)
}

// MayReceive reports whether the endpoint of a placement may still be sent the request,
// which may have waited for a connection. It counts the request against a limit that the
// endpoint has stated in the meantime, and again if the token of a cold endpoint is old.
func (c *Core) MayReceive(now time.Duration, p *Placement) bool {
	if c.isEvacuated(p.Endpoint) {
		p.isWithheld = true
		return false
	}
	if state := c.stateOf(p); state != nil && !p.hasToken && c.limits.IsLimited(state.process) {
		p.hasToken = c.limits.Take(now, state.process)
		p.isWithheld = !p.hasToken
	}
	p.isWithheld = p.isWithheld || !c.mayReceiveCold(now, p) || !c.notices.MayReceive(now, p.Endpoint)
	return !p.isWithheld
}

// IsWithheld reports whether MayReceive has refused the request of a placement.
func (c *Core) IsWithheld(p *Placement) bool { return p.isWithheld }

// IsInService reports whether a process of an endpoint may be sent requests. It may have
// asked for none for a time.
func (c *Core) IsInService(e endpoints.Entry) bool {
	current, known := c.view.Find(e.ID)
	return known && current.StartedAt == e.StartedAt && current.Address == e.Address && !c.notices.IsLeaving(e)
}

// HasEntry reports whether a process of an endpoint has an entry, in service or draining, or
// has said that it is leaving. One without has ended without notice.
func (c *Core) HasEntry(e endpoints.Entry) bool {
	isSame := func(other endpoints.Entry) bool {
		return other.ID == e.ID && other.StartedAt == e.StartedAt && other.Address == e.Address
	}
	current, known := c.view.Find(e.ID)
	return known && isSame(current) || slices.ContainsFunc(c.view.Draining(e.Service), isSame) || c.notices.IsLeaving(e)
}

// AwayFor returns the time until the first endpoint of a service takes requests again,
// and whether no endpoint that takes some is left because of notices. The time is zero
// if all are leaving.
func (c *Core) AwayFor(now time.Duration, service string) (wait time.Duration, isAway bool) {
	for _, e := range c.view.InService(service) {
		if c.isEvacuated(e) {
			continue
		}
		if c.notices.MayReceive(now, e) {
			return 0, false
		}
		isAway = true
		if away := c.notices.Away(now, e); !c.notices.IsLeaving(e) && (wait == 0 || away < wait) {
			wait = away
		}
	}
	return wait, isAway
}

// candidates returns the usable endpoints: the trusted ones except suspects, or all
// if none is trusted. Endpoints that are in an evacuated zone, are leaving or have asked for
// distance, or that are at the request rate that they state, are none, even if no other is
// left: all that they take is taken. It also returns those that only their limits exclude, and the reason if there is
// no candidate.
func (c *Core) candidates(now time.Duration, request PlacementRequest) (candidates, atLimit []*endpointState, refusal Refusal) {
	var trusted, all []*endpointState
	isEvacuated := false
	inService := c.inRegions(c.view.InService(request.Service), request.Regions)
	if len(inService) == 0 && len(c.view.InService(request.Service)) > 0 {
		return nil, nil, OutsideRegions
	}
	for _, e := range inService {
		state := c.state(e)
		if slices.Contains(request.Excluded, e.ID) {
			continue
		}
		if c.isEvacuated(e) {
			isEvacuated = true
			continue
		}
		if !c.notices.MayReceive(now, e) {
			continue
		}
		all = append(all, state)
		if state.isTrusted(now) && !(request.IsMove && state.breaker.IsOpen()) {
			trusted = append(trusted, state)
		}
	}
	usable := all
	if len(trusted) > 0 || request.IsMove {
		usable = c.withoutSuspects(now, trusted)
	}
	if len(usable) == 0 {
		if _, isAway := c.AwayFor(now, request.Service); isAway {
			return nil, nil, Away
		}
		if isEvacuated {
			return nil, nil, Evacuated
		}
		return nil, nil, NoEndpoint
	}
	// Endpoints that are not trusted don't replace those at their limits: a request that
	// fails there is worse than one that is refused.
	candidates, atLimit = c.withinLimits(now, usable)
	if len(candidates) > 0 {
		preferred, slow := c.withoutSlowCold(now, request, candidates)
		return preferred, append(atLimit, slow...), Accepted
	}
	if len(request.Excluded) == 0 {
		c.statsFor(request.Service).demand.Record(now, c.flowOf(request))
	}
	return nil, atLimit, AtLimit
}

// flowOf returns the flow of a request for fair refusals. Ranks of model engines are refused
// alike, since engines admit the more urgent requests first.
func (c *Core) flowOf(request PlacementRequest) fairness.Flow {
	if service, _ := c.table.Service(request.Service); service != nil && service.Engine != nil {
		return fairness.Flow{Account: request.Flow.Account}
	}
	return request.Flow
}

// isTrusted reports whether an endpoint may get a request. If this router's breaker
// is open, it alone decides when to try again. An endpoint that other routers can't
// connect to is avoided, unless it responded to this router recently.
//
// Without their reports, when a quarter of the engines crash, they look idle, and
// each of many routers sends its requests to one crashed engine after the other.
func (s *endpointState) isTrusted(now time.Duration) bool {
	if s.breaker.IsOpen() || s.succeededAt != 0 && now-s.succeededAt < ownSuccessTTL {
		return s.breaker.Allows(now)
	}
	return s.unreachableBy < minReporters
}

// state returns the state of an endpoint. An endpoint that restarted under the same
// id gets a new one.
func (c *Core) state(e endpoints.Entry) *endpointState {
	state, known := c.states[e.ID]
	if !known || state.entry.StartedAt != e.StartedAt || state.entry.Address != e.Address {
		key := presence.KeyOf(e.ID)
		state = &endpointState{cache: newCache(c.prefixTTL), process: presence.KeyOf(e.Process())}
		c.applyReports(key, state)
		c.states[e.ID] = state
		c.byKey[key] = state
	}
	state.entry = e
	return state
}

// running estimates the number of requests at an endpoint.
func (s *endpointState) running(now time.Duration) int {
	running := s.own.Running + s.peers.Running
	if s.reportedAt != 0 && now-s.reportedAt < loadReportTTL {
		running = max(running, s.reportedLoad.Running+s.reportedLoad.Waiting)
	}
	return running
}

// RecordFirstEvent records that a stream's first event arrived: its prompt has been
// prefilled.
func (c *Core) RecordFirstEvent(now time.Duration, p *Placement) {
	state := c.stateOf(p)
	if state != nil && !p.isAnswered {
		state.suspicion.own.add(now, false)
		if stats := c.statsFor(p.Endpoint.Service); p.Running < p.Endpoint.Slots {
			stats.tokenTimes.add(p.Prefill+p.prefill, float64(now-p.placedAt)/state.slowness.expected(now, 1))
		}
	}
	c.recordColdTime(now, p)
	p.isAnswered = true
	c.endPrefill(state, p)
}

// endPrefill subtracts the prompt of a placement from its endpoint's outstanding
// prefill; state is nil if the endpoint is gone.
func (c *Core) endPrefill(state *endpointState, p *Placement) {
	if state != nil && p.isPrefilling {
		state.own.Prefill -= p.prefill
	}
	p.isPrefilling = false
}

// Done ends a placement. It reports whether the endpoint's breaker changed state.
func (c *Core) Done(now time.Duration, p *Placement, outcome breaker.Outcome) (isChanged bool) {
	state := c.stateOf(p)
	c.endPrefill(state, p)
	if state == nil {
		return false
	}
	state.own.Running--
	switch outcome {
	case breaker.Succeeded:
		state.succeededAt = now
		c.recordServiceTime(now, p)
		c.recordColdTime(now, p)
		c.statsFor(p.Endpoint.Service).memoryUse.add(p.memory, now-p.placedAt)
		if !p.isAnswered {
			state.suspicion.own.add(now, false)
		}
	case breaker.Failed:
		// The time until the failure is the least that an answer would have taken.
		c.recordColdTime(now, p)
		state.suspicion.own.add(now, true)
	}
	return state.breaker.Report(now, outcome)
}

// Overdue records that an endpoint has not responded in time, while the request
// continues. It reports whether the endpoint's breaker changed state.
func (c *Core) Overdue(now time.Duration, p *Placement) (isChanged bool) {
	if state := c.stateOf(p); state != nil {
		state.suspicion.own.add(now, true)
		return state.breaker.Report(now, breaker.Failed)
	}
	return false
}

// stateOf returns the state of a placement's endpoint, or nil if the endpoint is gone
// or has restarted since.
func (c *Core) stateOf(p *Placement) *endpointState {
	state := c.states[p.Endpoint.ID]
	if state == nil || state.entry.StartedAt != p.endpointStartedAt || state.entry.Address != p.Endpoint.Address {
		return nil
	}
	return state
}

// RecordLoad records the load that an endpoint reported with a response.
func (c *Core) RecordLoad(now time.Duration, id string, load exchange.Load) {
	if state, known := c.states[id]; known {
		state.reportedLoad, state.reportedAt = load, now
		c.recordSlowness(state, now, load.Slowness, true)
	}
}

// Tick syncs the endpoint states with the view: it drops endpoints that are gone and
// adds new ones, since other routers may report on them before a request arrives. It
// is called after each SetView.
func (c *Core) Tick(now time.Duration) {
	for _, e := range c.view.All() {
		c.state(e)
	}
	c.removed = slices.DeleteFunc(c.removed, func(s *endpointState) bool { return now-s.removedAt >= removedCopyWindow })
	for id, state := range c.states {
		if _, known := c.view.Find(id); known || c.isDraining(state) {
			state.removedAt = 0
			continue
		}
		if state.removedAt == 0 {
			state.removedAt = now
			c.removed = append(c.removed, state)
		}
		if state.own.Running == 0 {
			delete(c.states, id)
			delete(c.byKey, presence.KeyOf(id))
		}
	}
}

func (c *Core) isDraining(state *endpointState) bool {
	return slices.ContainsFunc(c.view.Draining(state.entry.Service), func(e endpoints.Entry) bool { return e.ID == state.entry.ID })
}

package balance

import (
	"slices"
	"time"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/presence"
	"gentianhead/core/request/exchange"
	"gentianhead/core/request/shedding"
	"gentianhead/core/version/routetable"
)

const (
	// reuseWeight is the cost per shared token that an engine would have to prefill
	// again, which delays every request queued behind, not only this one.
	reuseWeight = 4
	// copyWeight is the cost per token that an engine would have to copy from
	// another. Copying uses the engines' links, not their steps; with a weight below
	// one, tiny requests spread their shared parts over many engines.
	copyWeight = 1.2
	// spreadTokens is the delay that one request adds to an engine, in prompt tokens:
	// its running stream and the unshared part of its prompt.
	spreadTokens = 500
	// copyTimeRatio is the time to copy a token relative to prefilling it: ten thousand
	// tokens take 17 ms plus 8 ms of setup to copy and 177 ms to prefill.
	copyTimeRatio = 0.15
	// slotRampStart and slotRampEnd are the slot utilizations between which refusals
	// grow from none to all. A lower ramp refuses more at twice the engines' capacity;
	// a higher one refuses all accounts alike, since engines are full before it
	// begins.
	slotRampStart = 0.9
	slotRampEnd   = 1.15
	// minCopyTokens is the number of tokens from which copying is faster than prefilling.
	minCopyTokens = 500
	// drainingCopyWindow is how long a draining engine serves as a copy source. Its
	// entry stays until it exits; if it crashes, the view keeps it for some seconds.
	drainingCopyWindow = 10 * time.Second
	// removedCopyWindow is how long an engine serves as a copy source after its entry
	// was removed. It runs for the platform's drain time, at least two seconds.
	removedCopyWindow = 2 * time.Second
	// removedAliveWindow is how recently before the removal of its entry an engine must
	// have responded to count as shutting down. The entry of a crashed engine expires
	// after more than three seconds.
	removedAliveWindow = 2 * time.Second
	// firstHomeMiss, secondHomeMiss and otherMiss are the shares of a shared part
	// that engines are expected to lack, by their rank among the part's homes,
	// while no engine is known to hold it.
	firstHomeMiss  = 0.1
	secondHomeMiss = 0.6
	otherMiss      = 1.0
)

// pick is the choice of an endpoint for a request.
type pick struct {
	state *endpointState
	// prefill is the number of prompt tokens that it is expected to prefill, with
	// copied tokens converted by copyTimeRatio.
	prefill  int
	copyFrom string
	// expected is the expected time to the first event; zero if it was not estimated.
	expected time.Duration
}

// pickEngine returns the engine with the lowest cost among those below the load
// bound.
//
// Many routers get requests about the same long documents, and engines join and
// leave. A document is prefilled on one engine and copied to another when that one
// is loaded or leaves. Without the random spread, all requests whose engine is at
// the bound would go to the engine that was least loaded in the latest reports; so
// the spread grows with the expected number of unreported requests. Few of those can be at
// an engine with a limit.
func (c *Core) pickEngine(now time.Duration, request PlacementRequest, candidates, atLimit []*endpointState, engine *routetable.Engine) pick {
	mean := meanRunning(now, candidates)
	slots := engine.Slots
	if slots < 1 {
		slots = candidates[0].entry.Slots
	}
	isPressured := c.isPressured(request.Service)
	if isPressured {
		slots = c.statsFor(request.Service).memoryUse.slots(engine.MemoryTokens, slots)
	}
	if c.isEngineRefused(now, request, len(candidates), mean/float64(max(1, slots))) {
		return pick{}
	}
	bound := c.loadFactor*boundFactor*(mean+1/float64(len(candidates))) + boundSlack
	reuse := c.reuseOf(now, request, candidates, atLimit)
	spread := spreadTokens * c.unreported(&c.statsFor(request.Service).serviceTime, mean)
	if isPressured {
		return c.pickByTime(now, request, candidates, reuse, engine, slots, bound, spread)
	}
	best, bestCost, prefill := -1, 0.0, 0
	for i, state := range candidates {
		running := state.running(now)
		if running >= slots || float64(running) >= bound && len(candidates) > 1 {
			continue
		}
		extra, candidatePrefill := reuse.cost(i, reuseWeights{copied: copyWeight, prefilled: reuseWeight, copyTime: copyTimeRatio})
		random := c.random() * (1 + spread)
		if c.isLimited(now, state) {
			random = 0
		}
		cost := float64(state.own.Prefill+state.peers.Prefill+running*streamTokens) + extra + random
		if best < 0 || cost < bestCost {
			best, bestCost, prefill = i, cost, candidatePrefill
		}
	}
	if best < 0 {
		return pick{}
	}
	return pick{state: candidates[best], prefill: prefill, copyFrom: reuse.copyFor(best, candidates[best])}
}

// isEngineRefused decides whether a request is refused because the engines are nearly
// full or at their limits; usage is the share of the slots in use of candidates.
//
// When one account sends many times its usual load and engines fill up, the slots
// that become free should go to the accounts with fewer requests.
func (c *Core) isEngineRefused(now time.Duration, request PlacementRequest, candidates int, usage float64) bool {
	demand := &c.statsFor(request.Service).demand
	flow := c.flowOf(request)
	if len(request.Excluded) == 0 {
		demand.Record(now, flow)
	}
	excess := (usage - slotRampStart) / (slotRampEnd - slotRampStart)
	isFull := usage > slotRampStart && !c.isPressured(request.Service) && c.isDrawnForRefusal(request, demand.RefusalFraction(flow, excess))
	if c.isPressured(request.Service) {
		isFull = c.isShed(now, request, shedding.Room{HasFreePlace: excess <= 0, Excess: excess})
	}
	if !isFull && !c.isUnfairAtLimits(now, request.Service, flow, candidates) {
		return false
	}
	c.statsFor(request.Service).recordRefusal(request)
	return true
}

// reuse describes which parts of one prompt are cached on which engines.
type reuse struct {
	parts []exchange.Part
	// tokens[i] is the number of tokens in the first i parts.
	tokens []int
	// held is the number of leading parts that each candidate is known to hold.
	held []int
	// missing is the share of the shared parts that each candidate is expected to
	// lack while no engine is known to hold them.
	missing []float64
	// mostHeld is the largest number of leading parts that a source is known to hold.
	mostHeld int
	// sources are the engines that hold mostHeld parts.
	sources []*endpointState
}

func keysOf(parts []exchange.Part) []presence.Key {
	keys := make([]presence.Key, len(parts))
	for i, part := range parts {
		keys[i] = presence.KeyOf(part.ID)
	}
	return keys
}

// reuseOf finds the cached parts of a prompt. Engines at their limits are sources of copies,
// which are no requests.
func (c *Core) reuseOf(now time.Duration, request PlacementRequest, candidates, atLimit []*endpointState) *reuse {
	r := &reuse{}
	if request.Prompt == nil || len(request.Prompt.Parts) == 0 {
		return r
	}
	r.parts = request.Prompt.Parts
	r.tokens = make([]int, len(r.parts)+1)
	for i, part := range r.parts {
		r.tokens[i+1] = r.tokens[i] + part.Tokens
	}
	keys := keysOf(r.parts)
	r.held = make([]int, len(candidates))
	for i, state := range candidates {
		r.held[i] = state.cache.prefix(now, keys)
		r.addSource(state, r.held[i])
	}
	for _, state := range atLimit {
		r.addSource(state, state.cache.prefix(now, keys))
	}
	for _, e := range c.inRegions(c.view.Draining(request.Service), request.Regions) {
		if state := c.states[e.ID]; state != nil && !c.isEvacuated(e) && state.isAliveDraining(now) {
			r.addSource(state, state.cache.prefix(now, keys))
		}
	}
	for _, state := range c.removed {
		isAllowed := c.IsInRegions(state.entry, request.Regions) && !c.isEvacuated(state.entry)
		if state.entry.Service == request.Service && isAllowed && state.isAliveRemoved(now) {
			r.addSource(state, state.cache.prefix(now, keys))
		}
	}
	if shared := len(r.parts) - 1; shared > 0 && r.mostHeld < shared {
		r.missing = c.missShares(now, r.parts[shared-1].ID, candidates)
	}
	return r
}

func (r *reuse) addSource(state *endpointState, held int) {
	if held == 0 || held < r.mostHeld {
		return
	}
	if held > r.mostHeld {
		r.mostHeld, r.sources = held, nil
	}
	r.sources = append(r.sources, state)
}

// isAliveDraining reports whether a draining engine is expected to be still running.
// Its first call sets drainingSince.
func (s *endpointState) isAliveDraining(now time.Duration) bool {
	if s.drainingSince == 0 {
		s.drainingSince = now
	}
	return now-s.drainingSince < drainingCopyWindow
}

// isAliveRemoved reports whether an engine whose entry was removed is expected to be
// still running.
func (s *endpointState) isAliveRemoved(now time.Duration) bool {
	return now-s.removedAt < removedCopyWindow && s.succeededAt != 0 && s.removedAt-s.succeededAt < removedAliveWindow
}

// cost returns the cost of the parts that a candidate lacks, and the time to prefill
// and copy them in prefilled prompt tokens.
func (r *reuse) cost(candidate int, w reuseWeights) (cost float64, prefill int) {
	if len(r.parts) == 0 {
		return 0, 0
	}
	held := r.held[candidate]
	all, shared := len(r.parts), len(r.parts)-1
	if held >= all {
		return 0, 0
	}
	from := max(held, r.mostHeld)
	copied := r.tokens[from] - r.tokens[held]
	own := r.tokens[all] - r.tokens[max(from, shared)]
	sharedPrefill := 0.0
	if from < shared {
		sharedPrefill = r.missing[candidate] * float64(r.tokens[shared]-r.tokens[from])
	}
	cost = w.copied*float64(copied) + w.prefilled*sharedPrefill + float64(own)
	return cost, own + int(sharedPrefill) + int(w.copyTime*float64(copied))
}

// reuseWeights are the costs per shared token to copy and to prefill, and the time to copy one,
// each in tokens to prefill.
type reuseWeights struct{ copied, prefilled, copyTime float64 }

// copyFor returns the address of the engine from which a candidate should copy what
// it lacks, in its own zone if possible; empty if it should not copy.
func (r *reuse) copyFor(candidate int, state *endpointState) string {
	if len(r.parts) == 0 || r.tokens[r.mostHeld]-r.tokens[min(r.held[candidate], r.mostHeld)] < minCopyTokens {
		return ""
	}
	address := ""
	for _, source := range r.sources {
		isNear := source.entry.Zone == state.entry.Zone
		if source != state && (address == "" || isNear) {
			address = source.entry.Address
		}
		if address != "" && isNear {
			break
		}
	}
	return address
}

// missShares returns the share of a part that each candidate is expected to lack,
// by its rank in the rendezvous order of the part. Engines with a limit are homes only if
// there are no others: which of them allow a request differs between routers.
func (c *Core) missShares(now time.Duration, part string, candidates []*endpointState) []float64 {
	isLimited := func(s *endpointState) bool { return c.isLimited(now, s) }
	areAllLimited := !slices.ContainsFunc(candidates, func(s *endpointState) bool { return !isLimited(s) })
	shares := make([]float64, len(candidates))
	first, second := -1, -1
	var firstScore, secondScore uint64
	for i, state := range candidates {
		shares[i] = otherMiss
		if !areAllLimited && isLimited(state) {
			continue
		}
		score := entry.Score(part, state.entry.ID)
		switch {
		case first < 0 || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = i, score
		case second < 0 || score > secondScore:
			second, secondScore = i, score
		}
	}
	if second >= 0 {
		shares[second] = secondHomeMiss
	}
	shares[first] = firstHomeMiss
	return shares
}

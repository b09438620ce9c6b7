package balance

import (
	"time"

	"gentianhead/core/request/exchange"
	"gentianhead/core/version/routetable"
)

const (
	// reuseWeightByTime replaces reuseWeight: the choice is more random, and a few slots fill up
	// sooner, so that with the lower weight a document is prefilled on more engines.
	reuseWeightByTime = 12
	// spreadByTime is the multiple of the random spread. With few slots, an engine that looks
	// idle to all routers fills up between two reports.
	spreadByTime = 2
	// copyTimeWeight is the cost of the time of a copy: an engine's copies wait for each other.
	copyTimeWeight = 4
	// queueWeight is the weight of the expected wait for a slot. Part of the requests that
	// wait are less urgent and let others pass.
	queueWeight = 0.5
	// memorySampleDecay is the weight that earlier samples of the memory keep at each new one.
	memorySampleDecay = 0.99
)

// pickByTime returns the engine with the lowest cost, in time, among those below the load bound.
//
// The cost is the expected time until the engine has prefilled what is queued and what it lacks
// of the prompt, longer by its slowness, the wait for a slot, and the time by which the first
// event is expected to be later than the target. An engine without a free slot remains a
// candidate. Slowness does not apply to the running streams: a slow engine can hold as many as
// the others, and many routers would leave it at once.
func (c *Core) pickByTime(now time.Duration, request PlacementRequest, candidates []*endpointState, reuse *reuse, engine *routetable.Engine, slots int, bound, spread float64) pick {
	stats := c.statsFor(request.Service)
	perToken, base := stats.tokenTimes.estimate()
	meanSlowness := meanSlowness(candidates)
	weights := weightsByTime(engine, perToken)
	best, bestCost, prefill, bestExpected := -1, 0.0, 0, 0.0
	for i, state := range candidates {
		running := state.running(now)
		if float64(running) >= bound && len(candidates) > 1 {
			continue
		}
		slow := state.slowness.expected(now, meanSlowness)
		missing, candidatePrefill := reuse.cost(i, weights)
		queued := float64(state.own.Prefill + state.peers.Prefill)
		work := queued + float64(candidatePrefill)
		wait := queueWeight * slow * float64(stats.serviceTime.value) * float64(max(0, running+1-slots)) / float64(max(1, slots))
		expected := slow*(base+perToken*work) + wait
		random := c.random() * (1 + spreadByTime*spread)
		if c.isLimited(now, state) {
			random = 0
		}
		cost := perToken*(queued+float64(running*streamTokens)+missing+(slow-1)*work+random) + wait
		if request.Target > 0 {
			cost += max(0, expected-float64(request.Target))
		}
		if best < 0 || cost < bestCost {
			best, bestCost, prefill, bestExpected = i, cost, candidatePrefill, expected
		}
	}
	if best < 0 {
		return pick{}
	}
	return pick{state: candidates[best], prefill: prefill, copyFrom: reuse.copyFor(best, candidates[best]), expected: time.Duration(bestExpected)}
}

// weightsByTime returns the weights of reuse for engines that prefill a token in perToken.
//
// A copy takes as long as the state of its tokens is large: with large states, a document is
// better served where it is cached, also if that engine has more to do.
func weightsByTime(engine *routetable.Engine, perToken float64) reuseWeights {
	w := reuseWeights{copied: copyWeight, prefilled: reuseWeightByTime, copyTime: copyTimeRatio}
	if engine.CopyPerToken > 0 {
		w.copyTime = min(1, copyTimeRatio/2+float64(engine.CopyPerToken)/perToken)
		w.copied = max(copyWeight, copyTimeWeight*w.copyTime)
	}
	return w
}

// memoryUse is the mean number of tokens that a running request holds at an engine, weighted by
// how long requests run.
type memoryUse struct {
	tokens, time float64
}

// add adds a request that has ended.
func (m *memoryUse) add(tokens int, took time.Duration) {
	m.tokens = m.tokens*memorySampleDecay + float64(tokens)*took.Seconds()
	m.time = m.time*memorySampleDecay + took.Seconds()
}

// slots returns how many requests fit into a capacity in tokens, at most slots. A capacity of
// zero is unknown.
func (m *memoryUse) slots(capacity, slots int) int {
	if capacity <= 0 || m.tokens <= 0 {
		return slots
	}
	return max(1, min(slots, int(float64(capacity)*m.time/m.tokens)))
}

// memoryOf returns the mean number of tokens that a prompt and its output hold at an engine while
// it runs.
func memoryOf(prompt *exchange.Prompt) int {
	if prompt == nil {
		return 0
	}
	output := prompt.ExpectedOutputTokens
	if output <= 0 {
		output = prompt.MaxOutputTokens
	}
	tokens := 0
	for _, part := range prompt.Parts {
		tokens += part.Tokens
	}
	return max(tokens, prompt.InputTokens) + output/2
}

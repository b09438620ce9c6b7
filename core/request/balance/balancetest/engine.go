package balancetest

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"gentianhead/core/request/breaker"
	"gentianhead/core/request/exchange"
)

// Engine describes a model engine that works in steps. A step generates one token for
// each prefilled request and prefills up to Chunk prompt tokens, oldest request first.
type Engine struct {
	// Slots is the maximum batch size, and Queue the length of the queue.
	Slots, Queue int
	// Step is the time of a step without requests, StepPerSlot the time that each
	// running request adds.
	Step, StepPerSlot time.Duration
	// PrefillPerMS is the number of prompt tokens prefilled per millisecond, at most Chunk
	// per step.
	PrefillPerMS float64
	Chunk        int
	// CacheTokens is the capacity of the prompt cache in tokens.
	CacheTokens int
	// CopySetup and CopyPerToken are the time of a copy from another engine, which
	// serves copies one after the other.
	CopySetup, CopyPerToken time.Duration
	// Memory is the number of tokens, of prompts and output, that running requests may hold;
	// zero means no limit. If they hold more, the newest of the least urgent is preempted: it
	// returns to the queue, and its own tokens are prefilled again.
	Memory int
	// TokensPerEvent is the number of output tokens in an event; zero means one.
	TokensPerEvent int
	// FirstToken is the time that the first event takes beside the steps.
	FirstToken time.Duration
	// LosesWork is set if an engine that is down loses its requests and its cache.
	LosesWork bool
	// IgnoresRank is set if requests are admitted in order of arrival only.
	IgnoresRank bool
	// StatesSlowness is set if responses state SlowFactor.
	StatesSlowness bool
}

// run is one request at an engine.
type run struct {
	request         Request
	begun           func()
	done            func(breaker.Outcome)
	unprefilled     int
	remainingOutput int
	// held is the number of tokens in memory, and lost that of those to prefill again.
	held, lost int
	// tokens is the output since the last event, at eventAt, and events the number of events.
	tokens, events int
	eventAt        time.Duration
}

type engine struct {
	id           string
	fleet        *Fleet
	options      Engine
	batch        []*run
	waiting      []*run
	isWorking    bool
	cached       map[string]cachedPart
	cachedTokens int
	uses         int
	// copiesDoneAt is when the engine will have served all copies requested so far.
	copiesDoneAt time.Duration
}

type cachedPart struct {
	tokens, lastUse int
}

func newEngine(f *Fleet, id string, options Engine) *engine {
	return &engine{id: id, fleet: f, options: options, cached: make(map[string]cachedPart)}
}

func (e *engine) load() exchange.Load {
	load := exchange.Load{Running: len(e.batch), Waiting: len(e.waiting), Slots: e.options.Slots}
	if e.options.StatesSlowness {
		load.Slowness = int(100 * e.fleet.slowFactor(e.id))
	}
	return load
}

func (e *engine) offer(request Request, from server, begun func(), done func(breaker.Outcome)) bool {
	if len(e.waiting) >= e.options.Queue {
		return false
	}
	source, _ := from.(*engine)
	if source == nil {
		e.admit(request, begun, done)
		return true
	}
	tokens := e.missingTokens(request.Prompt, source)
	e.fleet.Copied += tokens
	ready := max(e.fleet.now, source.copiesDoneAt) + e.options.CopySetup + time.Duration(tokens)*e.options.CopyPerToken
	source.copiesDoneAt = ready
	e.fleet.after(ready-e.fleet.now, func() {
		e.copyParts(request.Prompt, source)
		e.admit(request, begun, done)
	})
	return true
}

// missingTokens returns the number of tokens in the leading parts that the source
// holds and the engine does not.
func (e *engine) missingTokens(prompt *exchange.Prompt, source *engine) int {
	tokens := 0
	for _, part := range prompt.Parts {
		if _, isHeld := source.cached[part.ID]; !isHeld {
			break
		}
		if _, isHeld := e.cached[part.ID]; !isHeld {
			tokens += part.Tokens
		}
	}
	return tokens
}

// copyParts caches the leading parts that the source holds.
func (e *engine) copyParts(prompt *exchange.Prompt, source *engine) {
	for _, part := range prompt.Parts {
		if _, isHeld := source.cached[part.ID]; !isHeld {
			return
		}
		e.cache(part)
	}
}

func (e *engine) admit(request Request, begun func(), done func(breaker.Outcome)) {
	e.waiting = append(e.waiting, &run{request: request, begun: begun, done: done, remainingOutput: request.Output})
	if !e.isWorking {
		e.isWorking = true
		e.step()
	}
}

// step admits queued requests and runs one step.
func (e *engine) step() {
	if !e.options.IgnoresRank {
		slices.SortStableFunc(e.waiting, func(a, b *run) int { return a.request.Rank - b.request.Rank })
	}
	for len(e.waiting) > 0 && len(e.batch) < e.options.Slots {
		next := e.waiting[0]
		next.held = next.lost + promptTokens(next.request.Prompt)
		if e.options.Memory > 0 && len(e.batch) > 0 && e.held()+next.held > e.options.Memory {
			break
		}
		e.waiting = e.waiting[1:]
		next.unprefilled = e.prefill(next.request.Prompt) + next.lost
		e.batch = append(e.batch, next)
	}
	if len(e.batch) == 0 {
		e.isWorking = false
		return
	}
	prefill := 0
	for _, r := range e.batch {
		part := min(r.unprefilled, e.options.Chunk-prefill)
		r.unprefilled -= part
		prefill += part
	}
	took := e.options.Step + time.Duration(len(e.batch))*e.options.StepPerSlot +
		time.Duration(float64(prefill)/e.options.PrefillPerMS*float64(time.Millisecond))
	e.fleet.after(time.Duration(float64(took)*e.fleet.slowFactor(e.id)), e.finishStep)
}

func promptTokens(prompt *exchange.Prompt) int {
	if prompt == nil {
		return 0
	}
	return lo.SumBy(prompt.Parts, func(part exchange.Part) int { return part.Tokens })
}

func (e *engine) held() int { return lo.SumBy(e.batch, func(r *run) int { return r.held }) }

// finishStep generates the tokens of a completed step.
func (e *engine) finishStep() {
	if down := e.fleet.options.IsDown; e.options.LosesWork && down != nil && down(e.id, e.fleet.now) {
		for _, r := range append(e.batch, e.waiting...) {
			r.done(breaker.Failed)
		}
		e.batch, e.waiting, e.cachedTokens = nil, nil, 0
		clear(e.cached)
		e.step()
		return
	}
	rest := e.batch[:0]
	for _, r := range e.batch {
		if r.unprefilled == 0 {
			r.remainingOutput--
			r.held++
			e.generate(r)
		}
		if r.remainingOutput > 0 {
			rest = append(rest, r)
		} else {
			r.done(breaker.Succeeded)
		}
	}
	e.batch = rest
	for e.options.Memory > 0 && len(e.batch) > 1 && e.held() > e.options.Memory {
		e.preempt()
	}
	e.step()
}

// generate records an output token, and an event if it completes one.
func (e *engine) generate(r *run) {
	if r.tokens++; r.tokens < e.options.TokensPerEvent && r.remainingOutput > 0 {
		return
	}
	r.tokens = 0
	switch r.events++; {
	case r.events > 1:
		r.request.result.Pause = max(r.request.result.Pause, e.fleet.now-r.eventAt)
	case e.options.FirstToken > 0:
		e.fleet.after(e.options.FirstToken, r.begun)
	default:
		r.begun()
	}
	r.eventAt = e.fleet.now
}

// preempt returns the newest of the least urgent requests to the queue.
func (e *engine) preempt() {
	at := 0
	for i, r := range e.batch {
		if r.request.Rank >= e.batch[at].request.Rank {
			at = i
		}
	}
	r := e.batch[at]
	parts := r.request.Prompt.Parts
	r.lost = parts[len(parts)-1].Tokens + r.request.Output - r.remainingOutput
	e.fleet.Preempted++
	e.batch = slices.Delete(e.batch, at, at+1)
	e.waiting = slices.Insert(e.waiting, 0, r)
}

// prefill returns the number of uncached tokens of a prompt, at least one, and caches
// its parts.
func (e *engine) prefill(prompt *exchange.Prompt) int {
	if prompt == nil {
		return 0
	}
	unprefilled, isPrefix := 0, true
	for i, part := range prompt.Parts {
		_, known := e.cached[part.ID]
		isPrefix = isPrefix && known
		if !isPrefix {
			unprefilled += part.Tokens
			e.fleet.countPrefill(part, i < len(prompt.Parts)-1)
		}
		e.cache(part)
	}
	return max(1, unprefilled)
}

// cache adds a part or marks it as used, and evicts others if needed.
func (e *engine) cache(part exchange.Part) {
	e.uses++
	e.cachedTokens += part.Tokens - e.cached[part.ID].tokens
	e.cached[part.ID] = cachedPart{tokens: part.Tokens, lastUse: e.uses}
	e.evict()
}

// evict drops the least recently used parts beyond the capacity.
func (e *engine) evict() {
	for e.cachedTokens > e.options.CacheTokens {
		oldest, lastUse := "", math.MaxInt
		for id, part := range e.cached {
			if part.lastUse < lastUse {
				oldest, lastUse = id, part.lastUse
			}
		}
		e.cachedTokens -= e.cached[oldest].tokens
		delete(e.cached, oldest)
	}
}

func exponential(uniform float64) float64 { return -math.Log(1 - uniform) }

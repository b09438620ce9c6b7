package balancetest

import (
	"math"
	"time"

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
}

// run is one request at an engine.
type run struct {
	request         Request
	begun, done     func()
	unprefilled     int
	remainingOutput int
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
	return exchange.Load{Running: len(e.batch), Waiting: len(e.waiting), Slots: e.options.Slots}
}

func (e *engine) offer(request Request, from server, begun, done func()) bool {
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

func (e *engine) admit(request Request, begun, done func()) {
	e.waiting = append(e.waiting, &run{request: request, begun: begun, done: done, remainingOutput: request.Output})
	if !e.isWorking {
		e.isWorking = true
		e.step()
	}
}

// step admits queued requests and runs one step.
func (e *engine) step() {
	for len(e.waiting) > 0 && len(e.batch) < e.options.Slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next.unprefilled = e.prefill(next.request.Prompt)
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
	took = time.Duration(float64(took) * e.fleet.slowFactor(e.id))
	e.fleet.after(took, e.finishStep)
}

// finishStep generates the tokens of a completed step.
func (e *engine) finishStep() {
	rest := e.batch[:0]
	for _, r := range e.batch {
		if r.unprefilled == 0 {
			if r.remainingOutput == r.request.Output {
				r.begun()
			}
			r.remainingOutput--
		}
		if r.remainingOutput > 0 {
			rest = append(rest, r)
		} else {
			r.done()
		}
	}
	e.batch = rest
	e.step()
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

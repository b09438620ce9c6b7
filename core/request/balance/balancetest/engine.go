package balancetest

import (
	"math"
	"time"

	"gentianhead/core/request/exchange"
)

// Engine describes a model engine: it works in steps. A step makes one token for
// each running request and reads up to Chunk prompt tokens of the oldest request
// that is not read yet.
type Engine struct {
	// Slots is how many requests are in a batch, and Queue how many wait for it.
	Slots, Queue int
	// Step is the time of a step without requests, StepPerSlot what each adds.
	Step, StepPerSlot time.Duration
	// ReadPerMS is how many prompt tokens are read in a millisecond, at most Chunk
	// in a step.
	ReadPerMS float64
	Chunk     int
	// CacheTokens is the memory for prompts.
	CacheTokens int
}

// run is one request at an engine.
type run struct {
	request     Request
	begun, done func()
	unread      int
	unmade      int
}

type engine struct {
	fleet     *Fleet
	options   Engine
	batch     []*run
	waiting   []*run
	isWorking bool
	cached    map[string]cachedPart
	cachedSum int
	uses      int
}

type cachedPart struct {
	tokens, used int
}

func newEngine(f *Fleet, options Engine) *engine {
	return &engine{fleet: f, options: options, cached: make(map[string]cachedPart)}
}

func (e *engine) load() exchange.Load {
	return exchange.Load{Running: len(e.batch), Waiting: len(e.waiting), Slots: e.options.Slots}
}

func (e *engine) offer(request Request, begun, done func()) bool {
	if len(e.waiting) >= e.options.Queue {
		return false
	}
	e.waiting = append(e.waiting, &run{request: request, begun: begun, done: done, unmade: request.Output})
	if !e.isWorking {
		e.isWorking = true
		e.step()
	}
	return true
}

// step admits what waits and works until the end of one step.
func (e *engine) step() {
	for len(e.waiting) > 0 && len(e.batch) < e.options.Slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next.unread = e.read(next.request.Prompt)
		e.fleet.Read += next.unread
		e.batch = append(e.batch, next)
	}
	if len(e.batch) == 0 {
		e.isWorking = false
		return
	}
	read := 0
	for _, r := range e.batch {
		part := min(r.unread, e.options.Chunk-read)
		r.unread -= part
		read += part
	}
	took := e.options.Step + time.Duration(len(e.batch))*e.options.StepPerSlot +
		time.Duration(float64(read)/e.options.ReadPerMS*float64(time.Millisecond))
	e.fleet.after(took, e.stepped)
}

// stepped makes the tokens of a step.
func (e *engine) stepped() {
	rest := e.batch[:0]
	for _, r := range e.batch {
		if r.unread == 0 {
			if r.unmade == r.request.Output {
				r.begun()
			}
			r.unmade--
		}
		if r.unmade > 0 {
			rest = append(rest, r)
		} else {
			r.done()
		}
	}
	e.batch = rest
	e.step()
}

// read returns how many tokens of a prompt are not cached, and caches them.
func (e *engine) read(prompt *exchange.Prompt) int {
	if prompt == nil {
		return 0
	}
	unread, isPrefix := 0, true
	for _, part := range prompt.Parts {
		held, known := e.cached[part.ID]
		isPrefix = isPrefix && known
		if !isPrefix {
			unread += part.Tokens
		}
		e.uses++
		e.cachedSum += part.Tokens - held.tokens
		e.cached[part.ID] = cachedPart{tokens: part.Tokens, used: e.uses}
	}
	e.evict()
	return max(1, unread)
}

// evict drops the least recently used parts beyond the memory.
func (e *engine) evict() {
	for e.cachedSum > e.options.CacheTokens {
		oldest, used := "", math.MaxInt
		for id, part := range e.cached {
			if part.used < used {
				oldest, used = id, part.used
			}
		}
		e.cachedSum -= e.cached[oldest].tokens
		delete(e.cached, oldest)
	}
}

func exponential(uniform float64) float64 { return -math.Log(1 - uniform) }

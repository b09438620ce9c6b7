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
	// CopySetup and CopyPerToken are the time of a copy from another engine, which
	// makes one copy after the other.
	CopySetup, CopyPerToken time.Duration
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
	// copiesEnd is when the engine has handed out all copies that were asked of it.
	copiesEnd time.Duration
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

func (e *engine) offer(request Request, from server, begun, done func()) bool {
	if len(e.waiting) >= e.options.Queue {
		return false
	}
	source, _ := from.(*engine)
	if source == nil {
		e.admit(request, begun, done)
		return true
	}
	tokens := e.lacks(request.Prompt, source)
	e.fleet.Copied += tokens
	ready := max(e.fleet.now, source.copiesEnd) + e.options.CopySetup + time.Duration(tokens)*e.options.CopyPerToken
	source.copiesEnd = ready
	e.fleet.after(ready-e.fleet.now, func() {
		e.keep(request.Prompt, source)
		e.admit(request, begun, done)
	})
	return true
}

// lacks returns the tokens of the leading parts that the source holds and the
// engine does not.
func (e *engine) lacks(prompt *exchange.Prompt, source *engine) int {
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

// keep caches the leading parts that the source holds.
func (e *engine) keep(prompt *exchange.Prompt, source *engine) {
	for _, part := range prompt.Parts {
		if _, isHeld := source.cached[part.ID]; !isHeld {
			return
		}
		e.cache(part)
	}
}

func (e *engine) admit(request Request, begun, done func()) {
	e.waiting = append(e.waiting, &run{request: request, begun: begun, done: done, unmade: request.Output})
	if !e.isWorking {
		e.isWorking = true
		e.step()
	}
}

// step admits what waits and works until the end of one step.
func (e *engine) step() {
	for len(e.waiting) > 0 && len(e.batch) < e.options.Slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next.unread = e.read(next.request.Prompt)
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
	for i, part := range prompt.Parts {
		_, known := e.cached[part.ID]
		isPrefix = isPrefix && known
		if !isPrefix {
			unread += part.Tokens
			e.fleet.noteRead(part, i < len(prompt.Parts)-1)
		}
		e.cache(part)
	}
	return max(1, unread)
}

// cache notes the use of a part, and makes room for it.
func (e *engine) cache(part exchange.Part) {
	e.uses++
	e.cachedSum += part.Tokens - e.cached[part.ID].tokens
	e.cached[part.ID] = cachedPart{tokens: part.Tokens, used: e.uses}
	e.evict()
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

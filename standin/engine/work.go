package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxKeptAnswers is the number of recent responses that can be resumed.
const maxKeptAnswers = 1024

// generation produces one chat response. It continues without a reader until it is
// done or stopped, so that the response can be resumed.
type generation struct {
	id      string
	request chatRequest
	options Options
	*progress
}

// progress is the state of a generation.
type progress struct {
	stopOnce sync.Once
	stopped  chan struct{}

	mu     sync.Mutex
	tokens int
	isDone bool
	// changed is closed and replaced when tokens are added.
	changed chan struct{}
}

func newGeneration(id string, request chatRequest, options Options) *generation {
	return &generation{id: id, request: request, options: options, progress: &progress{stopped: make(chan struct{}), changed: make(chan struct{})}}
}

// run produces the tokens at the configured rate, until it is stopped.
func (g *generation) run() {
	if g.options.TokenDelay == 0 {
		g.advance(g.options.Tokens)
		return
	}
	ticker := time.NewTicker(g.options.TokenDelay)
	defer ticker.Stop()
	for i := range g.options.Tokens {
		select {
		case <-ticker.C:
			g.advance(i + 1)
		case <-g.stopped:
			return
		}
	}
}

func (g *generation) advance(tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = tokens
	g.isDone = tokens == g.options.Tokens
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) stop() {
	g.stopOnce.Do(func() { close(g.stopped) })
}

func (g *generation) isStopped() bool {
	select {
	case <-g.stopped:
		return true
	default:
		return false
	}
}

// waitForTokens waits until the number of tokens is reached. It returns false if generation
// was stopped or the request was cancelled.
func (g *generation) waitForTokens(r *http.Request, tokens int) bool {
	for {
		g.mu.Lock()
		have, changed := g.tokens, g.changed
		g.mu.Unlock()
		if have >= tokens {
			return true
		}
		select {
		case <-changed:
		case <-g.stopped:
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

// send writes the events after number from, or the full response if not streaming.
func (g *generation) send(to http.ResponseWriter, r *http.Request, from int, faults Faults) {
	if g.request.Stream {
		g.sendStream(to, r, from, faults)
		return
	}
	if !g.waitForTokens(r, g.options.Tokens) {
		panic(http.ErrAbortHandler)
	}
	words := make([]string, g.options.Tokens)
	for i := range words {
		words[i] = g.token(i)
	}
	body := fmt.Sprintf(`{"id":%q,"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"completion_tokens":%d}}`+"\n",
		g.id, g.request.Model, strings.Join(words, ""), g.options.Tokens)
	to.Header().Set("Content-Type", "application/json")
	to.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.CutWhole {
		body = body[:len(body)/2]
	}
	_, _ = to.Write([]byte(body))
}

func (g *generation) token(i int) string {
	return fmt.Sprintf("%s-%d ", g.options.Name, i)
}

// sendStream writes the events after number from. A response has one event per token,
// one with the finish reason, and the closing one.
func (g *generation) sendStream(to http.ResponseWriter, r *http.Request, from int, faults Faults) {
	to.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(to)
	for number := from + 1; number <= g.options.Tokens+2; number++ {
		if faults.TruncateAfter > 0 && number > faults.TruncateAfter {
			panic(http.ErrAbortHandler)
		}
		if !g.waitForTokens(r, min(number, g.options.Tokens)) {
			panic(http.ErrAbortHandler)
		}
		if number != faults.SkipAt {
			fmt.Fprint(to, g.event(number, faults))
		}
		if number == faults.RepeatAt {
			fmt.Fprint(to, g.event(number, faults))
		}
		_ = flusher.Flush()
	}
	if faults.AfterDone {
		fmt.Fprint(to, g.event(1, faults))
	}
}

func (g *generation) event(number int, faults Faults) string {
	id := g.id
	if number == faults.CrossAt {
		id = "of-another-request"
	}
	data := "[DONE]"
	switch {
	case number <= g.options.Tokens:
		data = fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, id, g.request.Model, g.token(number-1))
	case number == g.options.Tokens+1:
		data = fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`, id, g.request.Model)
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, data)
}

// answers holds the latest responses by request id.
type answers struct {
	mu     sync.Mutex
	byID   map[string]*generation
	order  []string
	counts struct{ cancelled, completed int }
}

func (a *answers) add(g *generation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID == nil {
		a.byID = make(map[string]*generation)
	}
	if earlier, ok := a.byID[g.id]; ok {
		a.count(earlier)
		a.byID[g.id] = g
		return
	}
	a.byID[g.id] = g
	a.order = append(a.order, g.id)
	if len(a.order) > maxKeptAnswers {
		a.count(a.byID[a.order[0]])
		delete(a.byID, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *answers) find(id string) (*generation, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, ok := a.byID[id]
	return g, ok
}

func (a *answers) count(g *generation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isDone {
		a.counts.completed++
	} else if g.isStopped() {
		a.counts.cancelled++
	}
}

// total returns the counts including the responses still kept.
func (a *answers) total() (cancelled, completed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := answers{counts: a.counts}
	for _, g := range a.byID {
		sum.count(g)
	}
	return sum.counts.cancelled, sum.counts.completed
}

// cancelled returns the number of generations stopped before they were done.
func (a *answers) cancelled() int {
	cancelled, _ := a.total()
	return cancelled
}

// completed returns the number of generations that were done.
func (a *answers) completed() int {
	_, completed := a.total()
	return completed
}

// resume sends the events of an earlier response that follow the Last-Event-ID header.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	w.Header().Set(HeaderRequestID, id)
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	generation, ok := s.answers.find(id)
	if !ok || faults.NoResume || generation.isStopped() {
		http.Error(w, "no such answer", http.StatusNotFound)
		return
	}
	if !faults.OnResume {
		faults = Faults{}
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	generation.send(w, r, from, faults)
}

// cancel stops the generation of a response.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	w.Header().Set(HeaderRequestID, id)
	if generation, ok := s.answers.find(id); ok {
		generation.stop()
	}
	w.WriteHeader(http.StatusNoContent)
}

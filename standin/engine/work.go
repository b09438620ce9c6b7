package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxKeptResponses is the number of recent responses that can be resumed.
const maxKeptResponses = 1024

// generation produces one chat response. It continues without a reader until it is
// done or stopped, so that the response can be resumed.
type generation struct {
	id      string
	request chatRequest
	options Options
	*progress
}

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

// responses holds the latest responses by request id.
type responses struct {
	mu    sync.Mutex
	byID  map[string]*generation
	order []string
	// counts covers generations no longer in byID.
	counts struct{ cancelled, completed int }
}

func (r *responses) add(g *generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = make(map[string]*generation)
	}
	if earlier, ok := r.byID[g.id]; ok {
		r.count(earlier)
		r.byID[g.id] = g
		return
	}
	r.byID[g.id] = g
	r.order = append(r.order, g.id)
	if len(r.order) > maxKeptResponses {
		r.count(r.byID[r.order[0]])
		delete(r.byID, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *responses) find(id string) (*generation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, ok := r.byID[id]
	return g, ok
}

func (r *responses) count(g *generation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isDone {
		r.counts.completed++
	} else if g.isStopped() {
		r.counts.cancelled++
	}
}

// total returns the counts including the responses still kept.
func (r *responses) total() (cancelled, completed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := responses{counts: r.counts}
	for _, g := range r.byID {
		sum.count(g)
	}
	return sum.counts.cancelled, sum.counts.completed
}

// cancelled returns the number of generations stopped before they were done.
func (r *responses) cancelled() int {
	cancelled, _ := r.total()
	return cancelled
}

func (r *responses) completed() int {
	_, completed := r.total()
	return completed
}

// resume sends the events of an earlier response that follow the Last-Event-ID header.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	w.Header().Set(HeaderRequestID, id)
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	generation, ok := s.responses.find(id)
	if !ok || faults.NoResume || generation.isStopped() {
		http.Error(w, "no such response", http.StatusNotFound)
		return
	}
	if !faults.OnResume {
		faults = Faults{}
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	generation.send(w, r, from, faults)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	w.Header().Set(HeaderRequestID, id)
	if generation, ok := s.responses.find(id); ok {
		generation.stop()
	}
	w.WriteHeader(http.StatusNoContent)
}

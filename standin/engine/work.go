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
func (w *generation) run() {
	if w.options.TokenDelay == 0 {
		w.advance(w.options.Tokens)
		return
	}
	ticker := time.NewTicker(w.options.TokenDelay)
	defer ticker.Stop()
	for i := range w.options.Tokens {
		select {
		case <-ticker.C:
			w.advance(i + 1)
		case <-w.stopped:
			return
		}
	}
}

func (w *generation) advance(tokens int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = tokens
	w.isDone = tokens == w.options.Tokens
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *generation) stop() {
	w.stopOnce.Do(func() { close(w.stopped) })
}

func (w *generation) isStopped() bool {
	select {
	case <-w.stopped:
		return true
	default:
		return false
	}
}

// waitForTokens waits until the number of tokens is reached. It returns false if generation
// was stopped or the request was cancelled.
func (w *generation) waitForTokens(r *http.Request, tokens int) bool {
	for {
		w.mu.Lock()
		have, changed := w.tokens, w.changed
		w.mu.Unlock()
		if have >= tokens {
			return true
		}
		select {
		case <-changed:
		case <-w.stopped:
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

// send writes the events after number from, or the full response if not streaming.
func (w *generation) send(to http.ResponseWriter, r *http.Request, from int, faults Faults) {
	if w.request.Stream {
		w.sendStream(to, r, from, faults)
		return
	}
	if !w.waitForTokens(r, w.options.Tokens) {
		panic(http.ErrAbortHandler)
	}
	words := make([]string, w.options.Tokens)
	for i := range words {
		words[i] = w.token(i)
	}
	body := fmt.Sprintf(`{"id":%q,"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"completion_tokens":%d}}`+"\n",
		w.id, w.request.Model, strings.Join(words, ""), w.options.Tokens)
	to.Header().Set("Content-Type", "application/json")
	to.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.CutWhole {
		body = body[:len(body)/2]
	}
	_, _ = to.Write([]byte(body))
}

func (w *generation) token(i int) string {
	return fmt.Sprintf("%s-%d ", w.options.Name, i)
}

// sendStream writes the events after number from. A response has one event per token,
// one with the finish reason, and the closing one.
func (w *generation) sendStream(to http.ResponseWriter, r *http.Request, from int, faults Faults) {
	to.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(to)
	for number := from + 1; number <= w.options.Tokens+2; number++ {
		if faults.TruncateAfter > 0 && number > faults.TruncateAfter {
			panic(http.ErrAbortHandler)
		}
		if !w.waitForTokens(r, min(number, w.options.Tokens)) {
			panic(http.ErrAbortHandler)
		}
		if number != faults.SkipAt {
			fmt.Fprint(to, w.event(number, faults))
		}
		if number == faults.RepeatAt {
			fmt.Fprint(to, w.event(number, faults))
		}
		_ = flusher.Flush()
	}
	if faults.AfterDone {
		fmt.Fprint(to, w.event(1, faults))
	}
}

func (w *generation) event(number int, faults Faults) string {
	id := w.id
	if number == faults.CrossAt {
		id = "of-another-request"
	}
	data := "[DONE]"
	switch {
	case number <= w.options.Tokens:
		data = fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, id, w.request.Model, w.token(number-1))
	case number == w.options.Tokens+1:
		data = fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`, id, w.request.Model)
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

func (a *answers) add(w *generation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID == nil {
		a.byID = make(map[string]*generation)
	}
	if earlier, ok := a.byID[w.id]; ok {
		a.count(earlier)
		a.byID[w.id] = w
		return
	}
	a.byID[w.id] = w
	a.order = append(a.order, w.id)
	if len(a.order) > maxKeptAnswers {
		a.count(a.byID[a.order[0]])
		delete(a.byID, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *answers) find(id string) (*generation, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, ok := a.byID[id]
	return w, ok
}

func (a *answers) count(w *generation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDone {
		a.counts.completed++
	} else if w.isStopped() {
		a.counts.cancelled++
	}
}

// total returns the counts including the responses still kept.
func (a *answers) total() (cancelled, completed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := answers{counts: a.counts}
	for _, w := range a.byID {
		sum.count(w)
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

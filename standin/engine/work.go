package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// keptAnswers is how many answers can be resumed.
const keptAnswers = 1024

// work is one chat that the engine generates. It goes on without a reader, so
// that its answer can be resumed, until it ends or is stopped.
type work struct {
	id      string
	request chatRequest
	options Options
	*progress
}

// progress is what has been generated so far.
type progress struct {
	stopOnce sync.Once
	stopped  chan struct{}

	mu     sync.Mutex
	tokens int
	isDone bool
	// changed is closed and replaced whenever there is more.
	changed chan struct{}
}

func newWork(id string, request chatRequest, options Options) *work {
	return &work{id: id, request: request, options: options, progress: &progress{stopped: make(chan struct{}), changed: make(chan struct{})}}
}

// generate makes the tokens of the answer.
func (w *work) generate() {
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

func (w *work) advance(tokens int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = tokens
	w.isDone = tokens == w.options.Tokens
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *work) stop() {
	w.stopOnce.Do(func() { close(w.stopped) })
}

func (w *work) isStopped() bool {
	select {
	case <-w.stopped:
		return true
	default:
		return false
	}
}

// await waits until there are so many tokens, and reports whether there are.
func (w *work) await(r *http.Request, tokens int) bool {
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

// send answers with the events after from, or with the whole answer.
func (w *work) send(to http.ResponseWriter, r *http.Request, from int, faults Faults) {
	if w.request.Stream {
		w.sendStream(to, r, from, faults)
		return
	}
	if !w.await(r, w.options.Tokens) {
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

func (w *work) token(i int) string {
	return fmt.Sprintf("%s-%d ", w.options.Name, i)
}

// sendStream sends the events with the numbers after from. An answer has one
// event for each token, one that says why it stopped, and the closing one.
func (w *work) sendStream(to http.ResponseWriter, r *http.Request, from int, faults Faults) {
	to.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(to)
	for number := from + 1; number <= w.options.Tokens+2; number++ {
		if faults.TruncateAfter > 0 && number > faults.TruncateAfter {
			panic(http.ErrAbortHandler)
		}
		if !w.await(r, min(number, w.options.Tokens)) {
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

func (w *work) event(number int, faults Faults) string {
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

// answers are the last answers, by the request's id.
type answers struct {
	mu     sync.Mutex
	byID   map[string]*work
	order  []string
	counts struct{ cancelled, completed int }
}

func (a *answers) add(w *work) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID == nil {
		a.byID = make(map[string]*work)
	}
	if earlier, ok := a.byID[w.id]; ok {
		a.count(earlier)
		a.byID[w.id] = w
		return
	}
	a.byID[w.id] = w
	a.order = append(a.order, w.id)
	if len(a.order) > keptAnswers {
		a.count(a.byID[a.order[0]])
		delete(a.byID, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *answers) find(id string) (*work, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, ok := a.byID[id]
	return w, ok
}

func (a *answers) count(w *work) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDone {
		a.counts.completed++
	} else if w.isStopped() {
		a.counts.cancelled++
	}
}

// total returns the counts with those of the kept answers.
func (a *answers) total() (cancelled, completed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := answers{counts: a.counts}
	for _, w := range a.byID {
		sum.count(w)
	}
	return sum.counts.cancelled, sum.counts.completed
}

// cancelled counts the chats that were stopped before they were done.
func (a *answers) cancelled() int {
	cancelled, _ := a.total()
	return cancelled
}

// completed counts the chats that were generated to their end.
func (a *answers) completed() int {
	_, completed := a.total()
	return completed
}

// resume answers with the events of an earlier answer after the one that the
// header Last-Event-ID names.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	w.Header().Set(HeaderRequestID, id)
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	work, ok := s.answers.find(id)
	if !ok || faults.NoResume || work.isStopped() {
		http.Error(w, "no such answer", http.StatusNotFound)
		return
	}
	if !faults.OnResume {
		faults = Faults{}
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	work.send(w, r, from, faults)
}

// cancel stops the work on an answer.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	w.Header().Set(HeaderRequestID, id)
	if work, ok := s.answers.find(id); ok {
		work.stop()
	}
	w.WriteHeader(http.StatusNoContent)
}

// Package engine is a stand-in for a model engine and for a plain service. It
// answers in the OpenAI style, echoes the request's id, and keeps a log of what
// it ran, so that tests can count runs.
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers that the engine reads and echoes.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderFencing   = "X-Fencing-Number"
	HeaderKey       = "Idempotency-Key"
)

// Options set how a stand-in behaves. The zero value answers at once.
type Options struct {
	// Name is shown in answers.
	Name string
	// TokenDelay is the time between two tokens of a stream.
	TokenDelay time.Duration
	// Tokens is the length of an answer; zero means 8.
	Tokens int
	// Slots is how many requests the engine says it runs at once; zero means it
	// does not say.
	Slots int
	// ChecksFencing makes the engine refuse numbers below the highest it saw for a key.
	ChecksFencing bool
}

// Faults are the failures that tests switch on through PUT /faults.
type Faults struct {
	// Withdrawn makes the endpoint refuse new work with 410.
	Withdrawn bool `json:"withdrawn"`
	// TruncateAfter stops a stream after so many tokens; zero means never.
	TruncateAfter int `json:"truncateAfter"`
	// CrossAnswers makes the endpoint answer with the id of the request before.
	CrossAnswers bool `json:"crossAnswers"`
	// HoldMillis delays the answer after the work was done.
	HoldMillis int `json:"holdMillis"`
	// DropAnswers closes the connection after the work was done.
	DropAnswers bool `json:"dropAnswers"`
}

// Run is one piece of work that the stand-in did.
type Run struct {
	RequestID string `json:"requestId"`
	Key       string `json:"key,omitempty"`
	Path      string `json:"path"`
	Body      string `json:"body,omitempty"`
	Fencing   uint64 `json:"fencing,omitempty"`
}

// Server is one stand-in.
type Server struct {
	options Options

	mu       sync.Mutex
	faults   Faults
	runs     []Run
	inFlight int
	// maxInFlight is the highest that inFlight was.
	maxInFlight int
	fencing     map[string]uint64
	lastID      string
}

// New returns a stand-in.
func New(options Options) *Server {
	if options.Tokens == 0 {
		options.Tokens = 8
	}
	return &Server{options: options, fencing: make(map[string]uint64)}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.chat)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("GET /runs", s.listRuns)
	mux.HandleFunc("PUT /faults", s.setFaults)
	mux.HandleFunc("/", s.service)
	return mux
}

// begin records the work of a request. It returns the id to answer with and
// whether the work was taken on.
func (s *Server) begin(w http.ResponseWriter, r *http.Request, body []byte) (string, Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Withdrawn {
		http.Error(w, "withdrawn", http.StatusGone)
		return "", s.faults, false
	}
	key := r.Header.Get(HeaderKey)
	number, _ := strconv.ParseUint(r.Header.Get(HeaderFencing), 10, 64)
	if s.options.ChecksFencing && key != "" {
		if number < s.fencing[key] {
			http.Error(w, "fencing number too low", http.StatusPreconditionFailed)
			return "", s.faults, false
		}
		s.fencing[key] = number
	}
	id := r.Header.Get(HeaderRequestID)
	answerID := id
	if s.faults.CrossAnswers && s.lastID != "" {
		answerID = s.lastID
	}
	s.lastID = id
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	s.runs = append(s.runs, Run{RequestID: id, Key: key, Path: r.URL.Path, Body: string(body), Fencing: number})
	return answerID, s.faults, true
}

func (s *Server) end() {
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
}

type chatRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, faults, ok := s.begin(w, r, body)
	if !ok {
		return
	}
	defer s.end()
	time.Sleep(time.Duration(faults.HoldMillis) * time.Millisecond)
	if faults.DropAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderRequestID, id)
	if request.Stream {
		s.stream(w, r, id, request.Model, faults)
		return
	}
	select {
	case <-time.After(time.Duration(s.options.Tokens) * s.options.TokenDelay):
	case <-r.Context().Done():
		return
	}
	words := make([]string, s.options.Tokens)
	for i := range words {
		words[i] = s.token(i)
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"id":%q,"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"completion_tokens":%d}}`+"\n",
		id, request.Model, strings.Join(words, ""), s.options.Tokens)
}

func (s *Server) token(i int) string {
	return fmt.Sprintf("%s-%d ", s.options.Name, i)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, id, model string, faults Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := range s.options.Tokens {
		if faults.TruncateAfter > 0 && i >= faults.TruncateAfter {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(s.options.TokenDelay):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`+"\n\n", id, model, s.token(i))
		_ = flusher.Flush()
	}
	fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n", id, model)
}

// service answers any other path as a plain service would.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, faults, ok := s.begin(w, r, body)
	if !ok {
		return
	}
	defer s.end()
	time.Sleep(time.Duration(faults.HoldMillis) * time.Millisecond)
	if faults.DropAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"server":%q,"path":%q,"requestId":%q,"received":%d}`+"\n", s.options.Name, r.URL.Path, id, len(body))
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, map[string]int{"inFlight": s.inFlight, "maxInFlight": s.maxInFlight, "slots": s.options.Slots})
}

func (s *Server) listRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, map[string]any{"runs": s.runs})
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	writeJSON(w, faults)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

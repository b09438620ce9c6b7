// Package engine simulates a model engine and a plain service. It responds in the
// OpenAI format, echoes the request's id, and lists its runs so that tests can count
// them.
package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers that the engine reads. It echoes HeaderRequestID.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderFencing        = "X-Fencing-Number"
	HeaderIdempotencyKey = "Idempotency-Key"

	HeaderCallerRequestID = "X-Caller-Request-Id"
	HeaderDeadline        = "X-Deadline-Ms"
	HeaderRequestRate     = "X-Request-Rate"
)

// Options configure a simulated engine. The zero value responds without delay.
type Options struct {
	// Name is included in responses.
	Name string
	// TokenDelay is the time between two tokens of a stream.
	TokenDelay time.Duration
	// Tokens is the length of a response; zero means 8.
	Tokens int
	// Slots is the reported number of concurrent requests; zero means not reported.
	Slots int
	// ChecksFencing makes the engine refuse fencing numbers below the highest of an
	// idempotency key.
	ChecksFencing bool
	// CrashText ends the engine when it begins to answer a request whose body contains it;
	// empty means never. Exit is called for that and must not return.
	CrashText string
	Exit      func()
}

// Faults are the failures that tests inject through PUT /faults.
type Faults struct {
	// Withdrawn makes the endpoint refuse new requests with 410.
	Withdrawn bool `json:"withdrawn"`
	// TruncateAfter cuts a stream after this event number; zero means never.
	TruncateAfter int `json:"truncateAfter"`
	// CrossAnswers gives a response the id of the previous request.
	CrossAnswers bool `json:"crossAnswers"`
	// HoldMillis delays the response after the request was recorded, in milliseconds.
	HoldMillis int `json:"holdMillis"`
	// RefuseConnections closes the connection of a service request before recording it.
	RefuseConnections bool `json:"refuseConnections"`
	// DropAnswers closes the connection after the request was recorded.
	DropAnswers bool `json:"dropAnswers"`
	// NoResume stops a generation whose connection ended and refuses to resume it.
	NoResume bool `json:"noResume"`
	// OnResume applies the faults to resumed streams too.
	OnResume bool `json:"onResume"`
	// CrossAt is the number of an event that gets another request's id.
	CrossAt int `json:"crossAt"`
	// RepeatAt is the number of an event that is sent twice.
	RepeatAt int `json:"repeatAt"`
	// SkipAt is the number of an event that is omitted.
	SkipAt int `json:"skipAt"`
	// CutWhole truncates a response that is not streamed.
	CutWhole bool `json:"cutWhole"`
	// RequestRate is the requests a second that the endpoint states to take from all routers;
	// empty means that it states none.
	RequestRate string `json:"requestRate"`
	// AfterDone sends an event after the closing one.
	AfterDone bool `json:"afterDone"`
}

// Run is one request that the engine executed.
type Run struct {
	RequestID string `json:"requestId"`
	// CallerRequestID is the id that the caller chose.
	CallerRequestID string `json:"callerRequestId,omitempty"`
	// Traceparent is the W3C trace context of the request.
	Traceparent string `json:"traceparent,omitempty"`
	// DeadlineMillis is the remaining time of the request in milliseconds.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`

	Key     string `json:"key,omitempty"`
	Path    string `json:"path"`
	Body    string `json:"body,omitempty"`
	Fencing uint64 `json:"fencing,omitempty"`
}

// Server is one simulated engine or service.
type Server struct {
	options Options

	mu          sync.Mutex
	faults      Faults
	runs        []Run
	inFlight    int
	maxInFlight int
	fencing     map[string]fencing
	lastID      string
	responses   responses
}

// New returns a server without a listener; Handler serves it.
func New(options Options) *Server {
	if options.Tokens == 0 {
		options.Tokens = 8
	}
	return &Server{options: options, fencing: make(map[string]fencing)}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.chat)
	mux.HandleFunc("POST /v1/streams/{id}/resume", s.resume)
	mux.HandleFunc("POST /v1/streams/{id}/cancel", s.cancel)
	mux.HandleFunc("POST /v1/fence", s.fence)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("GET /runs", s.listRuns)
	mux.HandleFunc("PUT /faults", s.setFaults)
	mux.HandleFunc("/", s.service)
	return mux
}

// begin records a request as a run. It returns the id for the response, the faults and
// whether it accepted the request. If so, the caller must call end; if not, begin has
// written the error.
func (s *Server) begin(w http.ResponseWriter, r *http.Request, body []byte) (string, Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	if s.faults.RequestRate != "" {
		w.Header().Set(HeaderRequestRate, s.faults.RequestRate)
	}
	if s.faults.Withdrawn {
		http.Error(w, "withdrawn", http.StatusGone)
		return "", s.faults, false
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	number, _ := strconv.ParseUint(r.Header.Get(HeaderFencing), 10, 64)
	if !s.acceptFencingNumber(r, number) {
		http.Error(w, "fencing number too low", http.StatusPreconditionFailed)
		return "", s.faults, false
	}
	id := r.Header.Get(HeaderRequestID)
	responseID := id
	if s.faults.CrossAnswers && s.lastID != "" {
		responseID = s.lastID
	}
	s.lastID = id
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	deadline, _ := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	s.runs = append(s.runs, Run{
		RequestID:       id,
		CallerRequestID: r.Header.Get(HeaderCallerRequestID),
		Traceparent:     r.Header.Get("Traceparent"),
		DeadlineMillis:  deadline,
		Key:             key,
		Path:            r.URL.Path,
		Body:            string(body),
		Fencing:         number,
	})
	return responseID, s.faults, true
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
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	responseID, faults, ok := s.begin(w, r, body)
	if !ok {
		return
	}
	if s.options.CrashText != "" && bytes.Contains(body, []byte(s.options.CrashText)) {
		w.Header().Set(HeaderRequestID, responseID)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		s.options.Exit()
	}
	generation := newGeneration(r.Header.Get(HeaderRequestID), request, s.options)
	s.responses.add(generation)
	go func() {
		generation.run()
		s.end()
	}()
	time.Sleep(time.Duration(faults.HoldMillis) * time.Millisecond)
	if faults.DropAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderRequestID, responseID)
	if responseID != generation.id {
		crossed := *generation
		crossed.id = responseID
		crossed.send(w, r, 0, faults)
		return
	}
	generation.send(w, r, 0, faults)
	if faults.NoResume && r.Context().Err() != nil {
		generation.stop()
	}
}

// service responds to any other path as a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.abortIfRefusing()
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
	if faults.CutWhole {
		// Longer than the body, so that the response is truncated.
		w.Header().Set("Content-Length", "1000")
	}
	fmt.Fprintf(w, `{"server":%q,"path":%q,"requestId":%q,"received":%d}`+"\n", s.options.Name, r.URL.Path, id, len(body))
}

func (s *Server) abortIfRefusing() {
	s.mu.Lock()
	isRefusing := s.faults.RefuseConnections
	s.mu.Unlock()
	if isRefusing {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, map[string]int{"inFlight": s.inFlight, "maxInFlight": s.maxInFlight, "slots": s.options.Slots})
}

func (s *Server) listRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, map[string]any{"runs": s.runs, "cancelled": s.responses.cancelled(), "completed": s.responses.completed()})
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

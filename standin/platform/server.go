package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Instance is an entry of the list.
type Instance struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Role          string `json:"role"`
	Leaving       bool   `json:"leaving,omitempty"`
	CallerAddress string `json:"callerAddress,omitempty"`
	PeerAddress   string `json:"peerAddress,omitempty"`
	URL           string `json:"url,omitempty"`
}

// Faults are the failures that tests switch on through PUT /faults.
type Faults struct {
	// Down makes every call answer 503 without effect.
	Down bool `json:"down"`
	// LoseAnswers is how many of the next commits take effect and then drop
	// the connection instead of answering.
	LoseAnswers int `json:"loseAnswers"`
	// DelayMillis delays every call by so many milliseconds.
	DelayMillis int `json:"delayMillis"`
	// DelayCommitMillis delays every commit before it takes effect.
	DelayCommitMillis int `json:"delayCommitMillis"`
	// HoldCommitMillis delays the answer of every commit after it took effect.
	HoldCommitMillis int `json:"holdCommitMillis"`
	// LateCommits is how many of the next commits drop the connection and take
	// effect only LateMillis later.
	LateCommits int `json:"lateCommits"`
	LateMillis  int `json:"lateMillis"`
	// FrozenList keeps the instance list as it is.
	FrozenList bool `json:"frozenList"`
}

// Counters are the calls that the platform has served.
type Counters struct {
	// Begun counts the commits that arrived.
	Begun   int `json:"begun"`
	Commits int `json:"commits"`
	Reads   int `json:"reads"`
	Scans   int `json:"scans"`
}

// ListLag is how far the instance list lags behind registrations.
const ListLag = 2 * time.Second

type listed struct {
	instance Instance
	since    time.Time
}

// Server serves the stand-in over HTTP.
type Server struct {
	Table *Table

	mu        sync.Mutex
	faults    Faults
	counters  Counters
	instances map[string]listed
	objects   map[string]json.RawMessage
}

// NewServer returns a server over an empty table.
func NewServer() *Server {
	return &Server{
		Table:     NewTable(),
		instances: make(map[string]listed),
		objects:   make(map[string]json.RawMessage),
	}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/table/commit", s.guard(s.commit))
	mux.HandleFunc("POST /v1/table/read", s.guard(s.read))
	mux.HandleFunc("POST /v1/table/scan", s.guard(s.scan))
	mux.HandleFunc("GET /v1/instances", s.guard(s.listInstances))
	mux.HandleFunc("POST /v1/instances", s.guard(s.registerInstance))
	mux.HandleFunc("PUT /v1/objects/{name}", s.guard(s.putObject))
	mux.HandleFunc("GET /v1/objects/{name}", s.guard(s.getObject))
	mux.HandleFunc("PUT /faults", s.setFaults)
	mux.HandleFunc("GET /counters", s.getCounters)
	return mux
}

// guard applies the faults that concern every call.
func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		s.mu.Unlock()
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
		if faults.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var tx Transaction
	if !decode(w, r, &tx) {
		return
	}
	s.beginCommit(tx)
	result := s.Table.Commit(tx)
	s.mu.Lock()
	s.counters.Commits++
	hold := time.Duration(s.faults.HoldCommitMillis) * time.Millisecond
	lose := s.faults.LoseAnswers > 0
	if lose {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(hold)
	status := http.StatusOK
	if result.Conflict != "" {
		status = http.StatusConflict
	}
	encode(w, status, result)
}

// beginCommit delays the commit, or drops the connection and commits later, as
// the faults say.
func (s *Server) beginCommit(tx Transaction) {
	s.mu.Lock()
	s.counters.Begun++
	delay := time.Duration(s.faults.DelayCommitMillis) * time.Millisecond
	isLate, after := s.faults.LateCommits > 0, time.Duration(s.faults.LateMillis)*time.Millisecond
	if isLate {
		s.faults.LateCommits--
	}
	s.mu.Unlock()
	if isLate {
		time.AfterFunc(after, func() { s.Table.Commit(tx) })
		panic(http.ErrAbortHandler)
	}
	time.Sleep(delay)
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	var request struct{ Keys []string }
	if !decode(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.counters.Reads++
	s.mu.Unlock()
	encode(w, http.StatusOK, map[string]any{"rows": s.Table.Read(request.Keys)})
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Prefix, After string
		Limit         int
	}
	if !decode(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.counters.Scans++
	s.mu.Unlock()
	encode(w, http.StatusOK, map[string]any{"rows": s.Table.Scan(request.Prefix, request.After, request.Limit)})
}

func (s *Server) listInstances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []Instance{}
	for _, entry := range s.instances {
		if time.Since(entry.since) >= ListLag {
			list = append(list, entry.instance)
		}
	}
	encode(w, http.StatusOK, map[string]any{"instances": list})
}

func (s *Server) registerInstance(w http.ResponseWriter, r *http.Request) {
	var instance Instance
	if !decode(w, r, &instance) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.FrozenList {
		if known, ok := s.instances[instance.Name]; !ok || known.instance != instance {
			s.instances[instance.Name] = listed{instance: instance, since: time.Now()}
		}
	}
	encode(w, http.StatusOK, struct{}{})
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if !decode(w, r, &value) {
		return
	}
	s.mu.Lock()
	s.objects[r.PathValue("name")] = value
	s.mu.Unlock()
	encode(w, http.StatusOK, struct{}{})
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	value, ok := s.objects[r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	encode(w, http.StatusOK, value)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !decode(w, r, &faults) {
		return
	}
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	encode(w, http.StatusOK, faults)
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	encode(w, http.StatusOK, s.counters)
}

func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

package engine

import (
	"net/http"
	"strconv"
)

// HeaderAccount is the client account, within which a key is unique.
const HeaderAccount = "X-Client-Account"

// fencing is what the stand-in knows of the numbers of one key.
type fencing struct {
	// highest is the highest number seen in a request or a fence order.
	highest uint64
	// accepted is the highest number under which a request was taken on.
	accepted uint64
}

// fencingKey names the account and key that a request or order carries.
func fencingKey(r *http.Request) string {
	return r.Header.Get(HeaderAccount) + "/" + r.Header.Get(HeaderKey)
}

// fence serves a fence order: it refuses every lower number of the key from
// then on, and tells under which number a request was taken on before.
func (s *Server) fence(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	if !s.options.ChecksFencing {
		http.Error(w, "fencing numbers are not checked", http.StatusNotImplemented)
		return
	}
	number, err := strconv.ParseUint(r.Header.Get(HeaderFencing), 10, 64)
	if err != nil {
		http.Error(w, "no fencing number", http.StatusBadRequest)
		return
	}
	known := s.fencing[fencingKey(r)]
	if number < known.highest {
		http.Error(w, "fencing number too low", http.StatusPreconditionFailed)
		return
	}
	known.highest = number
	s.fencing[fencingKey(r)] = known
	writeJSON(w, map[string]uint64{"accepted": known.accepted})
}

// takesNumber reports whether a request's number is high enough, and notes it.
// The caller holds the lock.
func (s *Server) takesNumber(r *http.Request, number uint64) bool {
	if !s.options.ChecksFencing || r.Header.Get(HeaderKey) == "" {
		return true
	}
	known := s.fencing[fencingKey(r)]
	if number < known.highest {
		return false
	}
	s.fencing[fencingKey(r)] = fencing{highest: number, accepted: number}
	return true
}

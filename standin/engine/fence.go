package engine

import (
	"net/http"
	"strconv"
)

// HeaderAccount names the client account; idempotency keys are unique within it.
const HeaderAccount = "X-Client-Account"

// fencing is the state of the fencing numbers of one key.
type fencing struct {
	// highest is the highest number received in a request or a fence call.
	highest uint64
	// accepted is the highest number of an accepted request.
	accepted uint64
}

// fencingKey returns the map key for the account and idempotency key in the headers.
func fencingKey(r *http.Request) string {
	return r.Header.Get(HeaderAccount) + "/" + r.Header.Get(HeaderIdempotencyKey)
}

// fence makes the engine refuse lower numbers of the key from now on. It returns the
// highest number of a request accepted so far.
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
		http.Error(w, "missing or invalid fencing number", http.StatusBadRequest)
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

// acceptFencingNumber reports whether a request's number is high enough, and records it.
// The caller holds the lock.
func (s *Server) acceptFencingNumber(r *http.Request, number uint64) bool {
	if !s.options.ChecksFencing || r.Header.Get(HeaderIdempotencyKey) == "" {
		return true
	}
	known := s.fencing[fencingKey(r)]
	if number < known.highest {
		return false
	}
	s.fencing[fencingKey(r)] = fencing{highest: number, accepted: number}
	return true
}

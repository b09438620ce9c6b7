// Package placement selects the server of a plain service that runs a request.
// Requests to models are placed by package routing, which enforces the load bound.
//
// A Picker is immutable and is replaced as a whole when the configuration or the
// view changes. Pick is called from request goroutines; Picker values are built
// by the control goroutine.
package placement

import (
	"errors"

	"gentianhead/core/process/entry"
)

// PickInfo describes a request to place. Pick reads Chat, Service and Excluded only.
type PickInfo struct {
	// Chat identifies the conversation; requests of one chat share a prompt prefix.
	Chat string
	// Prefix identifies a long prompt prefix that several chats of the account
	// share; zero means none.
	Prefix uint64
	// Model or Service names the requested target; exactly one is set.
	Model   string
	Service string
	// Account is the requesting client account.
	Account string
	// Excluded endpoints have already been tried.
	Excluded []string
}

// PickResult is the endpoint picked for a request: its name and its base URL.
type PickResult struct {
	Endpoint string
	URL      string
}

// ErrNoEndpoint means that no endpoint is left to serve the service. The request
// was not run.
var ErrNoEndpoint = errors.New("no live endpoint")

// Candidate is an endpoint that may be picked.
type Candidate struct {
	Name string
	URL  string
}

// Picker picks one of the candidates of a service.
type Picker struct {
	byService map[string][]Candidate
}

// NewPicker returns a picker over the candidates of each service.
func NewPicker(byService map[string][]Candidate) *Picker {
	return &Picker{byService: byService}
}

// Names returns the names of the candidates of a service.
func (p *Picker) Names(service string) []string {
	candidates := p.byService[service]
	names := make([]string, len(candidates))
	for i, candidate := range candidates {
		names[i] = candidate.Name
	}
	return names
}

// Pick picks an endpoint by rendezvous hashing of the chat, or returns ErrNoEndpoint.
func (p *Picker) Pick(info PickInfo) (PickResult, error) {
	candidates := p.byService[info.Service]
	best := -1
	var bestScore uint64
	for i, candidate := range candidates {
		if isExcluded(info.Excluded, candidate.Name) {
			continue
		}
		if score := entry.Score(info.Chat, candidate.Name); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return PickResult{}, ErrNoEndpoint
	}
	return PickResult{Endpoint: candidates[best].Name, URL: candidates[best].URL}, nil
}

func isExcluded(excluded []string, name string) bool {
	for _, e := range excluded {
		if e == name {
			return true
		}
	}
	return false
}

package gateway

import (
	"encoding/json"
	"net/http"

	"gentianhead/core/process/entry"
	"gentianhead/core/request/outcome"
)

// entryBody is the body of an entry answer.
type entryBody struct {
	// Addresses are in the order in which callers should try them.
	Addresses []string `json:"addresses"`
	// KeepSeconds is how long the answer may be cached.
	KeepSeconds float64 `json:"keepSeconds"`
}

// entry serves GET /v1/entry?chat=ID. An isolated router excludes itself.
func (g *Gateway) entry(w http.ResponseWriter, r *http.Request) {
	query := entry.Query{Chat: r.URL.Query().Get("chat")}
	if g.options.Control.IsIsolated() {
		query.Excluded = g.options.Control.Instance()
	}
	addresses := entry.AddressesFor(g.options.Control.State().View, query)
	if len(addresses) == 0 {
		writeProblem(w, requestID(r), notRun(http.StatusServiceUnavailable, outcome.CodeNotReady, "no router accepts new requests").retryAfter(retryAfterIsolated))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(entryBody{
		Addresses:   addresses,
		KeepSeconds: g.options.Shutdown.EntryLife.Seconds(),
	})
}

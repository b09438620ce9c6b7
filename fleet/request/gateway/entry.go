package gateway

import (
	"encoding/json"
	"net/http"

	"gentianhead/core/process/entry"
	"gentianhead/core/request/outcome"
)

// entryBody is an entry answer as callers see it.
type entryBody struct {
	// Addresses are to be tried in order.
	Addresses []string `json:"addresses"`
	// KeepSeconds is how long the answer may be kept.
	KeepSeconds float64 `json:"keepSeconds"`
}

// entry serves GET /v1/entry?chat=ID. An isolated router does not name itself.
func (g *Gateway) entry(w http.ResponseWriter, r *http.Request) {
	query := entry.Query{Chat: r.URL.Query().Get("chat")}
	if g.options.Control.IsIsolated() {
		query.Excluded = g.options.Control.Instance()
	}
	addresses := entry.For(g.options.Control.State().View, query)
	if len(addresses) == 0 {
		writeProblem(w, requestID(r), notRun(http.StatusServiceUnavailable, outcome.CodeNotReady, "no router takes new work").after(retryIsolated))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(entryBody{
		Addresses:   addresses,
		KeepSeconds: g.options.Shutdown.EntryLife.Seconds(),
	})
}

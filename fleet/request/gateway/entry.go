package gateway

import (
	"encoding/json"
	"net/http"

	"gentianhead/core/process/entry"
)

// entryBody is an entry answer as callers see it.
type entryBody struct {
	// Addresses are to be tried in order.
	Addresses []string `json:"addresses"`
	// KeepSeconds is how long the answer may be kept.
	KeepSeconds float64 `json:"keepSeconds"`
}

// entry serves GET /v1/entry?chat=ID.
func (g *Gateway) entry(w http.ResponseWriter, r *http.Request) {
	answer := entry.For(g.options.Control.State().View, r.URL.Query().Get("chat"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(entryBody{
		Addresses:   answer.Addresses,
		KeepSeconds: g.options.Shutdown.EntryLife.Seconds(),
	})
}

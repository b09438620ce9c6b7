// Package admin serves the operators' resource API. Handlers run concurrently and
// write changes to the table service, from which every router reads them.
package admin

import (
	"crypto/subtle"
	"encoding/json"
	"log/slog"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"gentianhead/core/process/table"
	"gentianhead/fleet/process/control"
	"gentianhead/fleet/version/desired"
)

// Options configures the API. All fields are required.
type Options struct {
	Control *control.Loop
	Desired *desired.Store
	// Table holds the claims of at-most-once requests.
	Table table.Table
	// Token is the operators' bearer token.
	Token string
	Log   *slog.Logger
}

type api struct {
	options Options
}

// Handler returns the HTTP interface for operators, with its OpenAPI document
// at /openapi.json. Every call requires the operators' bearer token.
func Handler(options Options) http.Handler {
	mux := http.NewServeMux()
	a := &api{options: options}
	h := humago.New(mux, huma.DefaultConfig("gentianhead resources", "1"))
	huma.Register(h, huma.Operation{
		OperationID: "list-resources", Method: http.MethodGet, Path: "/v1/resources",
		Summary: "List resources",
	}, a.list)
	huma.Register(h, huma.Operation{
		OperationID: "get-resource", Method: http.MethodGet, Path: "/v1/resources/{kind}/{name}",
		Summary: "Get one resource",
	}, a.get)
	huma.Register(h, huma.Operation{
		OperationID: "put-resource", Method: http.MethodPut, Path: "/v1/resources/{kind}/{name}",
		Summary: "Create or replace a resource",
	}, a.put)
	huma.Register(h, huma.Operation{
		OperationID: "delete-resource", Method: http.MethodDelete, Path: "/v1/resources/{kind}/{name}",
		Summary: "Delete a resource",
	}, a.remove)
	huma.Register(h, huma.Operation{
		OperationID: "watch-changes", Method: http.MethodGet, Path: "/v1/changes",
		Summary: "Wait for changes after a revision",
	}, a.changes)
	huma.Register(h, huma.Operation{
		OperationID: "get-status", Method: http.MethodGet, Path: "/v1/status",
		Summary: "Show which revision is in force on which router",
	}, a.status)
	a.registerClaims(h)
	return requireToken(options.Token, mux)
}

func requireToken(token string, next http.Handler) http.Handler {
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			w.Header().Set("Content-Type", "application/problem+json")
			w.Header().Set("WWW-Authenticate", "Bearer")
			w.WriteHeader(http.StatusUnauthorized)
			_ = json.NewEncoder(w).Encode(huma.Error401Unauthorized("operators' bearer token required"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

package gateway

import (
	"net/http"
	"time"

	"gentianhead/core/request/outcome"
	"gentianhead/fleet/connection/engine"
)

// atMostOnce refuses what may run at most once until claims are in place.
func (g *Gateway) atMostOnce(x *exchange) *outcome.Problem {
	if x.r.Header.Get(engine.HeaderKey) == "" {
		return notRun(http.StatusBadRequest, outcome.CodeKeyMissing, "this call needs an Idempotency-Key").Problem
	}
	return notRun(http.StatusServiceUnavailable, outcome.CodeStoreDown, "claims are not available").after(time.Minute)
}

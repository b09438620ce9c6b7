package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"gentianhead/core/request/outcome"
	"gentianhead/core/request/placement"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/engine"
)

// retryNoEndpoint is when to come back after no endpoint was live.
const retryNoEndpoint = 2 * time.Second

// service serves /v1/services/{service}/{path...}.
func (g *Gateway) service(ctx context.Context, x *exchange) *outcome.Problem {
	name := x.r.PathValue("service")
	path := "/" + x.r.PathValue("path")
	object, known := x.state.Config.Get(resource.KindService, name)
	if !known {
		return notRun(http.StatusNotFound, outcome.CodeUnknownService, "no service has this name").Problem
	}
	if isNonIdempotent(object.Service, path) {
		return g.atMostOnce(x)
	}
	picked, err := x.state.Picker.Pick(placement.PickInfo{Chat: x.chat, Service: name, Account: x.account})
	if err != nil {
		return notRun(http.StatusServiceUnavailable, outcome.CodeNoEndpoint, "no live endpoint serves the service").after(retryNoEndpoint)
	}
	defer picked.Done()
	response, err := g.send(ctx, x, picked, x.r.Method, path)
	if err != nil {
		return failure(err)
	}
	return passWhole(x, response)
}

// atMostOnce refuses what may run at most once until claims are in place.
func (g *Gateway) atMostOnce(x *exchange) *outcome.Problem {
	if x.r.Header.Get(engine.HeaderKey) == "" {
		return notRun(http.StatusBadRequest, outcome.CodeKeyMissing, "this call needs an Idempotency-Key").Problem
	}
	return notRun(http.StatusServiceUnavailable, outcome.CodeStoreDown, "claims are not available").after(time.Minute)
}

// isNonIdempotent reports whether calls to path run at most once.
func isNonIdempotent(service *resource.Service, path string) bool {
	for _, pattern := range service.NonIdempotent {
		prefix, isPrefix := strings.CutSuffix(pattern, "*")
		if path == pattern || (isPrefix && strings.HasPrefix(path, prefix)) {
			return true
		}
	}
	return false
}

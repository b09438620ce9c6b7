package gateway

import (
	"context"
	"net/http"
	"strings"

	"gentianhead/core/request/outcome"
	"gentianhead/core/request/placement"
	"gentianhead/core/version/resource"
)

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
	info := placement.PickInfo{Chat: x.chat, Service: name, Account: x.account}
	call := endpointCall{method: x.r.Method, path: path}
	return g.dispatch(ctx, x, info, call, func(response *http.Response) *outcome.Problem {
		return passWhole(x, response)
	})
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

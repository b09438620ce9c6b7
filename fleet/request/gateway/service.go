package gateway

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"

	"gentianhead/core/request/outcome"
	"gentianhead/core/request/placement"
	"gentianhead/core/version/resource"
)

// servicesPath is the first part of the paths of services.
const servicesPath = "/v1/services/"

// service serves /v1/services/{service}/{path...}.
func (g *Gateway) service(ctx context.Context, x *exchange) *outcome.Problem {
	name := x.r.PathValue("service")
	servicePath := "/" + x.r.PathValue("path")
	object, known := x.state.Config.Get(resource.KindService, name)
	if !known {
		return notRun(http.StatusNotFound, outcome.CodeUnknownService, "no service has this name").Problem
	}
	if problem := checkServicePath(servicePath); problem != nil {
		return problem
	}
	if problem := g.drain.admit(ctx, x, "service "+name); problem != nil {
		return problem
	}
	// An encoded slash reaches the endpoint as it was sent. The checks take it for a slash, as an
	// endpoint may.
	target := url.URL{Path: servicePath, RawPath: escapedServicePath(x.r.URL), RawQuery: x.r.URL.RawQuery}
	info := placement.PickInfo{Chat: x.chat, Service: name, Account: x.account}
	call := endpointCall{method: x.r.Method, path: target.String()}
	if isNonIdempotent(object.Service, servicePath) {
		return g.atMostOnce(ctx, x, info, call)
	}
	return g.dispatch(ctx, x, info, call, func(response *http.Response) *outcome.Problem {
		return forwardWhole(x, response)
	})
}

// escapedServicePath returns the path behind the name of the service, as the caller sent it.
func escapedServicePath(u *url.URL) string {
	_, path, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), servicesPath), "/")
	return "/" + path
}

// reservedPath is the path at which engines resume and cancel answers. An
// endpoint may serve both models and services, and a caller must not access
// another caller's answers.
const reservedPath = "/v1/streams"

// checkServicePath refuses reserved paths and those that an endpoint could
// normalize to another path, which could bypass the rules for non-idempotent calls.
func checkServicePath(servicePath string) *outcome.Problem {
	clean := path.Clean(servicePath)
	if clean != servicePath && clean+"/" != servicePath {
		return notRun(http.StatusBadRequest, outcome.CodeBadRequest, "the path has empty, . or .. segments").Problem
	}
	if clean == reservedPath || strings.HasPrefix(clean, reservedPath+"/") {
		return notRun(http.StatusNotFound, outcome.CodeUnknownService, "paths below "+reservedPath+" are reserved").Problem
	}
	return nil
}

// isNonIdempotent reports whether calls to a path run at most once.
func isNonIdempotent(service *resource.Service, servicePath string) bool {
	return slices.ContainsFunc(service.NonIdempotent, func(pattern string) bool {
		return resource.MatchesPath(pattern, servicePath)
	})
}

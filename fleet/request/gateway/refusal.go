package gateway

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"gentianhead/core/process/entry"
	"gentianhead/core/request/outcome"
	"gentianhead/core/request/placement"
	"gentianhead/core/request/routing"
)

// refusalProblem maps a refusal of core/request/routing to a problem.
func refusalProblem(refusal *routing.Refusal) *outcome.Problem {
	retryAfter := refusal.RetryAfter
	switch refusal.Reason {
	case routing.AccountLimit:
		return notRun(http.StatusTooManyRequests, outcome.CodeAccountLimit, "the client account exceeds its request rate").retryAfter(retryAfter)
	case routing.AccountShare:
		return notRun(http.StatusTooManyRequests, outcome.CodeAccountLimit, "engines are full and the client account is above its share").retryAfter(retryAfter)
	case routing.LoadBound:
		return notRun(http.StatusServiceUnavailable, outcome.CodeLoadBound, "every engine is at its load bound").retryAfter(retryAfter)
	case routing.NoObserver:
		return notRun(http.StatusServiceUnavailable, outcome.CodeLoadBound, "the load of the engines is not known to this router").retryAfter(retryAfter)
	}
	return notRun(http.StatusServiceUnavailable, outcome.CodeNoEndpoint, "no live endpoint serves this").retryAfter(retryAfter)
}

// noRetryProblem returns the problem for a request whose attempt failed with err
// and that is not retried because of refusal.
func noRetryProblem(err error, refusal *routing.Refusal) *outcome.Problem {
	if refusal.Reason != routing.NoRetry {
		return refusalProblem(refusal)
	}
	if errors.Is(err, errEndpointRefused) {
		return notRun(http.StatusServiceUnavailable, outcome.CodeNoEndpoint, "the endpoint refused the request").retryAfter(refusal.RetryAfter)
	}
	problem := problemFromError(err)
	if problem.Outcome == outcome.NotRun {
		problem.RetryAfter = refusal.RetryAfter
	}
	return problem
}

// chatKey returns a key of the conversation that is unique across accounts, or 0
// if there is none. Without a chat ID it is the prefix key.
func chatKey(info placement.PickInfo) uint64 {
	if info.Chat == "" {
		return info.Prefix
	}
	return entry.Mix(xxhash.Sum64String(info.Account), xxhash.Sum64String(info.Chat))
}

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

// refused turns a refusal of the routing core into a problem.
func refused(refusal *routing.Refusal) *outcome.Problem {
	after := refusal.RetryAfter
	switch refusal.Reason {
	case routing.AccountLimit:
		return notRun(http.StatusTooManyRequests, outcome.CodeAccountLimit, "the client account asks more than its rate").after(after)
	case routing.AccountShare:
		return notRun(http.StatusTooManyRequests, outcome.CodeAccountLimit, "engines are full and the client account is above its share").after(after)
	case routing.LoadBound:
		return notRun(http.StatusServiceUnavailable, outcome.CodeLoadBound, "every engine is at its load bound").after(after)
	case routing.NoObserver:
		return notRun(http.StatusServiceUnavailable, outcome.CodeLoadBound, "the load of the engines is not known here").after(after)
	}
	return notRun(http.StatusServiceUnavailable, outcome.CodeNoEndpoint, "no live endpoint serves this").after(after)
}

// notSentAgain is the final answer to a request whose attempt failed.
func notSentAgain(err error, refusal *routing.Refusal) *outcome.Problem {
	if refusal.Reason != routing.NoRetry {
		return refused(refusal)
	}
	if errors.Is(err, errEndpointRefused) {
		return notRun(http.StatusServiceUnavailable, outcome.CodeNoEndpoint, "the endpoint takes no work").after(refusal.RetryAfter)
	}
	problem := failure(err)
	if problem.Outcome == outcome.NotRun {
		problem.RetryAfter = refusal.RetryAfter
	}
	return problem
}

// chatKey identifies the conversation across accounts; zero means none.
func chatKey(info placement.PickInfo) uint64 {
	if info.Chat == "" {
		return info.Prefix
	}
	return entry.Mix(xxhash.Sum64String(info.Account), xxhash.Sum64String(info.Chat))
}

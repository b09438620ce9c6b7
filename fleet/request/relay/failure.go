package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"gentianhead/core/request/balance"
	"gentianhead/core/request/outcome"
	"gentianhead/fleet/process/serving"
)

// kind classifies why a request failed.
type kind uint8

const (
	// kindNotReady: no configuration is known yet.
	kindNotReady kind = iota
	// kindStale: the configuration is not confirmed, so secrets are not accepted.
	kindStale
	kindBadRequest
	kindNoRoute
	kindUnauthenticated
	kindBodyTooLarge
	kindBodyMemory
	kindBodyBroken
	// kindBodySlow: the body arrives more slowly than any ordinary caller's.
	kindBodySlow
	// kindNoEndpoint: no endpoint of the service is known.
	kindNoEndpoint
	// kindOverloaded: all endpoints are at capacity.
	kindOverloaded
	// kindRefused: the endpoints refused the request.
	kindRefused
	// kindDeadline: the time limit passed.
	kindDeadline
	// kindFailed: an endpoint failed or sent an invalid response.
	kindFailed
	kindCallerGone
	// kindQuarantined: requests with a part of this one crash the endpoints that answer them.
	kindQuarantined
	// kindAtLimit: all endpoints are at the request rates that they state.
	kindAtLimit
	// kindStopping: the process ends before the request could be answered.
	kindStopping
	// kindEvacuated: the endpoints are in evacuated zones.
	kindEvacuated
	// kindSlowReader: the caller read its response more slowly than the router may hold it.
	kindSlowReader
)

// codes maps each kind to its code in responses, logs and metrics, and to its
// status if the request certainly did not run.
var codes = map[kind]struct {
	code   outcome.Code
	status int
}{
	kindNotReady:        {outcome.CodeNotReady, http.StatusServiceUnavailable},
	kindStale:           {outcome.CodeIsolated, http.StatusServiceUnavailable},
	kindBadRequest:      {outcome.CodeBadRequest, http.StatusBadRequest},
	kindNoRoute:         {outcome.CodeNotFound, http.StatusNotFound},
	kindUnauthenticated: {outcome.CodeUnauthenticated, http.StatusUnauthorized},
	kindBodyTooLarge:    {outcome.CodeBodyTooLarge, http.StatusRequestEntityTooLarge},
	kindBodyMemory:      {outcome.CodeOverloaded, http.StatusServiceUnavailable},
	kindBodyBroken:      {outcome.CodeBadRequest, http.StatusBadRequest},
	kindBodySlow:        {outcome.CodeBadRequest, http.StatusRequestTimeout},
	kindNoEndpoint:      {outcome.CodeNoEndpoint, http.StatusServiceUnavailable},
	kindOverloaded:      {outcome.CodeLoadBound, http.StatusServiceUnavailable},
	kindRefused:         {outcome.CodeOverloaded, http.StatusServiceUnavailable},
	kindDeadline:        {outcome.CodeDeadline, http.StatusServiceUnavailable},
	kindFailed:          {outcome.CodeEndpointFailed, http.StatusServiceUnavailable},
	kindCallerGone:      {outcome.CodeAbandoned, statusCallerGone},
	kindQuarantined:     {outcome.CodeQuarantined, http.StatusServiceUnavailable},
	kindStopping:        {outcome.CodeStopping, http.StatusServiceUnavailable},
	kindAtLimit:         {outcome.CodeEndpointLimit, http.StatusServiceUnavailable},
	kindEvacuated:       {outcome.CodeEvacuated, http.StatusServiceUnavailable},
	kindSlowReader:      {outcome.CodeAbandoned, statusCallerGone},
}

// statusCallerGone is the non-standard status for a connection closed by the client.
const statusCallerGone = 499

// failure describes why a request or an attempt failed.
type failure struct {
	kind   kind
	detail string
	// retryAfter is the delay before a retry; zero if a retry does not help.
	retryAfter time.Duration
	cause      error
	// shed is set for a request refused in the order of refusals.
	shed *balance.Shed
}

func newFailure(kind kind, detail string) *failure {
	return &failure{kind: kind, detail: detail}
}

func (f *failure) withRetryAfter(d time.Duration) *failure {
	f.retryAfter = d
	return f
}

func (f *failure) withCause(err error) *failure {
	f.cause = err
	return f
}

// status returns the status of the error response. Only here does it depend on whether
// the request may have run. 503 guarantees that it did not run and never will.
func (f *failure) status(mayHaveRun bool) int {
	if !mayHaveRun {
		return codes[f.kind].status
	}
	if f.kind == kindDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// problemDetails holds the problem details sent to the caller.
type problemDetails struct {
	Status  int             `json:"status"`
	Code    outcome.Code    `json:"code"`
	Outcome outcome.Outcome `json:"outcome"`
	Detail  string          `json:"detail"`
}

func (c *call) outcome() outcome.Outcome {
	if c.mayHaveRun {
		return outcome.Unknown
	}
	return outcome.NotRun
}

func (r *Relay) writeFailure(c *call, f *failure) {
	status := f.status(c.mayHaveRun)
	encoded, err := json.Marshal(problemDetails{Status: status, Code: codes[f.kind].code, Outcome: c.outcome(), Detail: f.detail})
	if err != nil {
		r.options.Log.Error("Encoding the problem details failed.", "error", err)
	}
	r.announceClose(c)
	if c.sends == 0 {
		// The body may not have been read.
		serving.DiscardBody(c.w, c.r)
	}
	header := c.w.Header()
	r.options.Dialect.SetAttemptID(header, c.metadata.AttemptID)
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(encoded)))
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	if f.kind == kindUnauthenticated {
		header.Set("WWW-Authenticate", "Token")
	}
	c.w.WriteHeader(status)
	_, _ = c.w.Write(encoded)
}

package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"gentianhead/core/request/outcome"
)

// kind is why a request got no answer of an endpoint.
type kind uint8

const (
	// kindNotReady: no configuration or no endpoints are known yet.
	kindNotReady kind = iota
	// kindStale: secrets can't be honored since the configuration is not confirmed.
	kindStale
	kindBadRequest
	kindNoRoute
	kindUnauthenticated
	kindBodyTooLarge
	kindBodyMemory
	kindBodyBroken
	// kindNoEndpoint: no endpoint of the service is known.
	kindNoEndpoint
	// kindOverloaded: all endpoints are full.
	kindOverloaded
	// kindRefused: the endpoints that were asked refused.
	kindRefused
	// kindDeadline: the time limit passed.
	kindDeadline
	// kindFailed: an endpoint broke off or answered wrongly.
	kindFailed
	kindCallerGone
)

// codes names the kinds in answers, logs and metrics, and says which status they
// have while the request certainly did not run.
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
	kindNoEndpoint:      {outcome.CodeNoEndpoint, http.StatusServiceUnavailable},
	kindOverloaded:      {outcome.CodeLoadBound, http.StatusServiceUnavailable},
	kindRefused:         {outcome.CodeOverloaded, http.StatusServiceUnavailable},
	kindDeadline:        {outcome.CodeDeadline, http.StatusServiceUnavailable},
	kindFailed:          {outcome.CodeEndpointFailed, http.StatusServiceUnavailable},
	kindCallerGone:      {outcome.CodeAbandoned, statusCallerGone},
}

// statusCallerGone is customary for a closed connection; no standard has it.
const statusCallerGone = 499

// failure is the end of a request without an answer of an endpoint.
type failure struct {
	kind   kind
	detail string
	// retryAfter is the time after which asking again helps; zero when it does not.
	retryAfter time.Duration
	cause      error
}

func fail(kind kind, detail string) *failure {
	return &failure{kind: kind, detail: detail}
}

func (f *failure) after(d time.Duration) *failure {
	f.retryAfter = d
	return f
}

func (f *failure) because(err error) *failure {
	f.cause = err
	return f
}

// status is the only place that turns what is certain about a request into a
// status. 503 promises that the request did not run and never will.
func (f *failure) status(mayHaveRun bool) int {
	if !mayHaveRun {
		return codes[f.kind].status
	}
	if f.kind == kindDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// body is what a caller reads of a failure.
type body struct {
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
	encoded, err := json.Marshal(body{Status: status, Code: codes[f.kind].code, Outcome: c.outcome(), Detail: f.detail})
	if err != nil {
		r.options.Log.Error("Encoding a failure failed.", "error", err)
	}
	header := c.w.Header()
	r.options.Dialect.Identify(header, c.ask.AttemptID)
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

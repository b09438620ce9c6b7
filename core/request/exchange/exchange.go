// Package exchange holds what a request and its answer say of themselves, in the
// project's own terms. Front doors and endpoints speak different protocols; the
// adapter of each protocol fills in these types, and the request path reads
// nothing else.
package exchange

import "time"

// Ask is what a caller's request says of itself beside its method, path and body.
type Ask struct {
	// AttemptID names this attempt of the caller. A caller that tries again uses
	// another id. Empty when the caller sent none.
	AttemptID string
	// Deadline is how long the caller waits; zero when it did not say.
	Deadline time.Duration
	// Credential is the secret of a client account; empty when there is none.
	Credential string
	// Prompt describes the work for a model engine; nil for plain services.
	Prompt *Prompt
	// LastEventID is the last event of a stream that the caller has; empty when
	// the stream is to begin at its start.
	LastEventID string
}

// Prompt is the work that a request asks of a model engine.
type Prompt struct {
	Model string
	// InputTokens and MaxOutputTokens are the caller's figures.
	InputTokens     int
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate; zero when there is none.
	ExpectedOutputTokens int
	// Parts are the parts of the prompt in order. Requests with the same leading
	// parts can share their cached state on an engine.
	Parts []Part
}

// Part is a stretch of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Send is what the request path tells an endpoint about a request.
type Send struct {
	// Left is the time until the request's deadline.
	Left time.Duration
	// Endpoint is the one that is meant. An endpoint with another id refuses.
	Endpoint string
	// Account is the client account that asks; empty for anonymous requests.
	Account string
	// Priority orders requests on a model engine; 0 comes first.
	Priority int
	// LastEventID resumes a stream after this event; empty starts it.
	LastEventID string
	// CopyFrom is the address of an engine from which the endpoint is to copy the
	// cached state of the prompt; empty for none.
	CopyFrom string
}

// Load is the occupancy that an endpoint told with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Answer is what the head of an endpoint's answer says of itself.
type Answer struct {
	// AttemptID is the request's id as the endpoint echoed it.
	AttemptID string
	// Signature is the endpoint's mark on its answers; answers of anything else
	// carry none.
	Signature string
	// IsNotRun is the endpoint's own word that it did not run the request.
	IsNotRun bool
	// Load is nil when the endpoint did not tell it.
	Load *Load
}

// Package exchange defines protocol-neutral request and response metadata. Callers
// and endpoints use different protocols; the adapter of each protocol fills in
// these types, and the request path reads nothing else.
package exchange

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// RequestInfo is the metadata of a caller's request, besides its method, path and body.
type RequestInfo struct {
	// AttemptID identifies this attempt of the caller; a retry has another id. Empty
	// when the caller sent none.
	AttemptID string
	// Deadline is how long the caller waits; zero when unspecified.
	Deadline time.Duration
	// Credential is the secret of a client account; empty when there is none.
	Credential string
	// Prompt describes the work for a model engine; nil for plain services.
	Prompt *Prompt
	// LastEventID is the last event of a stream that the caller has received; empty
	// to stream from the start.
	LastEventID string
}

// Prompt describes a request's work for a model engine.
type Prompt struct {
	Model string
	// InputTokens and MaxOutputTokens are as the caller stated them.
	InputTokens     int
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate; zero when there is none.
	ExpectedOutputTokens int
	// Parts are the consecutive parts of the prompt. Requests with the same leading
	// parts can share their cached state on an engine.
	Parts []Part
}

// Part is a contiguous segment of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Send is the metadata that the request path sends to an endpoint with a request.
type Send struct {
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Endpoint is the id of the intended endpoint. An endpoint with another id
	// refuses the request.
	Endpoint string
	// Account is the requesting client account; empty for anonymous requests.
	Account string
	// Priority orders requests on a model engine; 0 comes first.
	Priority int
	// LastEventID resumes a stream after this event; empty starts it.
	LastEventID string
	// CopyFrom is the address of an engine from which the endpoint should copy the
	// cached state of the prompt; empty for none.
	CopyFrom string
}

// Load is the occupancy that an endpoint reported with a response. A figure that it did not
// state is zero.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work currently takes there, in percent of the usual time.
	Slowness int
}

// ResponseInfo is the metadata in the head of an endpoint's response.
type ResponseInfo struct {
	// AttemptID is the request's id as the endpoint echoed it.
	AttemptID string
	// Signature marks responses of the endpoint itself; it is empty in all others.
	Signature string
	// IsNotRun reports that the endpoint stated that it did not run the request.
	IsNotRun bool
	// Load is nil when the endpoint did not report it.
	Load *Load
	// UnreadableLoad is the stated load if a part of it has no meaning.
	UnreadableLoad string
	// IsLeaving reports that the endpoint stated that it is about to stop.
	IsLeaving bool
	// StayAwaySeconds is how long the endpoint wants no requests from this router, as it
	// stated it; zero if it didn't. The number may be absurd.
	StayAwaySeconds float64
	// StatedRates are the requests per second that the endpoint takes from all routers
	// together, as it stated them; nil if it didn't. A value that is no number is NaN, and
	// the numbers may be absurd.
	StatedRates []float64
	// Cold is how long the endpoint is still cold, zero if it is not, as it stated it;
	// IsColdStated is false if it didn't. The time may be absurd.
	Cold         time.Duration
	IsColdStated bool
}

// ParseRates reads the values of a header field, each a list of decimal numbers. A value that is no
// number becomes NaN.
func ParseRates(values []string) []float64 {
	var rates []float64
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			if err != nil && !errors.Is(err, strconv.ErrRange) {
				rate = math.NaN()
			}
			rates = append(rates, rate)
		}
	}
	return rates
}

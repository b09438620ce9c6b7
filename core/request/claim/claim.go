// Package claim decides, for a request that may run at most once, whether it
// may be sent, and what may be said about it afterwards.
//
// The core has no I/O and no clock. The events and decisions below are shared
// by the router, the tests and the Promela specification in model/.
package claim

import "gentianhead/core/request/outcome"

// ID identifies an at-most-once request: the client account and its Idempotency-Key.
type ID struct {
	Account string
	Key     string
}

// State is what the claim row in the table service says.
type State string

const (
	// StateClaimed means that the holder may send, or has sent, the request.
	StateClaimed State = "claimed"
	// StateCompleted means that the answer is recorded.
	StateCompleted State = "completed"
	// StateNotRun means that the holder gave up before it sent a byte.
	StateNotRun State = "not-run"
	// StateUnknown means that the request was sent and its answer is lost for good.
	StateUnknown State = "unknown"
)

// Row is the claim row of one request.
type Row struct {
	State State `json:"state"`
	// Attempt identifies the write that made the claim, so that a lost answer
	// of the write can be resolved by reading back.
	Attempt string `json:"attempt"`
	// Holder is the instance and incarnation that may send.
	Holder string `json:"holder"`
	// BodySHA256 tells a repeated request from a different one under the same key.
	BodySHA256 string `json:"bodySha256"`
	// Endpoint is the endpoint the request was claimed for.
	Endpoint string `json:"endpoint,omitempty"`
	// Fencing is the fencing number that the request carries to the endpoint.
	Fencing uint64  `json:"fencing,omitempty"`
	Answer  *Answer `json:"answer,omitempty"`
}

// Answer is a recorded answer of an endpoint.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Verdict is what the caller is told.
type Verdict struct {
	Outcome outcome.Outcome
	Answer  *Answer
	Problem *outcome.Problem
}

// Package claim decides, for a request that may run at most once, whether it
// may be sent, and what may be said about it afterwards.
//
// An Attempt is one ask of a caller at one router. It has no I/O and no clock:
// Step takes what happened, Ready returns what to do next. At most one write of
// an Attempt is under way at any time, and every write is a compare-and-set on
// the version of the claim row.
package claim

import (
	"time"

	"gentianhead/core/request/outcome"
)

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
	// StateFencing means that the fencing number was raised to find out whether
	// the request ran. Nobody sends the request any more.
	StateFencing State = "fencing"
	// StateCompleted means that the answer is recorded. It is final.
	StateCompleted State = "completed"
	// StateNotRun means that the request did not run and never will. It is final.
	StateNotRun State = "not-run"
	// StateUnknown means that the request may have run and its answer is lost.
	// Only the sender or an operator still changes it.
	StateUnknown State = "unknown"
)

// Row is the claim row of one request.
type Row struct {
	State State `json:"state"`
	// Attempt identifies the attempt that wrote the row, so that a lost answer
	// of the write can be resolved by reading back.
	Attempt string `json:"attempt"`
	// Holder is the instance and incarnation of the router that wrote the row.
	Holder string `json:"holder"`
	// BodySHA256 tells a repeated request from a different one under the same key.
	BodySHA256 string `json:"bodySha256"`
	// Endpoint is the name of the endpoint that the request was claimed for.
	Endpoint string `json:"endpoint,omitempty"`
	// EndpointURL is the base address of the endpoint.
	EndpointURL string `json:"endpointUrl,omitempty"`
	// IsFenced says that the endpoint checks fencing numbers.
	IsFenced bool `json:"isFenced,omitempty"`
	// Fencing is the highest fencing number given out for the request.
	Fencing uint64 `json:"fencing,omitempty"`
	// CreatedMs is when the claim was made, in Unix milliseconds.
	CreatedMs int64 `json:"createdMs"`
	// Answer is set in StateCompleted.
	Answer *Answer `json:"answer,omitempty"`
	// Key is the caller's Idempotency-Key, for operators to read.
	Key string `json:"key,omitempty"`
	// SettledBy names the operator that settled the claim, if one did.
	SettledBy string `json:"settledBy,omitempty"`
}

// Answer is a recorded answer of an endpoint.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Object names the object that holds the body when it is too large for a row.
	Object string `json:"object,omitempty"`
}

// Verdict is what the caller is told.
type Verdict struct {
	Outcome outcome.Outcome
	Answer  *Answer
	Problem *outcome.Problem
	// IsFinal says that the verdict holds for the key and not only for this
	// ask: a final not-run means that no ask with the key ran or ever will.
	IsFinal bool
}

// Request is what a router knows of an ask before it claims.
type Request struct {
	// Attempt is unique to this ask.
	Attempt string
	// Key is the caller's Idempotency-Key.
	Key string
	// Holder is the router's instance and incarnation.
	Holder     string
	BodySHA256 string
	// IsRepeat says that the caller has asked with this key before, or may have.
	IsRepeat bool
	// Endpoint is where the request is sent; empty when no endpoint is live, so
	// that only an earlier ask can be answered.
	Endpoint    string
	EndpointURL string
	IsFenced    bool
}

// Durations of an attempt.
const (
	// SendWithin is how long after asking for the claim a router still sends.
	// No proof rests on it: see docs/design/claims.md.
	SendWithin = 5 * time.Second
	// RetryInProgress is when a caller should ask again about a request that runs.
	RetryInProgress = time.Second
	// RetryStoreDown is when a caller should ask again while the store is down.
	RetryStoreDown = 5 * time.Second
	// MinWriteWait is the first wait between two tries to write after the caller
	// was answered; each further wait is twice as long.
	MinWriteWait = time.Second
	// MaxWriteWait is the longest wait between two tries to write.
	MaxWriteWait = 32 * time.Second
	// WriteFor bounds the tries to write after the caller was answered.
	WriteFor = 10 * time.Minute
	// HolderLife is the age of a claim after which its holder is taken for dead.
	HolderLife = 30 * time.Minute
)

// Limits of an attempt before its caller is answered.
const (
	// maxTries is how often one write is tried.
	maxTries = 4
	// maxRounds is how often an attempt starts over because another one wrote the row.
	maxRounds = 4
)

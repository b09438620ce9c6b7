// Package claim decides whether a request that may run at most once may be sent,
// and which outcome its caller gets.
//
// An Attempt is one call with an Idempotency-Key at one router, as a state machine
// without I/O or clock: Step takes an event, Ready returns the actions to perform.
// An Attempt has at most one write in flight, and every write is a compare-and-set
// on the version of the claim row.
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

// State is the state of a request in its claim row in the table service.
type State string

const (
	// StateClaimed means that the holder may send the request or has sent it.
	StateClaimed State = "claimed"
	// StateFencing means that the fencing number was raised to find out whether
	// the request ran. The request is not sent after that.
	StateFencing State = "fencing"
	// StateCompleted means that the answer is recorded. It is final.
	StateCompleted State = "completed"
	// StateNotRun means that the request did not run and never will. It is final.
	StateNotRun State = "not-run"
	// StateUnknown means that the request may have run and its answer is lost.
	// Only the sender or an operator changes it.
	StateUnknown State = "unknown"
)

// Row is the claim row of one request.
type Row struct {
	State State `json:"state"`
	// Attempt identifies the attempt that wrote the row. If the store's response
	// to the write is lost, reading the row tells whether it took effect.
	Attempt string `json:"attempt"`
	// Holder is the instance and incarnation of the router that wrote the row.
	Holder string `json:"holder"`
	// BodySHA256 distinguishes a repeated request from another one with the same key.
	BodySHA256 string `json:"bodySha256"`
	// Endpoint is the name of the endpoint that the request was claimed for.
	Endpoint string `json:"endpoint,omitempty"`
	// EndpointURL is the base address of the endpoint.
	EndpointURL string `json:"endpointUrl,omitempty"`
	// IsFenced says that the endpoint checks fencing numbers.
	IsFenced bool `json:"isFenced,omitempty"`
	// Fencing is the highest fencing number issued for the request.
	Fencing uint64 `json:"fencing,omitempty"`
	// CreatedMs is the time of the claim in Unix milliseconds.
	CreatedMs int64 `json:"createdMs"`
	// Answer is set in StateCompleted.
	Answer *Answer `json:"answer,omitempty"`
	// Key is the caller's Idempotency-Key, recorded for operators.
	Key string `json:"key,omitempty"`
	// SettledBy names the operator that settled the claim, if one did.
	SettledBy string `json:"settledBy,omitempty"`
}

// Answer is a recorded response of an endpoint.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Object is the name of the object with the body if it is too large for a row.
	Object string `json:"object,omitempty"`
}

// Result is the reply to the caller.
type Result struct {
	Outcome outcome.Outcome
	Answer  *Answer
	Problem *outcome.Problem
	// IsFinal says that the outcome holds for the key and not only for this call:
	// a final not-run means that no call with the key ran or ever will.
	IsFinal bool
}

// Request describes a call before it is claimed.
type Request struct {
	// Attempt is unique to this call.
	Attempt string
	// Key is the caller's Idempotency-Key.
	Key string
	// Holder is the router's instance and incarnation.
	Holder     string
	BodySHA256 string
	// IsRepeat says that an earlier call may have used this key.
	IsRepeat bool
	// Endpoint is the endpoint to send to. It is empty if none is live; then only
	// the outcome of an earlier call can be returned.
	Endpoint    string
	EndpointURL string
	IsFenced    bool
}

// Timeouts and retry intervals of an attempt.
const (
	// MaxSendDelay is the longest time from the start of an attempt to the send.
	// Correctness does not depend on it: see docs/design/claims.md.
	MaxSendDelay = 5 * time.Second
	// RetryInProgress is the retry delay given to callers of a request in progress.
	RetryInProgress = time.Second
	// RetryStoreDown is the retry delay given to callers while the store is down.
	RetryStoreDown = 5 * time.Second
	// MinWriteBackoff is the first backoff between tries of a write after the caller
	// got its reply; it doubles with each try.
	MinWriteBackoff = time.Second
	// MaxWriteBackoff is the maximum backoff between tries of a write.
	MaxWriteBackoff = 32 * time.Second
	// WriteTimeout bounds the tries of a write after the caller got its reply.
	WriteTimeout = 10 * time.Minute
	// HolderTimeout is the age of a claim from which its holder is treated as dead.
	HolderTimeout = 30 * time.Minute
)

// Limits of an attempt until its caller gets a reply.
const (
	// maxTries is the maximum number of tries of one write.
	maxTries = 4
	// maxConflicts limits the rows of other attempts that an attempt handles.
	maxConflicts = 4
)

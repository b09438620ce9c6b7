// Package outcome defines the outcomes of requests. Every response to a caller
// carries exactly one Outcome, and every refusal is a Problem value.
package outcome

import "time"

// Outcome states what is known for certain about the execution of a request.
type Outcome string

const (
	// Completed means that the endpoint ran the request and the whole response is known.
	Completed Outcome = "completed"
	// NotRun means that no endpoint has run the request or still can.
	NotRun Outcome = "not-run"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Code is the stable machine-readable identifier of a problem.
type Code string

// The codes that callers may see. docs/operators/problems.md explains each.
const (
	CodeBadRequest        Code = "bad-request"
	CodeBodyTooLarge      Code = "body-too-large"
	CodeUnauthenticated   Code = "unauthenticated"
	CodeUnknownModel      Code = "unknown-model"
	CodeUnknownService    Code = "unknown-service"
	CodeKeyMissing        Code = "idempotency-key-missing"
	CodeKeyReused         Code = "idempotency-key-reused"
	CodeAnswerGone        Code = "answer-gone"
	CodeKeyExpired        Code = "idempotency-key-expired"
	CodeInProgress        Code = "in-progress"
	CodeAccountLimit      Code = "account-limit"
	CodeLoadBound         Code = "load-bound"
	CodeNoEndpoint        Code = "no-endpoint"
	CodeNotReady          Code = "not-ready"
	CodeIsolated          Code = "isolated"
	CodeStoreDown         Code = "store-down"
	CodeEndpointFailed    Code = "endpoint-failed"
	CodeAnswerTruncated   Code = "answer-truncated"
	CodeAnswerMismatched  Code = "answer-mismatched"
	CodeDeadline          Code = "deadline-exceeded"
	CodeAbandoned         Code = "abandoned"
	CodeStopping          Code = "stopping"
	CodeNotFound          Code = "not-found"
	CodeOverloaded        Code = "overloaded"
	CodeInternal          Code = "internal"
	CodeMethodNotAllowed  Code = "method-not-allowed"
	CodeAccountNotAllowed Code = "account-not-allowed"
	CodeQuarantined       Code = "quarantined"
	CodeEndpointLimit     Code = "endpoint-limit"
	CodeEvacuated         Code = "evacuated"
)

// Problem is a refusal or a failure, modeled on the problem details of RFC 9457.
type Problem struct {
	// Status is the HTTP status.
	Status int
	Code   Code
	// Outcome is Completed only with CodeAnswerGone.
	Outcome Outcome
	Detail  string
	// RetryAfter is the delay after which a retry may succeed; zero if none will.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (p *Problem) Error() string {
	return string(p.Code) + ": " + p.Detail
}

package claims

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/claim"
	"gentianhead/core/request/outcome"
	"gentianhead/fleet/connection/engine"
)

// HeaderAccount carries the client account. An Idempotency-Key is unique within
// its account.
const HeaderAccount = "X-Client-Account"

// FencePath is the path of the fence call on endpoints that check fencing
// numbers: a POST with the account, the Idempotency-Key and a fencing number.
// The endpoint answers 200 with a FenceAnswer if from now on, even after a restart,
// it refuses lower numbers for the key until it deletes the key. It answers 412 if
// it has already accepted a higher number.
const FencePath = "/v1/fence"

// FenceAnswer is the answer to a fence call.
type FenceAnswer struct {
	// Accepted is the highest fencing number under which the endpoint has accepted
	// a request with the key; 0 when there was none.
	Accepted uint64 `json:"accepted"`
}

const fenceTimeout = 5 * time.Second

func (r *run) header(fencing uint64) http.Header {
	header := http.Header{}
	header.Set(engine.HeaderIdempotencyKey, r.request.ID.Key)
	header.Set(HeaderAccount, r.request.ID.Account)
	header.Set(engine.HeaderFencing, strconv.FormatUint(fencing, 10))
	return header
}

// send sends the request to its endpoint once and reads the complete answer.
func (r *run) send(s claim.Send) claim.Event {
	ctx, span := r.startSpan("endpoint " + r.request.Endpoint)
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, r.manager.options.SendTimeout)
	defer cancel()
	header := r.header(s.Fencing)
	if r.request.ContentType != "" {
		header.Set("Content-Type", r.request.ContentType)
	}
	response, err := r.manager.options.Engine.Do(ctx, engine.Request{
		Method: r.request.Method,
		URL:    r.request.EndpointURL + r.request.Target,
		Header: header,
		Body:   r.request.Body,
		ID:     r.request.RequestID,
	})
	// Release the body, since recording the outcome may take a long time.
	r.request.Body = nil
	if err != nil {
		span.RecordError(err)
		if !errors.IsAny(err, engine.ErrNotSent, engine.ErrWithdrawn) {
			r.manager.options.Log.Warn("An endpoint gave no answer.", "request", r.request.RequestID, "endpoint", r.request.Endpoint, "error", err)
		}
		return sendErrorEvent(err)
	}
	body, err := engine.ReadBody(response)
	if err != nil {
		span.RecordError(err)
		return sendErrorEvent(err)
	}
	if response.StatusCode == http.StatusPreconditionFailed && r.request.IsFenced {
		// The endpoint refused the fencing number and did not run the request.
		return claim.NotSent{}
	}
	return claim.Answered{Answer: claim.Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}}
}

// sendErrorEvent maps an error of the engine client to an event.
func sendErrorEvent(err error) claim.Event {
	switch {
	case errors.IsAny(err, engine.ErrNotSent, engine.ErrWithdrawn):
		return claim.NotSent{}
	case errors.Is(err, engine.ErrMismatched):
		return claim.SendLost{Code: outcome.CodeAnswerMismatched}
	case errors.Is(err, engine.ErrTruncated):
		return claim.SendLost{Code: outcome.CodeAnswerTruncated}
	}
	return claim.SendLost{Code: outcome.CodeEndpointFailed}
}

// fence makes the endpoint of an earlier attempt refuse that attempt's fencing
// number.
func (r *run) fence(f claim.Fence) claim.Event {
	ctx, span := r.startSpan("endpoint fence")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	response, err := r.manager.options.Engine.Do(ctx, engine.Request{
		Method:  http.MethodPost,
		URL:     f.EndpointURL + FencePath,
		Header:  r.header(f.Fencing),
		ID:      r.request.RequestID,
		Ungated: true,
	})
	if err != nil {
		span.RecordError(err)
		return claim.FenceFailed{}
	}
	body, err := engine.ReadBody(response)
	var answer struct{ Accepted *uint64 } // nil if the field is missing
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(body, &answer) != nil || answer.Accepted == nil {
		return claim.FenceFailed{}
	}
	return claim.Fenced{Accepted: *answer.Accepted}
}

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

// HeaderAccount tells an endpoint the client account, within which an
// Idempotency-Key is unique.
const HeaderAccount = "X-Client-Account"

// FencePath is where an endpoint that checks fencing numbers takes a fence
// order: a POST with the account, the Idempotency-Key and a fencing number. The
// endpoint answers 200 with a FenceAnswer once it refuses every lower number
// for the key, for as long as the key is kept, also after a restart; or 412
// when it has accepted a higher number already.
const FencePath = "/v1/fence"

// FenceAnswer is the answer to a fence order.
type FenceAnswer struct {
	// Accepted is the highest number under which the endpoint took on a request
	// with the key before; 0 when there was none.
	Accepted uint64 `json:"accepted"`
}

// fenceTimeout bounds a fence order.
const fenceTimeout = 5 * time.Second

func (r *run) header(fencing uint64) http.Header {
	header := http.Header{}
	header.Set(engine.HeaderKey, r.ask.ID.Key)
	header.Set(HeaderAccount, r.ask.ID.Account)
	header.Set(engine.HeaderFencing, strconv.FormatUint(fencing, 10))
	return header
}

// send sends the request to its endpoint, once, and reads the whole answer.
func (r *run) send(s claim.Send) claim.Event {
	ctx, span := r.startSpan("endpoint " + r.ask.Endpoint)
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, r.manager.options.SendTimeout)
	defer cancel()
	header := r.header(s.Fencing)
	if r.ask.ContentType != "" {
		header.Set("Content-Type", r.ask.ContentType)
	}
	response, err := r.manager.options.Engine.Do(ctx, engine.Request{
		Method: r.ask.Method,
		URL:    r.ask.EndpointURL + r.ask.Target,
		Header: header,
		Body:   r.ask.Body,
		ID:     r.ask.RequestID,
	})
	// The body is not needed again, while the record may take long.
	r.ask.Body = nil
	if err != nil {
		span.RecordError(err)
		return failed(err)
	}
	body, err := engine.ReadWhole(response)
	if err != nil {
		span.RecordError(err)
		return failed(err)
	}
	if response.StatusCode == http.StatusPreconditionFailed && r.ask.IsFenced {
		return claim.NotSent{}
	}
	return claim.Answered{Answer: claim.Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}}
}

// failed says what is certain after an error of the engine client.
func failed(err error) claim.Event {
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

// fence orders the endpoint of an earlier ask to refuse its fencing number.
func (r *run) fence(f claim.Fence) claim.Event {
	ctx, span := r.startSpan("endpoint fence")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	response, err := r.manager.options.Engine.Do(ctx, engine.Request{
		Method:  http.MethodPost,
		URL:     f.EndpointURL + FencePath,
		Header:  r.header(f.Fencing),
		ID:      r.ask.RequestID,
		Ungated: true,
	})
	if err != nil {
		span.RecordError(err)
		return claim.FenceFailed{}
	}
	body, err := engine.ReadWhole(response)
	var answer struct{ Accepted *uint64 }
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(body, &answer) != nil || answer.Accepted == nil {
		return claim.FenceFailed{}
	}
	return claim.Fenced{Accepted: *answer.Accepted}
}

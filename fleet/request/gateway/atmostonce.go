package gateway

import (
	"context"
	"net/http"

	"gentianhead/core/request/claim"
	"gentianhead/core/request/outcome"
	"gentianhead/core/request/placement"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/engine"
	"gentianhead/fleet/request/claims"
)

// HeaderRepeat is set to true by a caller that has used its Idempotency-Key
// before. A refusal then has the outcome unknown: the earlier request may have run.
const HeaderRepeat = "Idempotency-Repeat"

const maxKeyBytes = 255

// atMostOnce serves a call that may run at most once.
func (g *Gateway) atMostOnce(ctx context.Context, x *exchange, info placement.PickInfo, call endpointCall) *outcome.Problem {
	key := x.r.Header.Get(engine.HeaderIdempotencyKey)
	if key == "" {
		return notRun(http.StatusBadRequest, outcome.CodeKeyMissing, "this call requires an Idempotency-Key").Problem
	}
	if len(key) > maxKeyBytes {
		return notRun(http.StatusBadRequest, outcome.CodeBadRequest, "the Idempotency-Key is longer than 255 bytes").Problem
	}
	request := claims.ServiceRequest{
		ID:          claim.ID{Account: x.account, Key: key},
		RequestID:   x.id,
		Service:     info.Service,
		Method:      call.method,
		Target:      call.path,
		ContentType: x.r.Header.Get("Content-Type"),
		Body:        x.body,
		IsRepeat:    x.r.Header.Get(HeaderRepeat) == "true",
	}
	choice := g.rates.choose(x.state.Config, x.state.Picker.Names(info.Service))
	info.Excluded = choice.excluded
	if picked, err := x.state.Picker.Pick(info); err == nil {
		request.Endpoint, request.EndpointURL = picked.Endpoint, picked.URL
		request.IsFenced = isFenced(x.state.Config, picked.Endpoint)
	}
	result := g.options.Claims.Do(ctx, request)
	x.isClaimKnown = true
	if result.Problem != nil && result.Problem.Code == outcome.CodeNoEndpoint && choice.problem != nil {
		return choice.problem
	}
	if result.Problem != nil {
		return result.Problem
	}
	x.isSent = true
	return x.answerRecorded(result.Answer)
}

func isFenced(config *resource.Snapshot, endpoint string) bool {
	object, known := config.Get(resource.KindEndpoint, endpoint)
	return known && object.Endpoint.Fencing == resource.FencingChecked
}

// answerRecorded writes the recorded answer of a completed request.
func (x *exchange) answerRecorded(answer *claim.Answer) *outcome.Problem {
	if answer == nil {
		return &outcome.Problem{
			Status: http.StatusGone, Code: outcome.CodeAnswerGone, Outcome: outcome.Completed,
			Detail: "the request completed; its answer is not stored",
		}
	}
	header := http.Header{}
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	x.answer(answer.Status, header, answer.Body)
	return nil
}

// withRepeatOutcome returns problem. If a repeated request was refused before
// its claim was checked, the outcome is changed to unknown, because the earlier
// request may have run.
func (x *exchange) withRepeatOutcome(problem *outcome.Problem) *outcome.Problem {
	isRepeat := x.r.Header.Get(HeaderRepeat) == "true" && x.r.Header.Get(engine.HeaderIdempotencyKey) != ""
	if problem == nil || problem.Outcome != outcome.NotRun || !isRepeat || x.isClaimKnown {
		return problem
	}
	changed := *problem
	changed.Outcome = outcome.Unknown
	return &changed
}

package gateway

import (
	"context"
	"encoding/json"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"gentianhead/core/request/outcome"
	"gentianhead/core/request/placement"
	"gentianhead/core/request/retry"
	"gentianhead/core/request/routing"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/engine"
)

const (
	retryAfterNoEndpoint = 2 * time.Second
	// maxRefusalBytes is the largest refusal of an endpoint that is read.
	maxRefusalBytes = 4 << 10
	problemType     = "application/problem+json"
)

// endpointCall describes a call to an endpoint; its body is that of the exchange.
type endpointCall struct {
	method string
	path   string
	// isResumable reports whether an interrupted answer can be resumed.
	isResumable bool
}

// forwardFunc forwards an endpoint's answer to the caller. It returns a problem
// only if nothing has been written to the caller.
type forwardFunc func(*http.Response) *outcome.Problem

// dispatch selects an endpoint for the exchange, sends the request there and
// forwards the answer. A request that certainly did not run is retried on
// another endpoint while the retry budgets allow.
func (g *Gateway) dispatch(ctx context.Context, x *exchange, info placement.PickInfo, call endpointCall, forward forwardFunc) *outcome.Problem {
	x.parts = append(x.parts, wholePart(x.account, info, call, x.body))
	problem, admission := g.crashes.admit(x.parts)
	if problem != nil {
		return problem
	}
	defer func() {
		if admission.IsTest && !x.isSent {
			g.crashes.untested(x.parts)
		}
		if admission.IsRun {
			g.crashes.endRun(x.parts)
		}
	}()
	if info.Service != "" {
		return g.dispatchService(ctx, x, info, call, forward)
	}
	return g.dispatchModel(ctx, x, info, call, forward)
}

// dispatchModel reserves a slot on an engine before each attempt.
func (g *Gateway) dispatchModel(ctx context.Context, x *exchange, info placement.PickInfo, call endpointCall, forward forwardFunc) *outcome.Problem {
	router := g.options.Control.Routing()
	config := g.options.Control.State().Config
	choice := g.rates.choose(config, config.EndpointsOfModel(info.Model))
	if choice.problem != nil {
		return choice.problem
	}
	request := routing.PlacementRequest{
		Model:    info.Model,
		Account:  info.Account,
		Chat:     chatKey(info),
		Prefix:   info.Prefix,
		Excluded: choice.excluded,
	}
	placed, ok := router.Place(ctx, request)
	for {
		if !ok {
			return notRun(http.StatusGatewayTimeout, outcome.CodeDeadline, "the deadline passed before the request was sent").Problem
		}
		if placed.Refusal != nil {
			if placed.Refusal.Reason == routing.NoEngine && len(request.Excluded) > 0 {
				return atLimitProblem(placed.Refusal.RetryAfter)
			}
			return refusalProblem(placed.Refusal)
		}
		response, url, err := g.sendPlaced(ctx, x, placed.Engine, call)
		if err == nil {
			defer router.Done(placed.Ticket)
			problem := forward(response)
			g.recordEnd(x, placed.Engine, url, nil, problem)
			return problem
		}
		if errors.Is(err, engine.ErrAtLimit) {
			// Another request took the token. The engine hasn't failed, so it isn't reported.
			router.Done(placed.Ticket)
			request.Excluded = append(slices.Clone(request.Excluded), placed.Engine)
			placed, ok = router.Place(ctx, request)
			continue
		}
		if !isNotRun(err) {
			router.Done(placed.Ticket)
			g.recordEnd(x, placed.Engine, url, err, nil)
			return problemFromError(err)
		}
		placed, ok = router.Failed(ctx, placed.Ticket, true)
		if ok && placed.Refusal != nil {
			return noRetryProblem(err, placed.Refusal)
		}
	}
}

// sendPlaced sends to the named engine, using the latest configuration in force, and
// returns its URL.
func (g *Gateway) sendPlaced(ctx context.Context, x *exchange, name string, call endpointCall) (*http.Response, string, error) {
	object, known := g.options.Control.State().Config.Get(resource.KindEndpoint, name)
	if !known || object.Endpoint.Withdrawn {
		return nil, "", engine.ErrWithdrawn
	}
	url := object.Endpoint.URL
	response, err := g.send(ctx, x, placement.PickResult{Endpoint: name, URL: url}, call)
	return response, url, err
}

// dispatchService sends to an endpoint of a plain service. Services have no load bound.
func (g *Gateway) dispatchService(ctx context.Context, x *exchange, info placement.PickInfo, call endpointCall, forward forwardFunc) *outcome.Problem {
	router := g.options.Control.Routing()
	if refusal := router.Admit(info.Account); refusal != nil {
		return refusalProblem(refusal)
	}
	// tokenless are the endpoints whose last token another request took.
	var tokenless []string
	for attempts := 1; ; attempts++ {
		state := g.options.Control.State()
		choice := g.rates.choose(state.Config, state.Picker.Names(info.Service))
		if choice.problem != nil {
			return choice.problem
		}
		available := info
		available.Excluded = slices.Concat(info.Excluded, choice.excluded, tokenless)
		picked, err := state.Picker.Pick(available)
		if err != nil && len(choice.excluded)+len(tokenless) > 0 {
			return atLimitProblem(retryAfterNoEndpoint)
		}
		if err != nil {
			return notRun(http.StatusServiceUnavailable, outcome.CodeNoEndpoint, "no live endpoint serves this").retryAfter(retryAfterNoEndpoint)
		}
		response, err := g.send(ctx, x, picked, call)
		if err == nil {
			problem := forward(response)
			g.recordEnd(x, picked.Endpoint, picked.URL, nil, problem)
			return problem
		}
		if errors.Is(err, engine.ErrAtLimit) {
			tokenless = append(tokenless, picked.Endpoint)
			attempts--
			continue
		}
		if !isNotRun(err) {
			g.recordEnd(x, picked.Endpoint, picked.URL, err, nil)
		}
		refusal := router.Retry(retry.Failure{
			Account:   info.Account,
			Attempts:  attempts,
			IsNotRun:  isNotRun(err),
			Remaining: remaining(ctx),
		})
		if refusal != nil {
			return noRetryProblem(err, refusal)
		}
		info.Excluded = append(info.Excluded, picked.Endpoint)
	}
}

// isNotRun reports whether the request certainly did not run and will not run.
func isNotRun(err error) bool {
	return errors.IsAny(err, engine.ErrNotSent, engine.ErrWithdrawn, errEndpointRefused)
}

func remaining(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// send sends the exchange's body to the selected endpoint, with the account's
// priority. The engine client propagates the remaining time.
func (g *Gateway) send(ctx context.Context, x *exchange, picked placement.PickResult, call endpointCall) (*http.Response, error) {
	ctx, span := g.tracer.Start(ctx, "endpoint "+picked.Endpoint, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", picked.Endpoint), attribute.String("request.id", x.id)))
	defer span.End()
	header := http.Header{}
	header.Set("Content-Type", x.r.Header.Get("Content-Type"))
	if account, known := x.state.Config.Get(resource.KindAccount, x.account); known {
		header.Set(engine.HeaderPriority, strconv.Itoa(account.Account.Priority))
	}
	response, err := g.options.Engine.Do(ctx, engine.Request{
		Method: call.method,
		URL:    picked.URL + call.path,
		Header: header,
		Body:   x.body,
		ID:     x.id,

		Resumable: call.isResumable,
	})
	x.isSent = x.isSent || !errors.Is(err, engine.ErrNotSent)
	if err == nil {
		err = refusedByEndpoint(response)
	}
	if err != nil {
		span.RecordError(err)
		return nil, err
	}
	return response, nil
}

var errEndpointRefused = errors.New("gateway: endpoint refused the request as not run")

// refusedByEndpoint returns errEndpointRefused for a 503 whose problem details
// are complete and have the outcome not-run, and engine.ErrNoAnswer for other problem
// details with status 503, since that request may have run. It returns nil for all other answers,
// which are forwarded, including a 503 without problem details.
func refusedByEndpoint(response *http.Response) error {
	if response.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	if contentType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type")); contentType != problemType {
		return nil
	}
	var problem problemBody
	body, err := engine.ReadBodyWithin(response, maxRefusalBytes)
	if err == nil && json.Unmarshal(body, &problem) == nil && problem.Outcome == outcome.NotRun {
		return errEndpointRefused
	}
	return errors.Mark(errors.CombineErrors(errors.New("gateway: endpoint unavailable"), err), engine.ErrNoAnswer)
}

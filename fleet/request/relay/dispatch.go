package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/balance"
	"gentianhead/core/request/breaker"
	"gentianhead/core/request/exchange"
	"gentianhead/core/request/fairness"
	"gentianhead/core/request/retry"
	"gentianhead/core/request/shedding"
	"gentianhead/core/version/routetable"
	"gentianhead/fleet/connection/transport"
	"gentianhead/fleet/connection/upstream"
	"gentianhead/fleet/process/boottime"
)

const (
	// retryOverloaded is the retry delay when all endpoints are at capacity.
	retryOverloaded = 500 * time.Millisecond
	// retryNoEndpoint is the retry delay when the service has no endpoint.
	retryNoEndpoint = time.Second
	// maxUnreachable limits the unreachable endpoints that a request tries;
	// maxLateUnreachable applies once its target latency has passed. Most refuse a
	// connection within a millisecond; one that doesn't respond takes about a second,
	// the dial timeout.
	maxUnreachable     = 6
	maxLateUnreachable = 3
	// plainTimeoutFactor and streamTimeoutFactor set the time without a response header
	// after which an attempt that may be retried is late, as a multiple of the target
	// latency. A stream's first event takes longer under load.
	plainTimeoutFactor  = 0.6
	streamTimeoutFactor = 2.0
	// overdueFactor is the multiple of the target latency after which an endpoint
	// without a response is reported as failed.
	overdueFactor = 3
	// minOverdueTarget is the minimum target latency for overdue reports.
	minOverdueTarget = 100 * time.Millisecond
	// repeatWindowSeconds is the time for which repeats of a refused request are refused alike:
	// longer than callers repeat at once, and than the clocks of routers differ.
	repeatWindowSeconds = 2
	// maxBufferedBytes is the largest response that is buffered before it is forwarded.
	maxBufferedBytes = 256 << 10
	// minBufferedBytes is the memory with which a response of unknown length begins, and
	// largeBufferedBytes the most that is taken for a stated length before bytes arrive.
	minBufferedBytes   = 1 << 10
	largeBufferedBytes = 64 << 10
)

// dispatch sends the request to an endpoint and forwards the response. It retries
// requests that did not run or are safe to run twice, within the route's attempts
// and the retry budget; unreachable endpoints count toward neither.
func (r *Relay) dispatch(ctx context.Context, c *call) *failure {
	c.parts, c.endsAt = c.quarantineParts(), boottime.Now()+remaining(ctx)
	defer func() {
		r.releaseReserved(c)
		if c.isTest && c.sends == 0 {
			r.options.Balancer.untested(c.parts)
		}
		if c.isRun {
			r.options.Balancer.endRun(c.parts)
		}
	}()
	unreachable := 0
	for {
		if !c.isTest {
			if failure := r.admit(ctx, c); failure != nil {
				return failure
			}
		}
		if failure := r.checkStop(c, remaining(ctx)); failure != nil {
			return failure
		}
		c.homes = c.currentHomes(r.options.State())
		placement, refusal := r.place(c)
		if refusal != balance.Accepted {
			return refusalFailure(refusal, placement.Shed)
		}
		if failure := c.reauthorize(r.options.State()); failure != nil {
			r.options.Balancer.recordResult(&placement, breaker.Neutral)
			return failure
		}
		c.excluded = append(c.excluded, placement.Endpoint.ID)
		startedAt := boottime.Now()
		c.progress = progress{}
		result := r.attempt(ctx, c, &placement)
		c.recordAttempt(&placement, startedAt, result)
		if !result.isRecorded {
			r.options.Balancer.recordResult(&placement, result.breakerOutcome)
		}
		if result.failure == nil {
			return nil
		}
		c.mayHaveRun = c.mayHaveRun || result.mayHaveRun
		if result.isUnsent {
			unreachable++
		}
		if !r.shouldRetry(ctx, c, result, unreachable) {
			return result.failure
		}
	}
}

// place returns the place reserved for the request, or else another one.
func (r *Relay) place(c *call) (balance.Placement, balance.Refusal) {
	if reserved := c.reserved; reserved != nil {
		c.reserved = nil
		return reserved.placement, balance.Accepted
	}
	return r.options.Balancer.place(c.placementRequest())
}

func (c *call) placementRequest() balance.PlacementRequest {
	return balance.PlacementRequest{
		Service: c.service, Prompt: c.metadata.Prompt, Target: c.route.TargetLatency, Excluded: c.excluded, Regions: c.homes,
		Flow: fairness.Flow{Account: c.accountName(), Rank: c.priority()}, Repeat: uint64(c.parts[len(c.parts)-1].Key),
		Left: max(1, c.endsAt-boottime.Now()), Window: uint64(time.Now().Unix()) / repeatWindowSeconds,
	}
}

func refusalFailure(refusal balance.Refusal, shed *balance.Shed) *failure {
	if shed != nil {
		f := newFailure(kindOverloaded, shedDetails[shed.Reason]).withRetryAfter(shed.RetryDelay)
		f.shed = shed
		return f
	}
	switch refusal {
	case balance.OutsideRegions:
		homesRefused.Add(1)
		return newFailure(kindNoEndpoint, "no endpoint of the service is in a region to which the request may be sent").withRetryAfter(retryNoEndpoint)
	case balance.NoEndpoint:
		return newFailure(kindNoEndpoint, "no endpoint of the service is known").withRetryAfter(retryNoEndpoint)
	case balance.Evacuated:
		return newFailure(kindEvacuated, "the endpoints of the service are in evacuated zones").withRetryAfter(retryNoEndpoint)
	case balance.Away:
		return newFailure(kindOverloaded, "all endpoints of the service are leaving or take no requests for now").withRetryAfter(retryOverloaded)
	}
	if refusal == balance.AtLimit {
		return newFailure(kindAtLimit, "all endpoints of the service are at the request rates that they state, or that they take while they are cold").withRetryAfter(retryOverloaded)
	}
	return newFailure(kindOverloaded, "all endpoints of the service are at capacity").withRetryAfter(retryOverloaded)
}

// shedDetails describes the reasons for which requests are refused while capacity is short.
var shedDetails = map[shedding.Reason]string{
	shedding.ByCapacity: "the endpoints of the service have too little capacity",
	shedding.ByRank:     "the endpoints of the service have too little capacity for its rank",
	shedding.ByAccount:  "the endpoints of the service have too little capacity for what its account sends",
	shedding.ByWork:     "the endpoints of the service have too little capacity for a request of its size",
	shedding.ByTarget:   "the endpoints of the service have too little capacity, and it would be late",
	shedding.ByRepeat:   "it was refused and came back before its retry delay had passed",
	shedding.ByDeadline: "no endpoint of the service can answer before its deadline",
}

// result describes how one attempt at an endpoint ended.
type result struct {
	// failure is nil when a response was forwarded.
	failure *failure
	// isUnsent is set when no byte was sent.
	isUnsent bool
	// mayHaveRun is set when the endpoint may have run the request.
	mayHaveRun bool
	// isFinal is set when another endpoint would not help.
	isFinal bool
	// isBroken is set when the endpoint broke the connection off, as it does when it crashes.
	isBroken bool
	// isSilent is set when the endpoint gave no answer in time.
	isSilent       bool
	breakerOutcome breaker.Outcome
	// isRecorded is set if the balancer knows the outcome.
	isRecorded bool
}

// shouldRetry reports whether the request should be sent to another endpoint.
func (r *Relay) shouldRetry(ctx context.Context, c *call, result result, unreachable int) bool {
	switch {
	case result.isFinal || ctx.Err() != nil || remaining(ctx) < retry.MinTimeLeft:
		return false
	case result.isUnsent:
		isSlow := boottime.Now()-c.startedAt > c.route.TargetLatency
		return unreachable < maxLateUnreachable || unreachable < maxUnreachable && !isSlow
	case result.mayHaveRun && !c.route.IsRetryable():
		return false
	case c.sends >= c.route.MaxAttempts:
		return false
	case result.isBroken && !r.options.Balancer.mayRepeat(c.parts):
		return false
	case c.reserved != nil:
		// The retry budget was charged for it.
		return true
	}
	return r.options.Balancer.allowRetry(c.service)
}

func remaining(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// attempt sends the request to one endpoint and forwards its response.
func (r *Relay) attempt(ctx context.Context, c *call, placement *balance.Placement) result {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	startedAt := boottime.Now()
	watch := r.watchAttempt(ctx, c, placement, cancel)
	response, err := r.send(attemptCtx, c, placement)
	c.reserved = watch.stop()
	if err == nil {
		c.progress.headAt = boottime.Now()
	}
	result := r.handleResponse(ctx, c, placement, response, err)
	if errors.Is(context.Cause(attemptCtx), errAttemptTimeout) {
		result.isBroken, result.isSilent = false, c.progress.headAt == 0
	}
	r.recordSurvival(c, placement, result)
	isShort := boottime.Now()-startedAt < c.route.TargetLatency
	if result.failure != nil && result.failure.kind == kindDeadline && isShort {
		// The deadline was near when the endpoint got the request.
		result.breakerOutcome = breaker.Neutral
	}
	return result
}

// isRetryable reports whether the request may be retried after this attempt.
func (r *Relay) isRetryable(c *call) bool {
	return c.route.IsRetryable() && c.sends+1 < c.route.MaxAttempts
}

func (r *Relay) send(ctx context.Context, c *call, placement *balance.Placement) (*upstream.Response, error) {
	send := exchange.Send{
		Remaining: remaining(ctx), Endpoint: placement.Endpoint.ID, Account: c.accountName(), Priority: c.priority(),
		LastEventID: c.position.lastID, CopyFrom: placement.CopyFrom,
	}
	if c.sends == 0 {
		r.options.Balancer.recordFirstSend(c.service)
	}
	response, err := r.options.Upstream.Send(ctx, upstream.Request{
		Method:  c.r.Method,
		Address: placement.Endpoint.Address,
		Target:  c.target,
		Host:    c.r.Host,
		Header:  r.options.Dialect.ForwardHeader(c.r.Header, send),
		Body:    c.body,
		// Without an id, a response on a reused connection can't be told from another's.
		IsSingleUse: !c.route.IsRetryable() || c.metadata.AttemptID == "",
		MayWrite: func() bool {
			return r.options.Balancer.mayReceive(placement, c.currentHomes(r.options.State())) && !r.isQuarantined(c)
		},
	})
	if !errors.Is(err, transport.ErrNotSent) {
		c.sends++
	}
	return response, err
}

// handleResponse checks the response header and forwards the response.
func (r *Relay) handleResponse(ctx context.Context, c *call, placement *balance.Placement, response *upstream.Response, err error) result {
	if err != nil {
		return r.sendErrorResult(ctx, c, placement, err)
	}
	info := r.options.Dialect.ResponseInfo(response.StatusCode, response.Header)
	r.options.Balancer.recordLoad(placement.Endpoint.ID, info)
	r.options.Balancer.recordNotice(placement, info)
	isOwn := isOwnResponse(c, response, info)
	if isOwn && (info.Signature != "" || info.IsNotRun) && response.StatusCode != http.StatusMisdirectedRequest {
		r.options.Balancer.recordRate(placement, info)
		r.options.Balancer.recordCold(placement, info)
	}
	switch {
	case !isOwn:
		response.Abort()
		return result{failure: newFailure(kindFailed, "the endpoint answered another request"), mayHaveRun: true, breakerOutcome: breaker.Neutral}
	case info.IsNotRun:
		discardBody(response.Response)
		if response.StatusCode == http.StatusServiceUnavailable && !info.IsLeaving && info.StayAwaySeconds == 0 {
			r.options.Balancer.recordRejection(placement, info.Load)
		}
		return notRunResult(response.StatusCode)
	case info.Signature == "":
		_ = response.Body.Close()
		return result{failure: newFailure(kindFailed, "the response carries no endpoint signature"), mayHaveRun: true, breakerOutcome: breaker.Failed}
	}
	defer response.Body.Close()
	if c.isCommitted && !isEventStream(response.Response) {
		return result{failure: newFailure(kindFailed, "the endpoint answered "+strconv.Itoa(response.StatusCode)+" instead of the rest of the stream"), mayHaveRun: true, breakerOutcome: breaker.Failed}
	}
	if c.route.Kind == routetable.Stream && isSuccess(response.StatusCode) {
		return r.forwardStream(ctx, c, placement, response.Response)
	}
	return r.forwardBuffered(ctx, c, response.Response)
}

// isOwnResponse reports whether a response belongs to the request. One without an id, such as
// a refusal, may be an earlier one that the endpoint wrote once more, unless the connection
// carried no other request.
func isOwnResponse(c *call, response *upstream.Response, info exchange.ResponseInfo) bool {
	switch {
	case response.StatusCode < http.StatusOK:
		// Another protocol would follow.
		return false
	case info.AttemptID == "":
		return !response.IsReused && (info.IsNotRun || c.metadata.AttemptID == "")
	}
	return info.AttemptID == c.metadata.AttemptID
}

// sendErrorResult returns the result of an attempt without a response.
func (r *Relay) sendErrorResult(ctx context.Context, c *call, placement *balance.Placement, err error) result {
	isUnsent := errors.Is(err, transport.ErrNotSent)
	switch {
	case isStopped(ctx):
		return result{failure: stoppedFailure(), isUnsent: isUnsent, mayHaveRun: !isUnsent, isFinal: true, breakerOutcome: breaker.Neutral}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result{failure: newFailure(kindDeadline, "the time limit passed without a response"), isUnsent: isUnsent, mayHaveRun: !isUnsent, isFinal: true, isSilent: !isUnsent, breakerOutcome: breaker.Failed}
	case ctx.Err() != nil:
		return result{failure: newFailure(kindCallerGone, "the caller closed the connection"), isUnsent: isUnsent, mayHaveRun: !isUnsent, isFinal: true, breakerOutcome: breaker.Neutral}
	case isUnsent && r.options.Balancer.isWithheld(placement):
		return result{failure: newFailure(kindRefused, "the endpoint asked for no requests, or fewer, or its zone was evacuated before this one was sent").withRetryAfter(retryOverloaded), isUnsent: true, breakerOutcome: breaker.Neutral}
	case isUnsent && r.isQuarantined(c):
		// The next admission refuses it.
		return result{failure: newFailure(kindQuarantined, "a part of the request was put in quarantine before it was sent"), isUnsent: true, breakerOutcome: breaker.Neutral}
	case isUnsent:
		return result{failure: newFailure(kindFailed, "the endpoint can't be reached").withCause(err).withRetryAfter(retryOverloaded), isUnsent: true, breakerOutcome: breaker.Unreachable}
	}
	detail := "the endpoint sent no response"
	if errors.Is(err, transport.ErrBroken) {
		detail = "the endpoint sent a broken response"
	}
	return result{failure: newFailure(kindFailed, detail).withCause(err), mayHaveRun: true, isBroken: true, breakerOutcome: breaker.Failed}
}

// notRunResult returns the result for a response stating that the request did not run.
func notRunResult(status int) result {
	switch status {
	case http.StatusMisdirectedRequest:
		return result{failure: newFailure(kindRefused, "another endpoint uses the address").withRetryAfter(retryOverloaded), breakerOutcome: breaker.Unreachable}
	case http.StatusBadRequest:
		return result{failure: newFailure(kindBadRequest, "the endpoint rejected the request as malformed"), isFinal: true, breakerOutcome: breaker.Neutral}
	}
	return result{failure: newFailure(kindRefused, "the endpoint refused the request").withRetryAfter(retryOverloaded), breakerOutcome: breaker.Neutral}
}

// maxDiscardBytes limits how much of an unused response body is read to keep its
// connection reusable.
const maxDiscardBytes = 16 << 10

// discardTimeout limits the time for that. The request waits to be sent elsewhere.
const discardTimeout = 50 * time.Millisecond

func discardBody(response *http.Response) {
	timer := time.AfterFunc(discardTimeout, func() { _ = response.Body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, response.Body, maxDiscardBytes)
	_ = response.Body.Close()
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

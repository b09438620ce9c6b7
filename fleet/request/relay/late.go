package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/balance"
	"gentianhead/core/request/breaker"
	"gentianhead/core/request/retry"
	"gentianhead/core/version/routetable"
	"gentianhead/fleet/process/boottime"
)

// errAttemptTimeout cancels an attempt that was given up for another endpoint.
var errAttemptTimeout = errors.New("no response within the attempt timeout")

// reservation is a place at an endpoint for a request whose attempt was given up. The retry
// budget was charged for it at chargedAt.
type reservation struct {
	placement balance.Placement
	chargedAt time.Duration
}

// attemptWatch watches one attempt until its response header arrives. It gives a late
// attempt up once it has reserved another place, and reports an overdue endpoint.
type attemptWatch struct {
	relay     *Relay
	ctx       context.Context
	call      *call
	placement *balance.Placement
	cancel    context.CancelCauseFunc

	mu       sync.Mutex
	late     *retry.LateAttempt
	timer    *time.Timer
	reserved *reservation
}

// watchAttempt starts to watch an attempt. The call is read until stop, so it may not be
// changed in that time, except for sends.
func (r *Relay) watchAttempt(ctx context.Context, c *call, placement *balance.Placement, cancel context.CancelCauseFunc) *attemptWatch {
	now := boottime.Now()
	limits := retry.LateLimits{
		StartedAt: now, EndsAt: now + remaining(ctx),
		Overdue: overdueFactor * max(c.route.TargetLatency, minOverdueTarget),
	}
	if r.isRetryable(c) {
		limits.Timeout = c.attemptTimeout()
		if c.route.Kind != routetable.Stream {
			// The service time of a stream is that of all its events.
			limits.Usual = r.options.Balancer.serviceTime(c.service)
		}
	}
	w := &attemptWatch{relay: r, ctx: ctx, call: c, placement: placement, cancel: cancel, late: retry.NewLateAttempt(limits)}
	w.mu.Lock()
	defer w.mu.Unlock()
	at, _ := w.late.Next(now)
	w.timer = time.AfterFunc(at-now, w.step)
	return w
}

func (w *attemptWatch) step() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := boottime.Now()
	actions := w.late.Step(now)
	if actions.IsOverdue {
		w.relay.options.Balancer.reportOverdue(w.placement)
	}
	if actions.ShouldAsk {
		if w.reserved = w.relay.reserve(w.ctx, w.call); w.reserved != nil {
			w.late.End()
			w.cancel(errAttemptTimeout)
		}
	}
	if at, isDue := w.late.Next(now); isDue {
		w.timer.Reset(max(0, at-now))
	}
}

// stop ends the watch and returns the reserved place if the attempt was given up.
func (w *attemptWatch) stop() *reservation {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late.End()
	w.timer.Stop()
	return w.reserved
}

// attemptTimeout returns the time after which an attempt that may be retried is late.
func (c *call) attemptTimeout() time.Duration {
	if c.route.Kind == routetable.Stream {
		return time.Duration(streamTimeoutFactor * float64(c.route.TargetLatency))
	}
	return time.Duration(plainTimeoutFactor * float64(c.route.TargetLatency))
}

// reserve returns a place for a request whose attempt is late, or nil if it should stay where
// it is.
func (r *Relay) reserve(ctx context.Context, c *call) *reservation {
	if !r.mayMove(ctx, c) {
		return nil
	}
	return r.options.Balancer.reserve(c.placementRequest())
}

// mayMove reports whether a request that an endpoint may still answer may also be sent to
// another: not if its next admission would refuse it or make it wait, nor if there it can't
// end before the process does.
func (r *Relay) mayMove(ctx context.Context, c *call) bool {
	switch {
	case r.checkStop(c, remaining(ctx)) != nil:
		return false
	case c.isRun:
		return r.options.Balancer.mayRun(c.parts)
	case c.isTest:
		return true
	}
	return !r.options.Balancer.isQuarantined(c.parts) && !r.options.Balancer.isSuspect(c.parts)
}

// releaseReserved releases the reserved place of a request that has ended without using it.
func (r *Relay) releaseReserved(c *call) {
	if c.reserved != nil {
		r.options.Balancer.releaseReserved(c.reserved)
		c.reserved = nil
	}
}

// reserve returns a place for a request whose attempt is late, or nil. It charges the retry
// budget if there is a place.
func (b *Balancer) reserve(request balance.PlacementRequest) *reservation {
	request.IsMove = true
	b.mu.Lock()
	reserved := &reservation{chargedAt: boottime.Now()}
	isAllowed := b.budget(request.Service).AllowRetryIf(reserved.chargedAt, b.routers, func() bool {
		placement, refusal := b.core.Place(reserved.chargedAt, request)
		reserved.placement = placement
		return refusal == balance.Accepted
	})
	suspects := b.core.TakeSuspicionChanges()
	b.mu.Unlock()
	b.logSuspects(suspects)
	if !isAllowed {
		return nil
	}
	return reserved
}

// serviceTime returns the measured time of a request at an endpoint of a service, without
// queueing; zero if none was measured.
func (b *Balancer) serviceTime(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ServiceTime(service)
}

// releaseReserved releases a place that was not used and returns its charge to the budget.
func (b *Balancer) releaseReserved(reserved *reservation) {
	b.recordResult(&reserved.placement, breaker.Neutral)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(reserved.placement.Endpoint.Service).ReturnRetry(reserved.chargedAt)
}

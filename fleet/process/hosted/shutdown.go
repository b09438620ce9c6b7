package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/drain"
	"gentianhead/core/process/table"
	"gentianhead/fleet/process/boottime"
	"gentianhead/fleet/request/relay"
)

const (
	// addressUseFactor is how long callers may use resolved addresses, in TTLs.
	addressUseFactor = 3
	// maxExitMargin is the part of the grace period reserved for the process to exit, and
	// maxAnswerMargin the part before it for error responses to requests still in flight.
	// Both are shorter where the grace period is.
	maxExitMargin   = 200 * time.Millisecond
	maxAnswerMargin = 200 * time.Millisecond
	// exitMarginDivisor and answerMarginDivisor are the least ratios of the grace period to
	// these margins.
	exitMarginDivisor   = 20
	answerMarginDivisor = 20
	// minIdleTime is how long a connection must be idle before it is closed.
	minIdleTime = 200 * time.Millisecond
	// deregisterTimeout limits the removal of this router's address from the store.
	deregisterTimeout = time.Second
	// stopPollInterval is the interval at which a stop checks the time and the settings.
	stopPollInterval = 50 * time.Millisecond
)

// ErrCutOff means that requests were still in flight at the end of the grace period.
var ErrCutOff = errors.New("requests were cut off")

// shutdown stops the router so that no request is cut off within the grace period:
//
//  1. It becomes not ready, and the other routers stop returning its address. From then
//     on it refuses requests that can't end before the process does.
//  2. It keeps serving for as long as callers may use its address, and closes
//     each connection after its next response.
//  3. It accepts no new connections, closes idle ones, and waits for the requests in flight.
//  4. Requests that are left get an error response.
func (r *Router) shutdown(abort context.Context) error {
	startedAt := boottime.Now()
	r.isStopping.Store(true)
	plan := r.stopPlan(startedAt)
	r.relay.Drain(plan)
	clock := &stopClock{router: r, startedAt: startedAt, plan: plan}
	r.log.Info("Leaving.", "servingFor", plan.AddressesExpireAt-startedAt, "answersWithin", plan.AnswerBy-startedAt, "connections", r.callers.Conns())
	r.control.announceShutdown()
	go r.deregister()
	expired, cancelExpired := clock.until(abort, func(p drain.Plan) time.Duration { return p.AddressesExpireAt })
	defer cancelExpired()
	<-expired.Done()
	r.callers.StopAccepting()
	r.callers.CloseIdle()
	r.log.Info("Waiting for requests in flight.", "connections", r.callers.Conns())
	cutOff := r.awaitRequests(abort, clock)
	_ = r.callers.Close()
	_ = r.directory.Close()
	_ = r.readiness.Close()
	_ = r.copies.Close()
	r.beacons.Close()
	r.upstream.Close()
	r.log.Info("Stopped.", "cutOff", cutOff)
	if cutOff > 0 {
		return errors.Wrapf(ErrCutOff, "%d in flight", cutOff)
	}
	return nil
}

// awaitRequests waits for the requests in flight. It ends those that are left before the
// process exits, and returns their number.
func (r *Router) awaitRequests(abort context.Context, clock *stopClock) int {
	answered, cancelAnswered := clock.until(abort, func(p drain.Plan) time.Duration { return p.AnswerBy })
	defer cancelAnswered()
	if r.callers.AwaitIdle(answered) {
		return 0
	}
	conns := r.callers.Conns()
	r.log.Warn("The grace period ended before all requests.", "connections", conns)
	r.callers.Cancel(relay.ErrStopping)
	exit, cancelExit := clock.until(abort, func(p drain.Plan) time.Duration { return p.ExitAt })
	defer cancelExit()
	r.callers.AwaitIdle(exit)
	return conns.Busy
}

// stopClock tells the times of a stop. A reload may shorten the grace period meanwhile.
type stopClock struct {
	router    *Router
	startedAt time.Duration

	mu   sync.Mutex
	plan drain.Plan
}

// stopPlan returns the plan of a stop under the current settings.
func (r *Router) stopPlan(startedAt time.Duration) drain.Plan {
	grace := r.control.settings.Load().Grace
	exitAt := startedAt + grace - min(maxExitMargin, grace/exitMarginDivisor)
	answerBy := exitAt - min(maxAnswerMargin, grace/answerMarginDivisor)
	return drain.Plan{
		AddressesExpireAt: min(startedAt+addressUseFactor*r.addressTTL(), answerBy),
		AnswerBy:          answerBy,
		ExitAt:            exitAt,
	}
}

// current returns the plan, and applies it if the grace period has become shorter.
func (s *stopClock) current() drain.Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.plan.WithExitAt(s.router.stopPlan(s.startedAt).ExitAt)
	if changed != s.plan {
		s.plan = changed
		s.router.relay.Drain(changed)
	}
	return changed
}

// until returns a context that ends at a time of the plan. The time includes suspension of
// the machine, unlike the deadline of a context.
func (s *stopClock) until(parent context.Context, at func(drain.Plan) time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		defer cancel()
		for ctx.Err() == nil {
			left := at(s.current()) - boottime.Now()
			if left <= 0 {
				return
			}
			sleep(ctx, min(left, stopPollInterval))
		}
	}()
	return ctx, cancel
}

func (r *Router) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := r.putAddress(ctx, table.Put{Key: r.settings.Instance, Delete: true}); err != nil {
		r.log.Warn("Removing this router's address failed.", "error", err)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/drain"
	"gentianhead/core/request/outcome"
	"gentianhead/fleet/process/boottime"
)

// retryAfterStopping is the retry delay for a request that a stopping router refuses.
// Callers can use the other addresses of their entry answer at once.
const retryAfterStopping = time.Second

// ErrStopping is the cancellation cause of requests that are still in flight
// when the process stops.
var ErrStopping = errors.New("gateway: the router is stopping")

// drainGuard refuses requests that would be cut off by the end of the process. It is safe
// for concurrent use.
type drainGuard struct {
	// plan is nil until the router stops.
	plan atomic.Pointer[drain.Plan]

	mu        sync.Mutex
	durations *drain.Durations
	// requests is the number of requests in flight, and ended is closed once there are none,
	// if it is awaited.
	requests int
	ended    chan struct{}
}

func newDrainGuard() *drainGuard {
	return &drainGuard{durations: drain.NewDurations()}
}

// Leave makes the gateway report that it is not ready, close each connection after the
// next answer, and refuse requests that can't end in time.
func (g *Gateway) Leave(plan drain.Plan) {
	g.drain.plan.Store(&plan)
}

func (g *drainGuard) isLeaving() bool { return g.plan.Load() != nil }

// admitBody returns a problem if a request that ends within limit can't be served, whatever
// it asks for. The body needn't be read then.
func (g *drainGuard) admitBody(limit time.Duration) *outcome.Problem {
	if plan := g.plan.Load(); plan != nil && !plan.Admits(boottime.Now(), limit, 0, true) {
		return stoppingProblem()
	}
	return nil
}

// admit returns a problem if a request can't end in time. It is called before anything is
// sent, reserved or claimed. key groups requests that take similar times.
func (g *drainGuard) admit(ctx context.Context, x *exchange, key string) *outcome.Problem {
	limit := remaining(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if plan := g.plan.Load(); plan != nil && !plan.Admits(now, limit, g.expected(plan, key, now), true) {
		return stoppingProblem()
	}
	x.inFlight = g.durations.Begin(key, now)
	return nil
}

// expected returns how long a request is likely to take at most. One of which nothing is
// known is taken to end within the grace time, which operators set for that.
func (g *drainGuard) expected(plan *drain.Plan, key string, now time.Duration) time.Duration {
	if expected, isKnown := g.durations.Expected(key, now); isKnown {
		return expected
	}
	return plan.AnswerBy - plan.AddressesExpireAt
}

func (g *drainGuard) end(x *exchange) {
	if x.inFlight == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.durations.End(x.inFlight, boottime.Now(), x.isSent)
}

// track counts the requests that next serves.
func (g *drainGuard) track(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.add(1)
		defer g.add(-1)
		next(w, r)
	}
}

func (g *drainGuard) add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests += n
	if g.requests == 0 && g.ended != nil {
		close(g.ended)
		g.ended = nil
	}
}

// AwaitRequests waits until no request is in flight or ctx ends, and returns the number of
// those that are left. A handler may still run after its connection was closed.
func (g *Gateway) AwaitRequests(ctx context.Context) int {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	if g.drain.requests == 0 {
		return 0
	}
	ended := make(chan struct{})
	g.drain.ended = ended
	g.drain.mu.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	g.drain.mu.Lock()
	return g.drain.requests
}

func stoppingProblem() *outcome.Problem {
	return notRun(http.StatusServiceUnavailable, outcome.CodeStopping, "the router is stopping").retryAfter(retryAfterStopping)
}

// withStopCause returns problem, or a stopping problem with the same outcome if the router
// caused it by cancelling the request at the end of the stop.
func withStopCause(ctx context.Context, problem *outcome.Problem) *outcome.Problem {
	switch {
	case problem == nil || !errors.Is(context.Cause(ctx), ErrStopping):
		return problem
	case problem.Outcome == outcome.Unknown:
		return unknown(http.StatusServiceUnavailable, outcome.CodeStopping, "the router stopped before the answer was complete")
	case problem.Outcome == outcome.NotRun && problem.Status >= http.StatusInternalServerError:
		return stoppingProblem()
	}
	return problem
}

package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/drain"
	"gentianhead/fleet/process/boottime"
)

const (
	// retryStopping is the retry delay of a router that stops. Other routers can serve the
	// request immediately.
	retryStopping = 50 * time.Millisecond
	// lastWriteTimeout is the time limit for writing to a caller after ErrStopping.
	lastWriteTimeout = 200 * time.Millisecond
)

// ErrStopping is the cancellation cause of requests that are still in flight when the
// process is about to exit.
var ErrStopping = errors.New("relay: the router is stopping")

// stop is the state of a stop, with the times that requests take.
type stop struct {
	plan atomic.Pointer[drain.Plan]
	// since is when the stop began.
	since atomic.Int64

	mu        sync.Mutex
	durations *drain.Durations
}

// Drain begins a stop, or changes the plan of the current one: the relay closes each
// connection after its next response and refuses requests that can't end in time.
func (r *Relay) Drain(plan drain.Plan) {
	r.stop.since.CompareAndSwap(0, int64(boottime.Now()))
	r.stop.plan.Store(&plan)
}

func (s *stop) isActive() bool { return s.plan.Load() != nil }

// begin records the start of a call, whose route is known.
func (s *stop) begin(c *call) *drain.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durations.Begin(c.route.Name, c.startedAt)
}

func (s *stop) end(c *call, request *drain.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durations.End(request, boottime.Now(), c.sends > 0)
}

func (s *stop) expected(route string, now time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durations.Expected(route, now)
}

// checkStop refuses a request with a time limit that can't end before the process does. One that
// may have run is sent on: its caller can't be told that it didn't.
func (r *Relay) checkStop(c *call, limit time.Duration) *failure {
	plan := r.stop.plan.Load()
	if plan == nil || c.mayHaveRun || c.isCommitted {
		return nil
	}
	now := boottime.Now()
	expected, isKnown := r.stop.expected(c.route.Name, now)
	if plan.Admits(now, limit, expected, isKnown) {
		return nil
	}
	return newFailure(kindStopping, "this router stops before the request could be answered").withRetryAfter(retryStopping)
}

// isStopped reports whether ctx ended because the process is about to exit.
func isStopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// stoppedFailure is the failure of a request that was in flight until the process was about to exit.
func stoppedFailure() *failure {
	return newFailure(kindStopping, "this router stopped before the response was complete").withRetryAfter(retryStopping)
}

// unblockAtStop ends reads and writes of the caller's connection once the process is about to
// exit. The returned function must be called before the handler returns.
func unblockAtStop(c *call) func() bool {
	return context.AfterFunc(c.r.Context(), func() {
		if !isStopped(c.r.Context()) {
			return
		}
		controller := http.NewResponseController(c.w)
		_ = controller.SetReadDeadline(time.Now())
		_ = controller.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	})
}

// announceClose tells the caller that the connection closes after the response, if a stop has
// begun.
func (r *Relay) announceClose(c *call) {
	if r.stop.isActive() {
		c.w.Header().Set("Connection", "close")
	}
}

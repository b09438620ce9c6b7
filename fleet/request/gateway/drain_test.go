package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/drain"
	"gentianhead/core/request/outcome"
	"gentianhead/fleet/process/boottime"
)

// stopIn returns a plan whose addresses expire and whose requests end after these times.
func stopIn(addressesExpire, answer time.Duration) drain.Plan {
	now := boottime.Now()
	return drain.Plan{AddressesExpireAt: now + addressesExpire, AnswerBy: now + answer, ExitAt: now + answer + time.Second}
}

// Guards against requests that are sent although the router's end will cut them off, and
// against refusing those of callers who may still use its address.
func TestDrainAdmission(t *testing.T) {
	const limit = time.Hour
	for _, c := range []struct {
		name string
		plan *drain.Plan
		// took is how long earlier requests took; zero means that there were none.
		took, limit time.Duration
		isRefused   bool
	}{
		{name: "not stopping", took: time.Minute, limit: limit},
		{name: "nothing known", plan: new(stopIn(time.Minute, 2*time.Minute)), limit: limit},
		{name: "short requests", plan: new(stopIn(time.Minute, 2*time.Minute)), took: time.Second, limit: limit},
		{name: "requests that outlast the stop", plan: new(stopIn(time.Minute, 2*time.Minute)), took: 3 * time.Minute, limit: limit, isRefused: true},
		{name: "addresses expired", plan: new(stopIn(-time.Second, time.Minute)), took: time.Second, limit: limit, isRefused: true},
		{name: "addresses expired, short limit", plan: new(stopIn(-time.Second, time.Minute)), limit: time.Second},
		{name: "at the end", plan: new(stopIn(-time.Minute, -time.Second)), limit: time.Millisecond, isRefused: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := testGateway()
			now := boottime.Now()
			for range 10 {
				if c.took > 0 {
					g.drain.durations.End(g.drain.durations.Begin("key", now-c.took), now, true)
				}
			}
			if c.plan != nil {
				g.Leave(*c.plan)
			}
			ctx, cancel := context.WithTimeout(t.Context(), c.limit)
			defer cancel()
			x := &exchange{}
			problem := g.drain.admit(ctx, x, "key")
			assert.Equal(t, problem != nil, c.isRefused)
			if problem == nil {
				g.drain.end(x)
				return
			}
			assert.Equal(t, problem.Code, outcome.CodeStopping)
			assert.Equal(t, problem.Outcome, outcome.NotRun)
			assert.Equal(t, problem.Status, http.StatusServiceUnavailable)
			assert.Assert(t, problem.RetryAfter > 0)
		})
	}
}

// Guards against reading a body only to refuse the request, and against refusing requests
// whose kind isn't known before the body was read.
func TestDrainAdmissionBeforeBody(t *testing.T) {
	g := testGateway()
	assert.Assert(t, g.drain.admitBody(time.Hour) == nil)
	g.Leave(stopIn(time.Minute, 2*time.Minute))
	assert.Assert(t, g.drain.admitBody(time.Hour) == nil)
	g.Leave(stopIn(-time.Second, time.Minute))
	assert.Assert(t, g.drain.admitBody(time.Hour) != nil)
	assert.Assert(t, g.drain.admitBody(time.Second) == nil)
}

// Guards against a connection that stays open because its answer was begun before the stop.
func TestAnswerStartedAfterLeaveClosesConnection(t *testing.T) {
	for name, respond := range map[string]func(http.ResponseWriter){
		"head":  func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) },
		"body":  func(w http.ResponseWriter) { _, _ = io.WriteString(w, "answer") },
		"empty": func(http.ResponseWriter) {},
	} {
		g := testGateway()
		handler := g.withRecovery(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			g.Leave(stopIn(time.Minute, 2*time.Minute))
			respond(w)
		}))
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
		assert.Equal(t, recorder.Result().Header.Get("Connection"), "close", name)
	}
}

// Guards against a stop that reports a request as possibly run which was never sent, and as
// a fault of an endpoint.
func TestStopCauseKeepsOutcome(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	notSent := notRun(http.StatusBadGateway, outcome.CodeEndpointFailed, "").Problem
	invalid := notRun(http.StatusBadRequest, outcome.CodeBadRequest, "").Problem
	lost := unknown(http.StatusBadGateway, outcome.CodeEndpointFailed, "")
	assert.Equal(t, withStopCause(ctx, notSent), notSent)
	cancel(ErrStopping)
	assert.Equal(t, withStopCause(ctx, notSent).Code, outcome.CodeStopping)
	assert.Equal(t, withStopCause(ctx, notSent).Outcome, outcome.NotRun)
	assert.Equal(t, withStopCause(ctx, lost).Code, outcome.CodeStopping)
	assert.Equal(t, withStopCause(ctx, lost).Outcome, outcome.Unknown)
	assert.Equal(t, withStopCause(ctx, invalid), invalid)
	assert.Assert(t, withStopCause(ctx, nil) == nil)
}

// Guards against an end of the stop that waits for a body, and answers nothing.
func TestBodyReadEndsWithStop(t *testing.T) {
	g := testGateway()
	g.options.Limits.BodyBytes = 1 << 20
	g.bodies = newBodyMemory(4 << 20)
	begun := make(chan context.CancelCauseFunc, 1)
	problems := make(chan *outcome.Problem, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		begun <- cancel
		problems <- g.readBody(ctx, &exchange{w: w, r: r})
	}))
	defer server.Close()
	caller, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	_, err = fmt.Fprint(caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")
	assert.NilError(t, err)
	cancel := <-begun
	cancel(ErrStopping)
	problem := <-problems
	assert.Assert(t, problem != nil)
	assert.Equal(t, problem.Code, outcome.CodeStopping)
	assert.Equal(t, problem.Outcome, outcome.NotRun)
	_, err = http.ReadResponse(bufio.NewReader(caller), nil)
	assert.NilError(t, err)
}

// Guards against an end of the process while a handler is still about to log its request.
func TestAwaitRequests(t *testing.T) {
	g := testGateway()
	assert.Equal(t, g.AwaitRequests(t.Context()), 0)
	g.drain.add(2)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, g.AwaitRequests(ended), 2)
	left := make(chan int, 1)
	go func() { left <- g.AwaitRequests(t.Context()) }()
	g.drain.add(-1)
	g.drain.add(-1)
	assert.Equal(t, <-left, 0)
}

package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/presence"
	"gentianhead/core/request/quarantine"
	"gentianhead/core/request/retry"
	"gentianhead/core/version/routetable"
	"gentianhead/platform/platformtest"
)

// Path prefixes of the routes of newLateFixture. Endpoints are late after 60 ms, with a stream
// after 80 ms, and with pathLateLong after 240 ms.
const (
	pathLate       = "/late/"
	pathLateOnce   = "/late-once/"
	pathLateTwice  = "/late-twice/"
	pathLateLong   = "/late-long/"
	pathLateFill   = "/late-fill/"
	pathLateStream = "/late-stream/"
)

// lateness is how long endpoints take that are late, but not overdue.
const lateness = 200 * time.Millisecond

// newLateFixture returns a fixture with routes of short target latencies, the endpoints of
// which are late.
func newLateFixture(t *testing.T, count int) *fixture {
	t.Helper()
	f := newFixture(t, count)
	route := func(prefix string, kind routetable.Kind, attempts int, target time.Duration) routetable.Route {
		return routetable.Route{
			Name: prefix, Host: "a.example", Prefix: prefix, Kind: kind, Targets: []routetable.Target{{Service: "pool", Weight: 1}},
			Timeout: routeTimeout, TargetLatency: target, MaxAttempts: attempts, IsAnonymous: true, IsResumable: kind == routetable.Stream,
		}
	}
	table, err := routetable.New(routetable.Spec{
		Version: 1,
		Routes: []routetable.Route{
			route(pathLate, routetable.Idempotent, 3, 100*time.Millisecond), route(pathLateOnce, routetable.AtMostOnce, 3, 100*time.Millisecond),
			route(pathLateTwice, routetable.Idempotent, 2, 100*time.Millisecond), route(pathLateStream, routetable.Stream, 3, 40*time.Millisecond),
			route(pathLateLong, routetable.Idempotent, 3, 400*time.Millisecond), route(pathLateFill, routetable.AtMostOnce, 3, 2*time.Second),
		},
		Services: []routetable.Service{{Name: "pool"}},
	})
	assert.NilError(t, err)
	f.state.Table = table
	f.balancer.SetTable(table)
	for _, endpoint := range f.endpoints {
		endpoint.Pause, endpoint.HeadPause = lateness, lateness
	}
	return f
}

// assertNothingInFlight checks that no request counts as in flight at an endpoint.
func (f *fixture) assertNothingInFlight() {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for _, work := range f.balancer.Work(0).Work {
			if work.Running != 0 {
				return poll.Continue("%d requests count as in flight at an endpoint", work.Running)
			}
		}
		return poll.Success()
	})
}

// sendAll sends requests with different targets at one moment.
func (f *fixture) sendAll(count int, path string) []answer {
	answers := make([]answer, count)
	var wg sync.WaitGroup
	for number := range count {
		wg.Go(func() {
			id := fmt.Sprint("late-", number)
			answers[number] = f.sendRequest(http.MethodGet, path+id, "", "Gentianhead-Attempt-Id", id)
		})
	}
	wg.Wait()
	return answers
}

// Guards against an attempt that is given up although no other endpoint takes the request.
func TestLateAttemptAnsweredWithoutOtherEndpoint(t *testing.T) {
	f := newLateFixture(t, 1)
	got := f.sendRequest(http.MethodGet, pathLate, "")
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	assert.Equal(t, f.requestCount(), 1)
	assert.Equal(t, f.trustChanges.Load(), int64(0))
	f.assertNothingInFlight()
}

// Guards against a stream that is given up before its head, which comes late with the first
// event, although no other endpoint takes the request.
func TestLateStreamAnsweredWithoutOtherEndpoint(t *testing.T) {
	f := newLateFixture(t, 1)
	f.endpoints[0].Pause = 0
	got := f.postStream(pathLateStream)
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	assert.Equal(t, got.body, streamEvents(1, 3))
	assert.Equal(t, f.requestCount(), 1)
	f.assertNothingInFlight()
}

// Guards against a request that fails since its attempt was given up while all endpoints were
// at capacity: the attempt would have been answered.
func TestLateAttemptAnsweredWithEndpointsFull(t *testing.T) {
	const slots = 8
	f := newLateFixture(t, 2)
	setPause := func(pause time.Duration) {
		for _, endpoint := range f.endpoints {
			endpoint.Pause = pause
		}
	}
	// The service time of the endpoints is measured first; later they take longer.
	setPause(520 * time.Millisecond)
	assert.Equal(t, f.sendRequest(http.MethodGet, pathLateFill, "").status, http.StatusOK)
	setPause(time.Second)
	const filling = 2*slots - 1
	left := new(atomic.Int64)
	left.Store(filling)
	for _, endpoint := range f.endpoints {
		endpoint.SetFaultFor(platformtest.NoResponse, left)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for number := range filling {
		wg.Go(func() {
			request := f.newRequest(http.MethodGet, pathLateFill+fmt.Sprint(number), "", "Gentianhead-Attempt-Id", fmt.Sprint("fill-", number))
			_, err := http.DefaultClient.Do(request.WithContext(ctx))
			assert.Check(t, errors.Is(err, context.Canceled), "%v", err)
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.requestCount() == 1+filling {
			return poll.Success()
		}
		return poll.Continue("not all sent yet")
	})
	got := f.sendRequest(http.MethodGet, pathLateLong, "")
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	assert.Equal(t, f.requestCount(), 1+filling+1, "the request was not sent twice")
	assert.Equal(t, f.trustChanges.Load(), int64(0))
	cancel()
	wg.Wait()
	f.assertNothingInFlight()
}

// Guards against an attempt that is given up although the retry budget allows no other.
func TestLateAttemptAnsweredWithoutRetryBudget(t *testing.T) {
	f := newLateFixture(t, 2)
	f.balancer.SetLimits(2, retry.FleetLimits{})
	got := f.sendRequest(http.MethodGet, pathLate, "")
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	assert.Equal(t, f.requestCount(), 1)
	f.assertNothingInFlight()
}

// Guards against a late attempt that moves to an endpoint that can't be reached, and then has
// none.
func TestLateAttemptNotMovedToUntrustedEndpoint(t *testing.T) {
	f := newLateFixture(t, 2)
	f.endpoints[1].Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.sendAll(4, pathLateOnce)
		if f.trustChanges.Load() > 0 {
			return poll.Success()
		}
		return poll.Continue("no request was placed on the endpoint that can't be reached")
	})
	for number := range 3 {
		got := f.sendRequest(http.MethodGet, pathLate+fmt.Sprint(number), "")
		assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	}
	f.assertNothingInFlight()
}

// Guards against a request that stays at an endpoint without a response although another has
// a place.
func TestLateAttemptMovedToEndpointWithPlace(t *testing.T) {
	for _, path := range []string{pathLate, pathLateStream} {
		f := newLateFixture(t, 3)
		f.faultFirst(platformtest.NoResponse)
		for _, endpoint := range f.endpoints {
			endpoint.Pause, endpoint.HeadPause = 0, 0
		}
		got := f.postStream(path)
		assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
		assert.Equal(t, f.requestCount(), 2, path)
		f.assertNothingInFlight()
	}
}

// Guards against an attempt that asks for another place only once.
func TestLateAttemptMovedOncePlaceIsFree(t *testing.T) {
	f := newLateFixture(t, 1)
	f.faults(platformtest.NoResponse)
	free := platformtest.NewEndpoint("e-free")
	t.Cleanup(free.Close)
	timer := time.AfterFunc(lateness, func() {
		entries := []endpoints.Entry{{ID: free.ID, Service: "pool", Address: free.Address, Slots: 8}}
		entries = append(entries, endpoints.Entry{ID: "e-0", Service: "pool", Address: f.endpoints[0].Address, Slots: 8})
		f.view.Apply(0, entries, nil)
		f.balancer.SetView(f.view.View())
	})
	defer timer.Stop()
	got := f.sendRequest(http.MethodGet, pathLate, "")
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	assert.Assert(t, strings.HasPrefix(got.body, "answer of e-free"), "%s", got.body)
	f.assertNothingInFlight()
}

// Guards against an attempt that is given up although the request is in quarantine, so that no
// other follows.
func TestLateAttemptAnsweredInQuarantine(t *testing.T) {
	f := newLateFixture(t, 2)
	whole := quarantine.WholePart(quarantine.Request{Caller: "secret " + secret, Service: "pool", Host: "a.example", Method: http.MethodGet, Target: pathLate})
	answered := make(chan answer, 1)
	go func() { answered <- f.sendRequest(http.MethodGet, pathLate, "") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.runs()) == 1 {
			return poll.Success()
		}
		return poll.Continue("not sent yet")
	}, poll.WithDelay(time.Millisecond))
	f.balancer.AdoptQuarantined([]presence.Verdict{{Part: whole.Key, Revision: 1, Crashes: 20, Period: 60_000}})
	assert.Equal(t, len(f.balancer.Quarantined()), 1)
	got := <-answered
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	assert.Equal(t, f.requestCount(), 1)
	f.assertNothingInFlight()
}

// Guards against late requests that run at more endpoints than their route allows.
func TestLateAttemptsWithinRouteLimit(t *testing.T) {
	for path, sends := range map[string]int{pathLateOnce: 1, pathLateTwice: 2, pathLate: 3} {
		f := newLateFixture(t, 4)
		got := f.sendRequest(http.MethodGet, path, "")
		assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
		assert.Assert(t, f.requestCount() <= sends, "%s: %d sends", path, f.requestCount())
		f.assertNothingInFlight()
	}
}

// Guards against places that stay reserved after an attempt was answered while another place
// was being reserved for its request.
func TestReservedPlaceReleasedAfterAnswer(t *testing.T) {
	const requests, rounds = 12, 6
	f := newLateFixture(t, 4)
	for _, endpoint := range f.endpoints {
		// As long as the attempt timeout.
		endpoint.Pause = 59 * time.Millisecond
	}
	for range rounds {
		for _, got := range f.sendAll(requests, pathLate) {
			assert.NilError(t, got.err)
		}
	}
	t.Logf("%d sends of %d requests", f.requestCount(), requests*rounds)
	f.assertNothingInFlight()
}

// Guards against endpoints that lose trust, and requests that are sent twice, since the service
// usually takes longer than the attempt timeout.
func TestUsuallySlowEndpointsKeepTrust(t *testing.T) {
	const requests, rounds = 8, 3
	f := newLateFixture(t, 4)
	for _, endpoint := range f.endpoints {
		endpoint.Pause = 600 * time.Millisecond
	}
	// The service time of the endpoints is measured first.
	assert.Equal(t, f.sendRequest(http.MethodGet, pathLateFill, "").status, http.StatusOK)
	for range rounds {
		for number, got := range f.sendAll(requests, pathLateLong) {
			assert.Check(t, got.status == http.StatusOK, "request %d: %d %s", number, got.status, got.body)
		}
	}
	t.Logf("%d sends of %d requests", f.requestCount(), 1+requests*rounds)
	assert.Equal(t, f.trustChanges.Load(), int64(0))
	f.assertNothingInFlight()
}

package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/request/balance"
	"gentianhead/core/request/breaker"
	"gentianhead/core/request/retry"
	"gentianhead/core/version/routetable"
)

const (
	replayTarget  = 300 * time.Millisecond
	replayTimeout = 180 * time.Millisecond
	replayLimit   = 2500 * time.Millisecond
	replaySlots   = 8
	// slackFraction is the fraction of the budget's slack that one router alone may use.
	slackFraction = 0.6
)

// lateReplay places requests of one service in virtual time, in steps of a millisecond.
type lateReplay struct {
	core   *balance.Core
	budget *retry.FleetBudget
	// takes is the time that each endpoint takes for a request; zero if it never answers.
	takes    map[string]time.Duration
	requests []*replayRequest
	// asks, moves and answered count what the requests did. most is the highest number of
	// requests at an endpoint.
	asks, moves, answered, most int
}

type replayRequest struct {
	placement balance.Placement
	late      *retry.LateAttempt
	sentAt    time.Duration
	endsAt    time.Duration
	excluded  []string
	isEnded   bool
}

func newLateReplay(t *testing.T, limits retry.FleetLimits, takes ...time.Duration) *lateReplay {
	t.Helper()
	r := &lateReplay{core: balance.New(2, time.Minute, rand.New(rand.NewPCG(1, 0)).Float64), budget: retry.NewFleetBudget(limits), takes: make(map[string]time.Duration)}
	view := endpoints.New()
	var entries []endpoints.Entry
	for number, taken := range takes {
		id := fmt.Sprint("e-", number)
		entries = append(entries, endpoints.Entry{ID: id, Service: "pool", Address: id, Slots: replaySlots})
		r.takes[id] = taken
	}
	view.StoreResponded(0)
	view.Apply(0, entries, nil)
	r.core.SetView(view.View())
	table, err := routetable.New(routetable.Spec{Version: 1, Services: []routetable.Service{{Name: "pool"}}})
	assert.NilError(t, err)
	r.core.SetTable(table)
	return r
}

// send places a request as its first attempt, or refuses it.
func (r *lateReplay) send(now time.Duration) {
	placement, refusal := r.core.Place(now, balance.PlacementRequest{Service: "pool", Target: replayTarget})
	if refusal != balance.Accepted {
		return
	}
	r.budget.RecordFirst(now)
	q := &replayRequest{endsAt: now + replayLimit}
	r.requests = append(r.requests, q)
	r.start(now, q, placement, replayTimeout)
}

func (r *lateReplay) start(now time.Duration, q *replayRequest, placement balance.Placement, timeout time.Duration) {
	q.placement, q.sentAt = placement, now
	q.excluded = append(q.excluded, placement.Endpoint.ID)
	q.late = retry.NewLateAttempt(retry.LateLimits{StartedAt: now, EndsAt: q.endsAt, Timeout: timeout, Overdue: 3 * replayTarget})
}

func (r *lateReplay) step(now time.Duration) {
	atEndpoint := make(map[string]int)
	for _, q := range r.requests {
		if q.isEnded {
			continue
		}
		if takes := r.takes[q.placement.Endpoint.ID]; takes > 0 && now-q.sentAt >= takes {
			r.core.Done(now, &q.placement, breaker.Succeeded)
			q.late.End()
			q.isEnded = true
			r.answered++
			continue
		}
		if q.late.Step(now).ShouldAsk {
			r.ask(now, q)
		}
		atEndpoint[q.placement.Endpoint.ID]++
		r.most = max(r.most, atEndpoint[q.placement.Endpoint.ID])
	}
}

func (r *lateReplay) ask(now time.Duration, q *replayRequest) {
	r.asks++
	var next balance.Placement
	isAllowed := r.budget.AllowRetryIf(now, 1, func() bool {
		placement, refusal := r.core.Place(now, balance.PlacementRequest{Service: "pool", Target: replayTarget, Excluded: q.excluded, IsMove: true})
		next = placement
		return refusal == balance.Accepted
	})
	if !isAllowed {
		return
	}
	r.moves++
	q.late.End()
	r.core.Done(now, &q.placement, breaker.Failed)
	r.start(now, q, next, 0)
}

// run steps through virtual time until a limit.
func (r *lateReplay) run(from, to time.Duration) {
	for now := from; now < to; now += time.Millisecond {
		r.step(now)
	}
}

// Guards against a service of slow endpoints, all at capacity, whose requests give up attempts
// that would have been answered: none may move, and all must be answered.
func TestLateAttemptsStayWithEndpointsAtCapacity(t *testing.T) {
	const takes = 500 * time.Millisecond
	r := newLateReplay(t, retry.FleetLimits{Ratio: 1, Slack: 100, Window: 10 * time.Second}, takes, takes, takes)
	r.send(0)
	r.run(0, time.Second)
	assert.Equal(t, r.answered, 1)
	r.asks, r.moves = 0, 0
	for range 3 * replaySlots {
		r.send(time.Second)
	}
	r.run(time.Second, 3*time.Second)
	t.Logf("%d requests: %d asks, %d moves, at most %d at an endpoint", len(r.requests), r.asks, r.moves, r.most)
	assert.Equal(t, r.moves, 0)
	assert.Equal(t, r.answered, len(r.requests))
	assert.Assert(t, r.most <= replaySlots, "%d requests at an endpoint", r.most)
	// Late after 180 ms, each asks every 90 ms until its answer at 500 ms.
	assert.Assert(t, r.asks <= 4*len(r.requests), "%d asks", r.asks)
}

// Guards against requests that stay at an endpoint without responses after places became free
// elsewhere, and against more moves than the retry budget allows.
func TestLateAttemptsMoveAsPlacesBecomeFree(t *testing.T) {
	const takes = 400 * time.Millisecond
	for _, allowed := range []int{100, 4, 0} {
		r := newLateReplay(t, retry.FleetLimits{Window: 10 * time.Second}, takes, takes, 0)
		// The service time is measured first.
		for range 2 {
			r.send(0)
		}
		r.run(0, time.Second)
		assert.Assert(t, r.answered > 0)
		r.budget.SetLimits(retry.FleetLimits{Slack: float64(allowed) / slackFraction})
		r.answered, r.asks, r.requests = 0, 0, nil
		for range 3 * replaySlots {
			r.send(time.Second)
		}
		atSilent := 0
		for _, q := range r.requests {
			if q.placement.Endpoint.ID == "e-2" {
				atSilent++
			}
		}
		r.run(time.Second, 3*time.Second)
		t.Logf("%d retries allowed: %d requests, %d at the silent endpoint, %d asks, %d moves, %d answered, at most %d at an endpoint", allowed, len(r.requests), atSilent, r.asks, r.moves, r.answered, r.most)
		assert.Assert(t, atSilent > 0)
		assert.Equal(t, r.moves, min(allowed, atSilent))
		assert.Equal(t, r.answered, len(r.requests)-atSilent+r.moves)
		assert.Assert(t, r.most <= replaySlots, "%d requests at an endpoint", r.most)
	}
}

// Guards against a retry budget that is charged for a place that is not used.
func TestReturnedRetryIsAllowedAgain(t *testing.T) {
	budget := retry.NewFleetBudget(retry.FleetLimits{Slack: 2, Window: 10 * time.Second})
	never := func() bool { return false }
	assert.Assert(t, !budget.AllowRetryIf(time.Second, 1, never), "there is no place")
	assert.Assert(t, budget.AllowRetry(time.Second, 1), "asking is free")
	assert.Assert(t, !budget.AllowRetry(time.Second, 1))
	budget.ReturnRetry(time.Second)
	assert.Assert(t, budget.AllowRetry(2*time.Second, 1))
	isAsked := false
	assert.Assert(t, !budget.AllowRetryIf(2*time.Second, 1, func() bool { isAsked = true; return true }))
	assert.Assert(t, !isAsked, "no place is taken without budget")
}

// Guards against a service that is slower than the attempt timeout, whose requests are all sent
// twice, and against attempts that never ask since a service seems slow.
func TestLateAttemptNotLateBeforeUsualTime(t *testing.T) {
	limits := retry.LateLimits{StartedAt: time.Second, EndsAt: 3 * time.Second, Timeout: 100 * time.Millisecond, Overdue: 300 * time.Millisecond}
	for usual, firstAsk := range map[time.Duration]time.Duration{
		0: 100 * time.Millisecond, 50 * time.Millisecond: 100 * time.Millisecond,
		160 * time.Millisecond: 240 * time.Millisecond, time.Minute: 300 * time.Millisecond,
	} {
		limits.Usual = usual
		late := retry.NewLateAttempt(limits)
		assert.Assert(t, !late.Step(limits.StartedAt+firstAsk-1).ShouldAsk, "usual %v", usual)
		assert.Assert(t, late.Step(limits.StartedAt+firstAsk).ShouldAsk, "usual %v", usual)
	}
	limits.Timeout = 0
	assert.Assert(t, !retry.NewLateAttempt(limits).Step(limits.StartedAt+time.Second).ShouldAsk, "it may not be retried")
}

// Guards against late attempts that ask without end, or in the last milliseconds.
func TestLateAttemptAsksAtIntervals(t *testing.T) {
	limits := retry.LateLimits{StartedAt: time.Second, EndsAt: 2 * time.Second, Timeout: 100 * time.Millisecond, Overdue: 300 * time.Millisecond}
	late := retry.NewLateAttempt(limits)
	var asks, overdue []time.Duration
	now, isDue := late.Next(limits.StartedAt)
	for steps := 0; isDue; now, isDue = late.Next(now) {
		steps++
		assert.Assert(t, steps < 100, "no end at %v", now)
		actions := late.Step(now)
		if actions.ShouldAsk {
			asks = append(asks, now-limits.StartedAt)
		}
		if actions.IsOverdue {
			overdue = append(overdue, now-limits.StartedAt)
		}
	}
	assert.Equal(t, asks[0], 100*time.Millisecond)
	assert.Equal(t, asks[1], 150*time.Millisecond)
	assert.Equal(t, asks[len(asks)-1], 950*time.Millisecond)
	assert.DeepEqual(t, overdue, []time.Duration{300 * time.Millisecond})

	limits.Timeout = 0
	late = retry.NewLateAttempt(limits)
	at, isDue := late.Next(limits.StartedAt)
	assert.Assert(t, isDue && at == limits.StartedAt+limits.Overdue, "%v", at)
	assert.Assert(t, !late.Step(at-1).IsOverdue)
	assert.DeepEqual(t, late.Step(at), retry.LateActions{IsOverdue: true})
	_, isDue = late.Next(at)
	assert.Assert(t, !isDue)
}

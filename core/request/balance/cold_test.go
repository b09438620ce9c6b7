package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/request/breaker"
	"gentianhead/core/request/ratelimit"
	"gentianhead/core/version/routetable"
)

// coldFixture is a core with endpoints of a service, and their entries.
type coldFixture struct {
	*Core
	entries *endpoints.Core
}

// newCold returns a core with the warm endpoints b, c and so on of a service that has a rate for
// cold endpoints, and the endpoint a, which is cold for 20 s.
func newCold(t *testing.T, count int, perSecond float64) (coldFixture, time.Duration) {
	t.Helper()
	c, now := limitedCore(t, count)
	table, err := routetable.New(routetable.Spec{Version: 1, Services: []routetable.Service{{Name: "s", ColdStart: 15 * time.Second, ColdPerSecond: perSecond}}})
	assert.NilError(t, err)
	c.SetTable(table)
	f := coldFixture{c, endpoints.New()}
	f.entries.Apply(now, c.view.All(), nil)
	f.write(now, endpoints.Entry{Cold: 20 * time.Second})
	return f, now
}

// write changes the entry of the endpoint a.
func (f coldFixture) write(now time.Duration, entry endpoints.Entry) {
	entry.ID, entry.Service, entry.Address, entry.Slots = "a", "s", "a", 8
	f.entries.Apply(now, []endpoints.Entry{entry}, nil)
	f.SetView(f.entries.View())
	f.Tick(now)
}

// placed returns how many of the requests of a second, one every 10 ms, are placed.
func (f coldFixture) placed(now time.Duration, request PlacementRequest) (count int) {
	for at := now; at < now+time.Second; at += 10 * time.Millisecond {
		if p, refusal := f.Place(at, request); refusal == Accepted {
			count++
			f.Done(at, &p, breaker.Neutral)
		}
	}
	return count
}

// accepted returns those of a number of requests that are placed at a time.
func (f coldFixture) accepted(now time.Duration, requests int) (placed []Placement) {
	for range requests {
		if p, refusal := f.Place(now, PlacementRequest{Service: "s"}); refusal == Accepted {
			placed = append(placed, p)
		}
	}
	return placed
}

// Guards against a cold endpoint that gets all that a service gets, or nothing, and against a
// limit that outlasts the cold time.
func TestColdEndpointLimitedUntilWarm(t *testing.T) {
	f, now := newCold(t, 1, 2)
	count := f.placed(now, PlacementRequest{Service: "s"})
	assert.Assert(t, count >= 1 && count <= 3, "%d requests", count)
	wait, isLimited := f.LimitedFor(now+time.Second, "s")
	assert.Assert(t, isLimited && wait > 0 && wait < 2*time.Second, "%v", wait)
	assert.Equal(t, f.placed(now+20*time.Second, PlacementRequest{Service: "s"}), 100)

	f, now = newCold(t, 1, 0)
	assert.Equal(t, f.placed(now, PlacementRequest{Service: "s"}), 100, "no rate is stated")
}

// Guards against an absurd cold time that takes an endpoint out of service.
func TestColdTimeIsBounded(t *testing.T) {
	f, now := newCold(t, 1, 1)
	f.write(now, endpoints.Entry{Cold: 1000 * time.Hour})
	assert.Assert(t, f.placed(now+endpoints.MaxCold-2*time.Second, PlacementRequest{Service: "s"}) < 5)
	assert.Equal(t, f.placed(now+endpoints.MaxCold, PlacementRequest{Service: "s"}), 100)
	p, _ := f.Place(now, PlacementRequest{Service: "s"})
	f.RecordCold(now, &p, 1000*time.Hour)
	assert.Equal(t, f.placed(now+endpoints.MaxCold, PlacementRequest{Service: "s"}), 100)
}

// Guards against an endpoint without a stated cold time that is taken for warm when it starts,
// and against all endpoints taken for cold when a router does.
func TestColdTimeNotStated(t *testing.T) {
	f, now := newCold(t, 1, 1)
	f.write(now, endpoints.Entry{IsColdUnknown: true, StartedAt: 1})
	assert.Assert(t, f.placed(now+14*time.Second, PlacementRequest{Service: "s"}) < 5)
	f.write(now+14*time.Second, endpoints.Entry{IsColdUnknown: true, StartedAt: 1})
	assert.Equal(t, f.placed(now+15*time.Second, PlacementRequest{Service: "s"}), 100, "written again")

	entries := endpoints.New()
	entries.Apply(now, []endpoints.Entry{{ID: "a", Service: "s", Address: "a", Slots: 8, IsColdUnknown: true}}, nil)
	f.SetView(entries.View())
	assert.Equal(t, f.placed(now, PlacementRequest{Service: "s"}), 100)
}

// Guards against an endpoint that becomes cold under load and gets requests that were placed
// before, and against a response from before that ends its cold time.
func TestResponsesStateColdTime(t *testing.T) {
	f, now := newCold(t, 1, 1)
	f.write(now, endpoints.Entry{})
	first, _ := f.Place(now, PlacementRequest{Service: "s"})
	waiting := f.accepted(now, 20)
	now += 10 * time.Millisecond
	f.RecordCold(now, &first, 30*time.Second)
	assert.Assert(t, len(waiting) > 5)
	written := 0
	for i := range waiting {
		if f.MayReceive(now, &waiting[i]) {
			written++
		}
		f.Done(now, &waiting[i], breaker.Neutral)
	}
	assert.Assert(t, written <= 1, "%d of the requests that waited", written)
	f.RecordCold(now, &waiting[0], 0)
	assert.Assert(t, f.placed(now+time.Second, PlacementRequest{Service: "s"}) < 5, "an earlier response ended it")
	later, refusal := f.Place(now+10*time.Second, PlacementRequest{Service: "s"})
	assert.Equal(t, refusal, Accepted)
	f.RecordCold(now+11*time.Second, &later, 0)
	assert.Equal(t, f.placed(now+11*time.Second, PlacementRequest{Service: "s"}), 100)
}

// Guards against requests that waited for a connection to a cold endpoint and are written at
// once, and against a token that is lost since its request waited.
func TestWaitingRequestsHaveRecentTokens(t *testing.T) {
	f, now := newCold(t, 1, 1)
	var waiting []Placement
	for at := now; at < now+5*time.Second; at += 10 * time.Millisecond {
		if p, refusal := f.Place(at, PlacementRequest{Service: "s"}); refusal == Accepted {
			waiting = append(waiting, p)
		}
	}
	assert.Assert(t, len(waiting) >= 2)
	written := 0
	for i := range waiting {
		if f.MayReceive(now+5*time.Second, &waiting[i]) {
			written++
		}
	}
	assert.Equal(t, written, 1)
}

// Guards against a request that waits for a connection to an endpoint that restarts at its
// address, and is then written beyond what the new process stands.
func TestRestartedEndpointIsColdForWaitingRequests(t *testing.T) {
	f, now := newCold(t, 1, 1)
	f.write(now, endpoints.Entry{})
	waiting := f.accepted(now, 20)
	f.write(now, endpoints.Entry{StartedAt: 1, Cold: 20 * time.Second})
	assert.Assert(t, len(waiting) > 5)
	written := 0
	for i := range waiting {
		if f.MayReceive(now+time.Second, &waiting[i]) {
			written++
		}
	}
	assert.Assert(t, written <= 1, "%d requests", written)
}

// Guards against requests that miss their target on a slow cold endpoint although warm ones
// have room, and against a cold endpoint that requests with more time avoid.
func TestUrgentRequestsPreferWarmEndpoints(t *testing.T) {
	f, now := newCold(t, 2, 2)
	urgent := PlacementRequest{Service: "s", Target: 100 * time.Millisecond}
	patient := PlacementRequest{Service: "s", Target: 10 * time.Second}
	onCold := func(now time.Duration, request PlacementRequest) (count int) {
		for at := now; at < now+3*time.Second; at += 10 * time.Millisecond {
			p, refusal := f.Place(at, request)
			assert.Equal(t, refusal, Accepted)
			duration := 10 * time.Millisecond
			if p.Endpoint.ID == "a" {
				count++
				duration = 800 * time.Millisecond
			}
			f.Done(at+duration, &p, breaker.Succeeded)
		}
		return count
	}
	assert.Assert(t, onCold(now, patient) >= 2)
	assert.Equal(t, onCold(now+4*time.Second, urgent), 0)
	assert.Assert(t, onCold(now+8*time.Second, patient) >= 2)
}

// Guards against a state change without a line in the log, or with several.
func TestColdChangesAreReportedOnce(t *testing.T) {
	f, now := newCold(t, 2, 2)
	var changes []ColdChange
	for at := now; at < now+30*time.Second; at += 100 * time.Millisecond {
		f.TickLimits(at)
		changes = append(changes, f.TakeColdChanges()...)
		if at == now {
			cold, owned := f.ColdEndpoints()
			assert.Assert(t, cold == 1 && owned == 1)
		}
	}
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, changes[0].Until, now+20*time.Second)
	assert.Assert(t, changes[0].Part > 0 && changes[0].Limit.PerSecond > 0 && changes[1].Until == 0)
}

// Guards against a bound that is not kept, or a rate of zero or above the stated one, for odd
// settings.
func TestColdLimitKeepsBound(t *testing.T) {
	for _, odd := range [][3]float64{
		{0.1, 1.5, 5}, {1, 1.5, 5}, {2, 1.5, 5}, {5, 1.5, 5}, {40, 1.5, 5}, {1000, 1.5, 5}, {5, 1, 0}, {10, 1, 0}, {3, 1, 2}, {1, 100, 0}, {20, 0, 9},
	} {
		bound := ratelimit.ColdBound{PerSecond: odd[0], Overage: odd[1], Tolerance: odd[2]}
		limit := bound.Limit()
		most := bound.PerSecond*bound.Overage + bound.Tolerance
		assert.Assert(t, limit.PerSecond > 0 && limit.PerSecond <= bound.PerSecond && limit.Owners >= 1, "%+v: %+v", bound, limit)
		assert.Assert(t, 2*(limit.PerSecond+float64(limit.Owners)) <= most, "%+v: %+v", bound, limit)
	}
	assert.Equal(t, ratelimit.ColdBound{PerSecond: 0.5, Overage: 1}.Limit(), ratelimit.ColdLimit{})
}

package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/presence"
	"gentianhead/core/request/breaker"
)

func unreachable(ids ...string) WorkReport {
	var reported WorkReport
	for _, id := range ids {
		reported.Unreachable = append(reported.Unreachable, presence.KeyOf(id))
	}
	return reported
}

// picks returns how many of ten requests each server gets.
func picks(c *Core, now time.Duration) map[string]int {
	count := make(map[string]int)
	for range 10 {
		p, _ := c.Place(now, PlacementRequest{Service: "plain"})
		c.Done(now, &p, breaker.Neutral)
		count[p.Endpoint.ID]++
	}
	return count
}

func TestUnreachableByTwoRouters(t *testing.T) {
	c := newCore(t, 1, 2)
	picks(c, 0)
	c.Report(0, "router-2", unreachable("server-00"))
	assert.Equal(t, len(picks(c, 0)), 2, "a single reporter may have a bad link")
	c.Report(0, "router-3", unreachable("server-00"))
	assert.Equal(t, picks(c, 0)["server-00"], 0)
	c.Report(0, "router-3", unreachable())
	assert.Equal(t, len(picks(c, 0)), 2, "a reporter can connect again")
}

func TestUnreachableSilentReporterExpires(t *testing.T) {
	c := newCore(t, 1, 2)
	picks(c, 0)
	c.Report(0, "router-2", unreachable("server-00"))
	c.Report(0, "router-3", unreachable("server-00"))
	c.Report(reportTTL+time.Second, "router-4", unreachable())
	assert.Equal(t, len(picks(c, reportTTL+time.Second)), 2)
}

func TestUnreachableOwnSuccessOverrides(t *testing.T) {
	c := newCore(t, 1, 1)
	p, _ := c.Place(time.Second, PlacementRequest{Service: "plain"})
	c.Done(time.Second, &p, breaker.Succeeded)
	state := c.states["server-00"]
	c.Report(time.Second, "router-2", unreachable("server-00"))
	c.Report(time.Second, "router-3", unreachable("server-00"))
	assert.Assert(t, state.isTrusted(time.Second))
	assert.Assert(t, !state.isTrusted(2*time.Second))
}

// Guards against routers that avoid an endpoint because of each other's reports and
// never detect its recovery.
func TestUnreachableRetryAfterOwnFailure(t *testing.T) {
	c := newCore(t, 1, 2)
	for c.states["server-00"] == nil || !c.states["server-00"].breaker.IsUnreachable() {
		p, _ := c.Place(0, PlacementRequest{Service: "plain"})
		outcome := breaker.Neutral
		if p.Endpoint.ID == "server-00" {
			outcome = breaker.Unreachable
		}
		c.Done(0, &p, outcome)
	}
	assert.DeepEqual(t, c.Work(0, 0).Unreachable, unreachable("server-00").Unreachable)
	c.Report(0, "router-2", unreachable("server-00"))
	c.Report(0, "router-3", unreachable("server-00"))
	assert.Equal(t, picks(c, 0)["server-00"], 0)
	assert.Assert(t, picks(c, time.Second)["server-00"] > 0)
}

// Guards against avoiding healthy endpoints because isolated routers can't reach them.
func TestUnreachableIsolatedReporter(t *testing.T) {
	c := newCore(t, 1, 2)
	c.view = viewOf(4, nil)
	all := unreachable("engine-00", "engine-01", "engine-02")
	c.Report(0, "router-2", all)
	c.Report(0, "router-3", all)
	c.Report(0, "router-4", unreachable("engine-03"))
	p, refusal := c.Place(0, PlacementRequest{Service: "pool"})
	assert.Equal(t, refusal, Accepted)
	assert.Equal(t, c.states[p.Endpoint.ID].unreachableBy, 0)
	for _, id := range []string{"engine-00", "engine-01", "engine-02"} {
		assert.Equal(t, c.states[id].unreachableBy, 0, id)
	}
}

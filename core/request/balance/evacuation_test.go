package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/request/exchange"
	"gentianhead/core/request/notice"
	"gentianhead/core/version/routetable"
)

// zonedCore returns a core with one engine and one server in each of the zones a, b and c.
func zonedCore(t *testing.T) *Core {
	t.Helper()
	view := endpoints.New()
	var entries []endpoints.Entry
	for _, zone := range []string{"a", "b", "c"} {
		entries = append(entries, endpoints.Entry{ID: "e-" + zone, Service: "pool", Address: "e-" + zone, Zone: zone, Slots: 8},
			endpoints.Entry{ID: "s-" + zone, Service: "s", Address: "s-" + zone, Zone: zone, Slots: 8})
	}
	view.Apply(0, entries, nil)
	table, err := routetable.New(routetable.Spec{Version: 1, Services: []routetable.Service{{Name: "pool", Engine: &routetable.Engine{Slots: 8}}, {Name: "s"}}})
	assert.NilError(t, err)
	c := New(2, 10*time.Second, func() float64 { return 0.5 })
	c.SetTable(table)
	c.SetView(view.View())
	return c
}

// Guards against requests of any kind that are sent to an evacuated zone, also where it holds the
// only endpoints that look idle, or all of them.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	for _, service := range []string{"pool", "s"} {
		c, now := zonedCore(t), time.Hour
		waiting, _ := c.Place(now, PlacementRequest{Service: service, Excluded: []string{"e-b", "e-c", "s-b", "s-c"}})
		assert.Equal(t, waiting.Endpoint.Zone, "a")
		c.SetEvacuated([]string{"a", "nowhere"})
		_, running := c.EvacuatedWork()
		assert.Equal(t, running, 1)
		assert.Assert(t, !c.MayReceive(now, &waiting) && c.IsWithheld(&waiting), "a request that was placed and not written is sent")
		for range 12 {
			for _, isMove := range []bool{false, true} {
				placed, refusal := c.Place(now, PlacementRequest{Service: service, IsMove: isMove})
				assert.Assert(t, refusal == Accepted && placed.Endpoint.Zone != "a" && c.MayReceive(now, &placed))
				c.Done(now, &placed, 0)
			}
		}
		_, refusal := c.Place(now, PlacementRequest{Service: service, Excluded: []string{"e-b", "e-c", "s-b", "s-c"}})
		assert.Equal(t, refusal, Evacuated)
		c.SetEvacuated([]string{"a", "b", "c"})
		_, refusal = c.Place(now, PlacementRequest{Service: service})
		assert.Equal(t, refusal, Evacuated)
		_, isAway := c.AwayFor(now, service)
		assert.Assert(t, !isAway && c.Capacity(service) == 0)
		c.SetEvacuated(nil)
		again, refusal := c.Place(now, PlacementRequest{Service: service, Excluded: []string{"e-b", "e-c", "s-b", "s-c"}})
		assert.Assert(t, refusal == Accepted && c.MayReceive(now, &again))
	}
}

// Guards against a caller that is told to return when the endpoints of an evacuated zone take
// requests again.
func TestAwayEndpointsBesideEvacuatedZone(t *testing.T) {
	c, now := zonedCore(t), time.Hour
	c.SetEvacuated([]string{"a"})
	for range 2 {
		placed, _ := c.Place(now, PlacementRequest{Service: "s"})
		assert.Assert(t, placed.Endpoint.ID != "s-a")
		c.RecordNotice(now, &placed, notice.Notice{Distance: 9 * time.Second})
	}
	_, refusal := c.Place(now, PlacementRequest{Service: "s"})
	assert.Equal(t, refusal, Away)
	wait, isAway := c.AwayFor(now, "s")
	assert.Assert(t, isAway && wait == 9*time.Second, "%v", wait)
}

// Guards against engines that copy prompts from a draining engine of an evacuated zone.
func TestEvacuatedZoneIsNoSourceOfCopies(t *testing.T) {
	for _, isEvacuated := range []bool{false, true} {
		c, now := zonedCore(t), time.Hour
		prompt := &exchange.Prompt{Parts: []exchange.Part{{ID: "long", Tokens: 9000}, {ID: "own", Tokens: 10}}}
		c.Tick(now)
		c.RecordCachedParts(now, "e-a", prompt.Parts[:1])
		if isEvacuated {
			c.SetEvacuated([]string{"a"})
		}
		placed, refusal := c.Place(now, PlacementRequest{Service: "pool", Prompt: prompt, Excluded: []string{"e-a"}})
		assert.Equal(t, refusal, Accepted)
		c.view = drained(c.view, "e-a")
		again, _ := c.Place(now, PlacementRequest{Service: "pool", Prompt: prompt, Excluded: []string{placed.Endpoint.ID}})
		assert.Equal(t, again.CopyFrom == "e-a", !isEvacuated, "%+v", again)
	}
}

// drained returns a view in which an endpoint is draining.
func drained(view *endpoints.View, id string) *endpoints.View {
	core := endpoints.New()
	entries := view.All()
	for i := range entries {
		entries[i].IsDraining = entries[i].ID == id
	}
	core.Apply(0, entries, nil)
	return core.View()
}

package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/request/breaker"
	"gentianhead/core/version/routetable"
)

// viewOf returns a view of engines, of which some are draining, in the given zones.
func viewOf(count int, draining []int, zones ...string) *endpoints.View {
	var entries []endpoints.Entry
	for number := range count {
		e := endpoints.Entry{ID: fmt.Sprintf("engine-%02d", number), Service: "pool", Address: fmt.Sprintf("e%d", number), Slots: slots}
		if number < len(zones) {
			e.Zone = zones[number]
		}
		for _, d := range draining {
			e.IsDraining = e.IsDraining || d == number
		}
		entries = append(entries, e)
	}
	core := endpoints.New()
	core.Apply(0, entries, nil)
	return core.View()
}

func numberOf(t *testing.T, p Placement) int {
	t.Helper()
	var number int
	_, err := fmt.Sscanf(p.Endpoint.ID, "engine-%d", &number)
	assert.NilError(t, err)
	return number
}

// Guards against prefilling a document again when its engine drains: the next engine
// should copy it.
func TestCopyFromDrainingEngine(t *testing.T) {
	c := newCore(t, 1, 0)
	c.SetView(viewOf(3, nil))
	first, _ := c.Place(0, PlacementRequest{Service: "pool", Prompt: prompt("doc", "a")})
	assert.Equal(t, first.CopyFrom, "", "no engine holds it yet")
	c.Done(0, &first, breaker.Succeeded)

	c.SetView(viewOf(3, []int{numberOf(t, first)}))
	c.Tick(time.Second)
	second, refusal := c.Place(time.Second, PlacementRequest{Service: "pool", Prompt: prompt("doc", "b")})
	assert.Equal(t, refusal, Accepted)
	assert.Assert(t, second.Endpoint.ID != first.Endpoint.ID)
	assert.Equal(t, second.CopyFrom, first.Endpoint.Address)
	c.Done(time.Second, &second, breaker.Succeeded)

	again, _ := c.Place(2*time.Second, PlacementRequest{Service: "pool", Prompt: prompt("doc", "c")})
	assert.Equal(t, again.Endpoint.ID, second.Endpoint.ID, "the engine with the copy needs neither copy nor prefill")
	assert.Equal(t, again.CopyFrom, "")
}

// Guards against copying from an engine that has probably exited after draining.
func TestCopyFromLongDrainingEngine(t *testing.T) {
	c := newCore(t, 1, 0)
	c.SetView(viewOf(3, nil))
	first, _ := c.Place(0, PlacementRequest{Service: "pool", Prompt: prompt("doc", "a")})
	c.Done(0, &first, breaker.Succeeded)
	c.SetView(viewOf(3, []int{numberOf(t, first)}))
	other, _ := c.Place(time.Second, PlacementRequest{Service: "pool", Prompt: prompt("other", "b")})
	c.Done(time.Second, &other, breaker.Succeeded)
	late, _ := c.Place(time.Second+drainingCopyWindow, PlacementRequest{Service: "pool", Prompt: prompt("doc", "c")})
	assert.Equal(t, late.CopyFrom, "")
}

// Guards against copying from a crashed engine whose entry expired, and against not
// copying from one that shuts down: its entry is removed while it still serves.
func TestCopyFromRemovedEngine(t *testing.T) {
	for _, c := range []struct {
		name                string
		removedAt, placedAt time.Duration
		isCopied            bool
	}{
		{"answered until its removal", 11 * time.Second, 12 * time.Second, true},
		{"removed long ago", 11 * time.Second, 13 * time.Second, false},
		{"silent before its removal", 14 * time.Second, 14500 * time.Millisecond, false},
	} {
		core := newCore(t, 1, 0)
		core.SetView(viewOf(3, nil))
		first, _ := core.Place(9*time.Second, PlacementRequest{Service: "pool", Prompt: prompt("doc", "a")})
		core.Done(10*time.Second, &first, breaker.Succeeded)
		gone := numberOf(t, first)
		var rest []endpoints.Entry
		for _, e := range viewOf(3, nil).InService("pool") {
			if e.ID != first.Endpoint.ID {
				rest = append(rest, e)
			}
		}
		view := endpoints.New()
		view.Apply(0, rest, nil)
		core.SetView(view.View())
		core.Tick(c.removedAt)
		core.Tick(c.removedAt + time.Second/4)
		second, refusal := core.Place(c.placedAt, PlacementRequest{Service: "pool", Prompt: prompt("doc", "b")})
		assert.Equal(t, refusal, Accepted)
		want := ""
		if c.isCopied {
			want = first.Endpoint.Address
		}
		assert.Equal(t, second.CopyFrom, want, "%s: engine %d", c.name, gone)
	}
}

// Guards against prefilling a document again, or queueing for it, when its engine is
// loaded: an engine with capacity should copy it, from its own zone if possible.
func TestCopyFromLoadedEngine(t *testing.T) {
	c := newCore(t, 1, 0)
	c.SetView(viewOf(4, nil, "a", "b", "a", "b"))
	holders := map[string]string{}
	for number := range 120 {
		p, refusal := c.Place(0, PlacementRequest{Service: "pool", Prompt: prompt("hot", fmt.Sprint(number))})
		assert.Equal(t, refusal, Accepted)
		_, isHeld := holders[p.Endpoint.ID]
		if !isHeld && len(holders) > 0 {
			isSource := false
			for _, address := range holders {
				isSource = isSource || address == p.CopyFrom
			}
			assert.Assert(t, isSource, "request %d: %q does not hold the document", number, p.CopyFrom)
		}
		holders[p.Endpoint.ID] = p.Endpoint.Address
		c.RecordFirstEvent(0, &p)
	}
	assert.Assert(t, len(holders) > 1, "one engine got all requests")
}

func TestCopyFromShortPrompt(t *testing.T) {
	c := newCore(t, 1, 0)
	c.SetView(viewOf(2, nil))
	for number := range 20 {
		p, _ := c.Place(0, PlacementRequest{Service: "pool", Prompt: shortPrompt(number)})
		assert.Equal(t, p.CopyFrom, "")
	}
}

func TestCapacityServiceTime(t *testing.T) {
	c := newCore(t, 1, 2)
	assert.Equal(t, c.Capacity("plain"), 0.0)
	assert.Equal(t, c.Capacity("pool"), 0.0)
	for number := range 10 {
		now := time.Duration(number) * time.Second
		p, _ := c.Place(now, PlacementRequest{Service: "plain"})
		c.Done(now+50*time.Millisecond, &p, breaker.Succeeded)
	}
	assert.Equal(t, c.Capacity("plain"), 240.0)
}

// Without slots in the configuration, the slots of the endpoints' entries apply.
func TestPlaceEngineSlotsNotConfigured(t *testing.T) {
	c := newCore(t, 1, 0)
	table, err := routetable.New(routetable.Spec{Version: 2, Services: []routetable.Service{{Name: "pool", Engine: &routetable.Engine{}}}})
	assert.NilError(t, err)
	c.SetTable(table)
	for range 10 {
		_, refusal := c.Place(time.Second, PlacementRequest{Service: "pool", Prompt: prompt("d", "o")})
		assert.Equal(t, refusal, Accepted)
	}
}

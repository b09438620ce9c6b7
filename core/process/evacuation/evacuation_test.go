package evacuation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/table"
)

func at(era, version uint64) table.Revision { return table.Revision{Era: era, Version: version} }

func row(zone string, revision table.Revision) Row { return Row{Zone: zone, Revision: revision} }

func removed(zone string, revision table.Revision) Row {
	return Row{Zone: zone, Revision: revision, IsRemoved: true}
}

// Guards against a zone that is used again, or never again, since responses and sets of other
// routers arrive in any order.
func TestNewerSetReplaces(t *testing.T) {
	c := New()
	c.Read(0, at(0, 3), false, []Row{row("a", at(0, 3))})
	assert.Assert(t, !c.IsKnown() && c.State(0) == nil, "changes of an unknown set are no set")
	c.Read(0, at(0, 5), true, []Row{row("a", at(0, 3))})
	assert.DeepEqual(t, c.Zones(0), []string{"a"})
	c.Adopt(0, &State{Version: 9, Zones: []string{"b"}})
	c.Adopt(0, &State{Version: 8, Zones: []string{"old"}})
	c.Adopt(0, nil)
	c.Read(0, at(0, 4), true, nil)
	assert.DeepEqual(t, c.Zones(0), []string{"b"})
	// The follower has the set as of 5: its changes include those that were adopted.
	c.Read(0, at(0, 11), false, []Row{row("b", at(0, 7)), removed("a", at(0, 8)), row("a", at(0, 10)), removed("unknown", at(0, 11))})
	assert.DeepEqual(t, c.Zones(0), []string{"a", "b"})
	c.Read(0, at(0, 12), false, []Row{removed("b", at(0, 12))})
	assert.Assert(t, c.Equals(&State{Version: 99, Zones: []string{"a"}}) && !c.Equals(nil) && !c.Equals(&State{}))
	c.Read(0, at(0, 13), false, nil)
	assert.Equal(t, c.Revision(), at(0, 13))
}

// Guards against a zone that gets requests after a drill, in which the store has lost its row:
// also from a router that starts just then.
func TestZonesKeptInNewEra(t *testing.T) {
	c, started := New(), New()
	c.Read(0, at(1, 9), true, []Row{row("a", at(1, 2)), row("b", at(1, 8))})
	now := time.Minute
	c.RaiseEra(now, 2)
	c.Read(now, at(2, 7), true, []Row{row("a", at(2, 2))})
	assert.DeepEqual(t, c.Zones(now), []string{"a", "b"})
	started.Read(now, at(2, 7), true, []Row{row("a", at(2, 2))})
	started.Adopt(now+time.Second, c.State(now+time.Second))
	end := now + endpoints.RecoveryGrace
	for _, core := range []*Core{c, started} {
		assert.DeepEqual(t, core.Zones(end-1), []string{"a", "b"})
		assert.DeepEqual(t, core.Zones(end), []string{"a"})
		assert.Assert(t, core.State(end).Kept == nil)
	}
	// Routers that tell each other must not prolong it.
	started.Adopt(end-1, c.State(end-1))
	assert.DeepEqual(t, started.Zones(end), []string{"a"})
	c.Read(end, at(2, 12), false, []Row{row("b", at(2, 12)), removed("a", at(2, 12))})
	assert.DeepEqual(t, c.Zones(end), []string{"b"})
}

// Guards against many rows that displace the zones evacuated before them, and against a beacon
// that doesn't fit into a datagram.
func TestTooManyZonesSkipped(t *testing.T) {
	c := New()
	rows := []Row{row("z", at(0, 1))}
	for i := range 2 * MaxZones {
		rows = append([]Row{row(fmt.Sprint("a", i), at(0, uint64(i+2)))}, rows...)
	}
	assert.Equal(t, c.Read(0, at(0, 200), true, rows), MaxZones+1)
	assert.Assert(t, len(c.Zones(0)) == MaxZones && Contains(c.Zones(0), "z"))
	before := c.Zones(0)
	c.Adopt(0, &State{Version: 300, Zones: make([]string, MaxZones+1)})
	assert.DeepEqual(t, c.Zones(0), before)
}

package hosted

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/evacuation"
	"gentianhead/core/process/presence"
	"gentianhead/core/process/staleness"
	"gentianhead/core/process/table"
	"gentianhead/core/version/routetable"
	"gentianhead/fleet/process/boottime"
	"gentianhead/fleet/process/watch"
	"gentianhead/platform/platformtest"
)

func newSync() *syncState {
	s := &syncState{}
	s.init(nil, func() staleness.Bounds { return staleness.Bounds{} })
	return s
}

func writtenRow(key string, version uint64) table.Row { return table.Row{Key: key, Version: version} }

func TestRowsOutOfOrderKeepNewest(t *testing.T) {
	one, other := newSync(), newSync()
	rows := []table.Row{writtenRow("a", 1), writtenRow("b", 2), writtenRow("a", 3), {Key: "b", Version: 4, IsRemoved: true}}
	assert.Equal(t, len(one.newer(rows)), 4)
	for i := range rows {
		other.newer(rows[len(rows)-1-i : len(rows)-i])
	}
	assert.Equal(t, one.hash, other.hash)
	assert.Equal(t, one.newest, other.newest)
	assert.Assert(t, one.hash != 0)
	assert.Equal(t, len(one.newer(rows)), 0)
}

func TestHashDiffersAfterLostRow(t *testing.T) {
	one, other := newSync(), newSync()
	one.newer([]table.Row{writtenRow("a", 1), writtenRow("b", 2), writtenRow("c", 3)})
	other.newer([]table.Row{writtenRow("a", 1), writtenRow("c", 3)})
	assert.Equal(t, one.newest, other.newest)
	assert.Assert(t, one.hash != other.hash)
}

func TestWholeTableRemovesMissingRowsOnly(t *testing.T) {
	s := newSync()
	s.newer([]table.Row{writtenRow("gone", 1), writtenRow("stays", 2), writtenRow("newer", 9)})
	snapshot := watch.Update{Rows: []table.Row{writtenRow("stays", 2)}, Revision: table.Revision{Version: 5}}
	assert.Equal(t, len(s.newer(snapshot.Rows)), 0)
	missing := s.missing(snapshot)
	assert.Equal(t, len(missing), 1)
	assert.Equal(t, missing[0].Key, "gone")
}

// newControlWithEndpoint returns the control loop of a router with the entry e-1,
// and beacons of three other routers.
func newControlWithEndpoint(t *testing.T) (*control, []presence.Beacon) {
	t.Helper()
	c, others := newControlWithPeers(t, 3)
	c.state.hasEndpoints = true
	c.endpoints.StoreResponded(boottime.Now())
	entry := platformtest.NewEndpoint("e-1")
	t.Cleanup(entry.Close)
	value, err := json.Marshal(entry.Entry("plain", "ready"))
	assert.NilError(t, err)
	c.handleForwardedRows(boottime.Now(), presence.Beacon{EndpointChanges: []table.Row{{Key: "e-1", Value: value, Version: 1}}})
	assert.Equal(t, c.state.endpointCount, 1)
	return c, others
}

// Other routers lost the store and regained it; this router never lost it. A removal
// received afterwards must not be treated as an entry that lapsed in their outage
// (hunt-81cb-31).
func TestRemovalAfterOutageOfOtherRouters(t *testing.T) {
	c, others := newControlWithEndpoint(t)
	for _, hasStore := range []bool{false, true} {
		for _, other := range others {
			other.HasStore = hasStore
			c.handleBeacon(boottime.Now(), other)
		}
	}
	others[0].EndpointChanges = []table.Row{{Key: "e-1", Version: 2, IsRemoved: true}}
	c.handleBeacon(boottime.Now(), others[0])
	assert.Equal(t, c.state.endpointCount, 0)
}

// The store refuses this router and serves others. A removal read by a settled router
// must be final and not be treated as lapsed (deploy/days/start-without-store.toml,
// seed 661601114525); one from a router that has only just regained the store is not.
func TestRemovalFromOtherRouterWithoutStore(t *testing.T) {
	for _, isSettled := range []bool{true, false} {
		c, others := newControlWithEndpoint(t)
		c.endpoints.StoreFailed()
		others[0].IsSettled = isSettled
		others[0].EndpointChanges = []table.Row{{Key: "e-1", Version: 2, IsRemoved: true}}
		c.handleBeacon(boottime.Now(), others[0])
		want := 1
		if isSettled {
			want = 0
		}
		assert.Equal(t, c.state.endpointCount, want, "settled: %v", isSettled)
		// A removal from a settled router also counts if it was received before.
		others[0].IsSettled = true
		c.handleBeacon(boottime.Now(), others[0])
		assert.Equal(t, c.state.endpointCount, 0)
	}
}

// Guards against one large row that keeps the others of a change from being passed on.
func TestLargeRowDoesNotHoldUpOthers(t *testing.T) {
	rows := []table.Row{{Key: "too-large", Value: make([]byte, 40<<10)}}
	for i := range 100 {
		rows = append(rows, table.Row{Key: fmt.Sprint("e-", i), Value: make([]byte, 300+10*i), Version: 1})
	}
	sent := 0
	for _, part := range partsOf(rows) {
		bytes := 0
		for _, row := range part {
			bytes += len(row.Key) + len(row.Value)
		}
		assert.Assert(t, len(part) <= maxRowsPerBeacon && bytes <= maxRowBytesPerBeacon)
		sent += len(part)
	}
	assert.Equal(t, sent, 100)
}

// Guards against watchers with slow links where others have fast ones: all routers wait for
// what the watchers read (inc1).
func TestWatchersHaveFastLinks(t *testing.T) {
	for _, example := range []struct {
		own uint32
		// others are the links of r-001 to r-004, which sort after this router by name.
		others [4]uint32
		want   bool
	}{
		{10, [4]uint32{10, 10, 10, 10}, true},
		{10, [4]uint32{10, 10, 200, 10}, true},
		{10, [4]uint32{200, 200, 200, 10}, false},
		{200, [4]uint32{200, 200, 200, 1000}, true},
		{10, [4]uint32{0, 0, 0, 0}, true},
	} {
		c, others := newControlWithPeers(t, 4)
		settings := *c.settings.Load()
		settings.LinkMbps = float64(example.own)
		c.settings.Store(&settings)
		for i := range others {
			others[i].LinkMbps = example.others[i]
			c.handleBeacon(boottime.Now(), others[i])
		}
		self, peers := c.watchPeers(c.presence.Live(boottime.Now()))
		decision := c.staleness.Step(boottime.Now()+time.Minute, staleness.Input{Self: self, Peers: peers})
		assert.Equal(t, decision.IsWatcher, example.want, "%+v", example)
	}
}

// Guards against a router that takes its view for complete since another one with a
// different view, of another era or for another process, has read the store.
func TestViewsConfirmedByEqualViewsOnly(t *testing.T) {
	c, others := newControlWithEndpoint(t)
	spec, err := routetable.New(routetable.Spec{Version: 7})
	assert.NilError(t, err)
	c.state.table, c.sync.era = spec, 3
	c.evacuations.Read(0, table.Revision{Era: 3, Version: 5}, true, []evacuation.Row{{Zone: "a"}})
	now := boottime.Now()
	equal := others[0]
	equal.Version, equal.EndpointsHash, equal.StoreEra = 7, c.sync.hash, 3
	equal.Evacuations = &evacuation.State{Era: 3, Version: 8, Zones: []string{"a"}}
	equal.Views = &staleness.Echo{Start: c.start, Stamp: now - time.Second}
	for name, change := range map[string]func(*presence.Beacon){
		"another process":       func(b *presence.Beacon) { b.Views = &staleness.Echo{Start: c.start + 1, Stamp: now - time.Second} },
		"another era":           func(b *presence.Beacon) { b.StoreEra = 2 },
		"in the future":         func(b *presence.Beacon) { b.Views = &staleness.Echo{Start: c.start, Stamp: now + time.Hour} },
		"no echo":               func(b *presence.Beacon) { b.Views = nil },
		"different entries":     func(b *presence.Beacon) { b.EndpointsHash++; b.Version-- },
		"different evacuations": func(b *presence.Beacon) { b.EndpointsHash++; b.Evacuations = &evacuation.State{Era: 3, Version: 5} },
		"no evacuations":        func(b *presence.Beacon) { b.EndpointsHash++; b.Evacuations = nil },
	} {
		beacon := equal
		change(&beacon)
		c.confirmViews(now, beacon)
		for _, view := range viewOf {
			_, isConfirmed := c.staleness.Age(now, view)
			assert.Assert(t, !isConfirmed, "%s, table %d", name, view)
		}
	}
	c.confirmViews(now, equal)
	for _, view := range viewOf {
		age, isConfirmed := c.staleness.Age(now, view)
		assert.Assert(t, isConfirmed && age == time.Second, "table %d: %v", view, age)
	}
}

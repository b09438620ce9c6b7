package hosted

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/evacuation"
	"gentianhead/core/process/presence"
	"gentianhead/core/request/exchange"
	"gentianhead/core/version/routetable"
	"gentianhead/fleet/process/boottime"
)

// fakeEngines maps engine addresses to their cached parts.
type fakeEngines map[string][]exchange.Part

func (f fakeEngines) CachedParts(_ context.Context, address string) ([]exchange.Part, int, error) {
	parts, known := f[address]
	if !known {
		return nil, 0, errors.New("no engine")
	}
	return parts, 0, nil
}

// newControlWithEngines returns the control loop of a lone router with two engines
// and a plain endpoint.
func newControlWithEngines(t *testing.T, engines fakeEngines) *control {
	t.Helper()
	c, _ := newControlWithPeers(t, 0)
	c.engines = engines
	table, err := routetable.New(routetable.Spec{Version: 1, Services: []routetable.Service{
		{Name: "pool", Engine: &routetable.Engine{Slots: 4}}, {Name: "plain"},
	}})
	assert.NilError(t, err)
	c.state.table, c.state.hasEndpoints = table, true
	c.endpoints.StoreResponded(boottime.Now())
	c.endpoints.Apply(boottime.Now(), []endpoints.Entry{
		{ID: "e-1", Service: "pool", Address: "one"},
		{ID: "e-2", Service: "pool", Address: "two"},
		{ID: "p-1", Service: "plain", Address: "plain"},
	}, nil)
	c.endpointsChanged("test")
	return c
}

// A router that starts alone must query all engines. One that doesn't respond must
// not prevent the others from being recorded.
func TestLoneRouterQueriesEngineCaches(t *testing.T) {
	c := newControlWithEngines(t, fakeEngines{"one": {{ID: "doc", Tokens: 9000}, {ID: "short", Tokens: 10}}})
	now := boottime.Now()
	c.queryCaches(now)
	assert.Equal(t, len(c.events), 0)
	c.queryCaches(now + time.Second)
	asked := make(map[string]bool)
	for range 2 {
		report := (<-c.events).(cacheReported)
		asked[report.engine.ID] = report.err == nil
		c.handleCacheReport(now, report)
	}
	assert.DeepEqual(t, asked, map[string]bool{"e-1": true, "e-2": false})
	cached := c.balancer.Cached()
	assert.Equal(t, len(cached), 1)
	assert.Equal(t, cached[0].Part, presence.KeyOf("doc"))
	assert.Equal(t, cached[0].Endpoint, presence.KeyOf("e-1"))
	assert.Assert(t, !c.beacon(now).KnowsCaches)
	c.handleEvent(<-c.events)
	assert.Assert(t, c.beacon(now).KnowsCaches)
}

// Guards against queries of engines in evacuated zones: of those that are evacuated before the
// share of a router is queried, and while it is.
func TestCachesOfEvacuatedZoneNotQueried(t *testing.T) {
	for _, isLate := range []bool{false, true} {
		c := newControlWithEngines(t, fakeEngines{"one": {{ID: "doc", Tokens: 9000}}})
		now := boottime.Now()
		zones := &evacuation.State{Version: 1, Zones: []string{"z"}}
		c.endpoints.Apply(now, []endpoints.Entry{{ID: "e-2", Service: "pool", Address: "two", Zone: "z"}}, nil)
		c.queryCaches(now)
		if isLate {
			c.engines = blockedEngines{c}
		} else {
			c.adoptEvacuations(now, presence.Beacon{Evacuations: zones})
		}
		c.queryCaches(now + time.Second)
		assert.Equal(t, (<-c.events).(cacheReported).engine.ID, "e-1")
		_, isDone := (<-c.events).(cacheQueriesDone)
		assert.Assert(t, isDone, "late %v", isLate)
	}
}

// blockedEngines evacuates zone z during each query.
type blockedEngines struct{ c *control }

func (b blockedEngines) CachedParts(context.Context, string) ([]exchange.Part, int, error) {
	b.c.adoptEvacuations(boottime.Now(), presence.Beacon{Evacuations: &evacuation.State{Version: 1, Zones: []string{"z"}}})
	return nil, 0, nil
}

// In a large fleet, each router sends only its share of the placements, longest
// prompt parts first.
func TestCachePlacementsLimitedInLargeFleet(t *testing.T) {
	var parts []exchange.Part
	for number := range 100 {
		parts = append(parts, exchange.Part{ID: fmt.Sprint("doc-", number), Tokens: 1000 + number})
	}
	c := newControlWithEngines(t, fakeEngines{"one": parts, "two": parts})
	c.state.live = make([]*presence.Member, maxInitialPlacements/30-1)
	for i := range c.state.live {
		c.state.live[i] = &presence.Member{}
	}
	now := boottime.Now()
	c.queryCaches(now)
	c.queryCaches(now + time.Second)
	assert.Equal(t, c.placementsLeft, 30)
	selected := c.balancer.RecordCachedParts("e-1", parts)
	assert.Equal(t, selected[0].Part, presence.KeyOf("doc-99"))
	c.handleCacheReport(now, cacheReported{engine: endpoints.Entry{ID: "e-1"}, parts: parts[:20]})
	assert.Equal(t, c.placementsLeft, 10)
	c.handleCacheReport(now, cacheReported{engine: endpoints.Entry{ID: "e-2"}, parts: parts})
	assert.Equal(t, c.placementsLeft, 0)
}

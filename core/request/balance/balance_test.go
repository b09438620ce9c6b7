package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/presence"
	"gentianhead/core/request/breaker"
	"gentianhead/core/request/exchange"
	"gentianhead/core/request/notice"
	"gentianhead/core/version/routetable"
)

const (
	engines    = 12
	slots      = 64
	loadFactor = 2.0
)

func newCore(t *testing.T, seed uint64, servers int) *Core {
	t.Helper()
	table, err := routetable.New(routetable.Spec{
		Version: 1,
		Services: []routetable.Service{
			{Name: "pool", Engine: &routetable.Engine{Slots: slots}},
			{Name: "plain"},
		},
	})
	assert.NilError(t, err)
	view := endpoints.New()
	var entries []endpoints.Entry
	for number := range engines {
		entries = append(entries, endpoints.Entry{ID: fmt.Sprintf("engine-%02d", number), Service: "pool", Address: fmt.Sprintf("e%d", number), Slots: slots})
	}
	for number := range servers {
		entries = append(entries, endpoints.Entry{ID: fmt.Sprintf("server-%02d", number), Service: "plain", Address: fmt.Sprintf("s%d", number), Slots: 6})
	}
	view.Apply(0, entries, nil)
	c := New(loadFactor, 10*time.Second, rand.New(rand.NewPCG(seed, 1)).Float64)
	c.SetTable(table)
	c.SetView(view.View())
	return c
}

func prompt(shared string, own string) *exchange.Prompt {
	return &exchange.Prompt{Parts: []exchange.Part{{ID: "base", Tokens: 500}, {ID: shared, Tokens: 10000}, {ID: own, Tokens: 1300}}}
}

func shortPrompt(number int) *exchange.Prompt {
	return &exchange.Prompt{Parts: []exchange.Part{{ID: "base", Tokens: 300}, {ID: fmt.Sprint("own-", number), Tokens: 100}}}
}

// Guards against a document being prefilled on several engines when several routers
// get requests about it: all routers should pick the same one without communication.
func TestPlaceSharedPartSameEngine(t *testing.T) {
	homeOf := make(map[string]string)
	for router := range 7 {
		c := newCore(t, uint64(router), 0)
		for number := range 46 {
			document := fmt.Sprintf("doc-%d", number)
			placed, refusal := c.Place(0, PlacementRequest{Service: "pool", Prompt: prompt(document, fmt.Sprint(router, number))})
			assert.Equal(t, refusal, Accepted)
			c.Done(0, &placed, breaker.Succeeded)
			if homeOf[document] == "" {
				homeOf[document] = placed.Endpoint.ID
			}
			assert.Equal(t, placed.Endpoint.ID, homeOf[document])
		}
	}
}

// Guards against exceeding the load bound on the engine that caches a document when
// most requests are about it, however much the cached part saves.
func TestPlaceHotDocumentLoadBound(t *testing.T) {
	c := newCore(t, 1, 0)
	running := make(map[string]int)
	for number := range 200 {
		document := "hot"
		if number%4 == 0 {
			document = fmt.Sprintf("doc-%d", number)
		}
		placed, refusal := c.Place(0, PlacementRequest{Service: "pool", Prompt: prompt(document, fmt.Sprint(number))})
		assert.Equal(t, refusal, Accepted)
		c.RecordFirstEvent(0, &placed)
		running[placed.Endpoint.ID]++
		mean := float64(number+1) / engines
		assert.Assert(t, float64(running[placed.Endpoint.ID]) <= loadFactor*mean+3, "request %d: %d on %s", number, running[placed.Endpoint.ID], placed.Endpoint.ID)
	}
}

// Guards against queueing a short request behind the prefill of long prompts.
func TestPlaceShortRequestDuringLongPrefill(t *testing.T) {
	c := newCore(t, 1, 0)
	long, _ := c.Place(0, PlacementRequest{Service: "pool", Prompt: prompt("doc", "first")})
	c.Report(0, "router-2", WorkReport{Load: presence.Load{Work: map[presence.Key]presence.Work{presence.KeyOf(long.Endpoint.ID): {Running: 3, Prefill: 60000}}}})
	short := &exchange.Prompt{Parts: []exchange.Part{{ID: "x", Tokens: 100}}}
	for range engines - 1 {
		placed, _ := c.Place(0, PlacementRequest{Service: "pool", Prompt: short})
		assert.Assert(t, placed.Endpoint.ID != long.Endpoint.ID)
	}
}

// Guards against prefilling a document again when an engine joins and becomes its
// home: routers should keep using the engine that is reported to hold it.
func TestPlacePartHeldElsewhere(t *testing.T) {
	first, second := newCore(t, 1, 0), newCore(t, 2, 0)
	engineIDs := first.view.InService("pool")
	for number := range 20 {
		document := fmt.Sprintf("doc-%d", number)
		placed, _ := first.Place(0, PlacementRequest{Service: "pool", Prompt: prompt(document, document+"-own"), Excluded: []string{engineIDs[number%engines].ID}})
		first.Done(0, &placed, breaker.Succeeded)
		for _, e := range engineIDs {
			second.state(e)
		}
		second.Report(0, "router-1", WorkReport{Load: presence.Load{Placed: first.Work(0, 0).Placed}})
		again, _ := second.Place(0, PlacementRequest{Service: "pool", Prompt: prompt(document, document+"-next")})
		assert.Equal(t, again.Endpoint.ID, placed.Endpoint.ID)
		second.Done(0, &again, breaker.Succeeded)
	}
}

func TestReportSilentRouterExpires(t *testing.T) {
	c := newCore(t, 1, 0)
	c.Report(0, "router-2", WorkReport{Load: presence.Load{Work: map[presence.Key]presence.Work{presence.KeyOf("engine-00"): {Running: 60}}}})
	c.Report(reportTTL+time.Second, "router-3", WorkReport{})
	placed, _ := c.Place(reportTTL+time.Second, PlacementRequest{Service: "pool", Prompt: prompt("d", "o")})
	state := c.states["engine-00"]
	assert.Assert(t, state == nil || state.peers.Running == 0, "%v", placed)
}

func TestPlaceExcludedEndpoints(t *testing.T) {
	c := newCore(t, 1, 3)
	var tried []string
	for range 3 {
		placed, refusal := c.Place(0, PlacementRequest{Service: "plain", Excluded: tried})
		assert.Equal(t, refusal, Accepted)
		tried = append(tried, placed.Endpoint.ID)
	}
	_, refusal := c.Place(0, PlacementRequest{Service: "plain", Excluded: tried})
	assert.Equal(t, refusal, NoEndpoint)
}

func TestPlaceFullServers(t *testing.T) {
	c := newCore(t, 1, 1)
	var placed []Placement
	for {
		p, refusal := c.Place(0, PlacementRequest{Service: "plain"})
		if refusal == Full {
			break
		}
		placed = append(placed, p)
	}
	assert.Equal(t, len(placed), 12, "six slots and six queued")
	c.Done(0, &placed[0], breaker.Succeeded)
	_, refusal := c.Place(0, PlacementRequest{Service: "plain"})
	assert.Equal(t, refusal, Accepted)
}

// Guards against sending requests to a server that fails all of them while it reports
// itself healthy, and against an empty candidate list when no server is trusted.
func TestPlaceUntrustedServers(t *testing.T) {
	c := newCore(t, 1, 3)
	failures := 0
	for number := range 200 {
		now := time.Duration(number) * 10 * time.Millisecond
		placed, _ := c.Place(now, PlacementRequest{Service: "plain"})
		result := breaker.Succeeded
		if placed.Endpoint.ID == "server-00" {
			result = breaker.Failed
			failures++
		}
		c.Done(now, &placed, result)
	}
	assert.Assert(t, failures < 20, "%d requests failed", failures)
	for _, id := range []string{"server-00", "server-01", "server-02"} {
		state := c.states[id]
		for range 5 {
			state.breaker.Report(2*time.Second, breaker.Unreachable)
		}
	}
	_, refusal := c.Place(2*time.Second, PlacementRequest{Service: "plain"})
	assert.Equal(t, refusal, Accepted, "without trusted endpoints, all are candidates")
}

func TestPlaceRestartedEndpoint(t *testing.T) {
	c := newCore(t, 1, 0)
	old, _ := c.Place(0, PlacementRequest{Service: "pool", Prompt: prompt("doc", "o")})
	again := old.Endpoint
	again.StartedAt = 99
	view := endpoints.New()
	view.Apply(0, []endpoints.Entry{again}, nil)
	c.SetView(view.View())
	placed, _ := c.Place(0, PlacementRequest{Service: "pool", Prompt: prompt("doc", "p")})
	c.Done(0, &old, breaker.Failed)
	assert.Equal(t, c.Work(0, 0).Work[presence.KeyOf(placed.Endpoint.ID)].Running, 1, "the old placement must not be subtracted from the new process")
	held := c.states[again.ID].cache.prefix(0, keysOf(prompt("doc", "p").Parts))
	assert.Equal(t, held, 3)
}

// Guards against an endpoint that broke a connection as it stopped as planned and is taken
// for one that crashed.
func TestStoppingEndpointHasEntry(t *testing.T) {
	c := newCore(t, 1, 3)
	entry, known := c.view.Find("server-00")
	assert.Assert(t, known)
	assert.Assert(t, c.IsInService(entry) && c.HasEntry(entry))

	view := endpoints.New()
	draining := entry
	draining.IsDraining = true
	view.Apply(0, []endpoints.Entry{draining}, nil)
	c.SetView(view.View())
	assert.Assert(t, !c.IsInService(entry) && c.HasEntry(entry))

	restarted := entry
	restarted.StartedAt++
	view.Apply(0, []endpoints.Entry{restarted}, nil)
	c.SetView(view.View())
	assert.Assert(t, !c.HasEntry(entry), "another process has the entry")

	p := &Placement{Endpoint: entry}
	c.RecordNotice(0, p, notice.Notice{IsLeaving: true})
	assert.Assert(t, !c.IsInService(entry) && c.HasEntry(entry))
}

package config

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianhead/core/version/resource"
)

func newCore(seed uint64) configCore { return New(seed) }

// withoutMonotonicCheck puts the last State in force and treats any head as confirmed.
type withoutMonotonicCheck struct{ Core }

func (v *withoutMonotonicCheck) Step(event Event) {
	switch e := event.(type) {
	case StoreHead:
		e.IsConfirmed = true
		v.Core.Step(e)
	case State:
		v.Core.Step(e)
		v.latest = resource.NewSnapshot(e.Revision, e.Objects)
	default:
		v.Core.Step(event)
	}
}

func (v *withoutMonotonicCheck) Ready() Ready {
	ready := v.Core.Ready()
	if ready.IsReady && v.latest != v.published {
		ready.Snapshot = v.latest
	}
	return ready
}

// startsFromAnyPeer starts from the first revision that a peer reports.
type startsFromAnyPeer struct{ Core }

func (v *startsFromAnyPeer) Step(event Event) {
	if peer, ok := event.(PeerHead); ok && peer.Revision > 0 {
		v.Core.Step(StoreHead{Revision: peer.Revision, IsConfirmed: true})
	}
	v.Core.Step(event)
}

// startsFromHighestPeer starts from the highest revision that the peers report.
type startsFromHighestPeer struct {
	Core
	reported map[string]resource.Revision
}

func (v *startsFromHighestPeer) Step(event Event) {
	if peer, ok := event.(PeerHead); ok && !v.isConfirmed {
		v.reported[peer.Instance] = peer.Revision
		if len(v.reported) == 3 {
			highest := resource.Revision(0)
			for _, revision := range v.reported {
				highest = max(highest, revision)
			}
			v.Core.Step(StoreHead{Revision: highest, IsConfirmed: true})
		}
	}
	v.Core.Step(event)
}

func applyRandomAction(t *rapid.T, sim *simulation) {
	length := time.Duration(rapid.IntRange(1, 40).Draw(t, "length")) * tickLength
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0:
		sim.acceptChanges(rapid.IntRange(1, 20).Draw(t, "changes"))
	case 1:
		sim.restart()
	case 2:
		sim.pausedUntil = sim.now + length
	case 3:
		sim.storeDownUntil = sim.now + length
	case 4:
		sim.peersCutUntil = sim.now + length
	case 5:
		sim.staleUntil = sim.now + length
	case 6:
		sim.answersLostUntil = sim.now + length
	case 7:
		sim.isReordering = !sim.isReordering
	case 8:
		sim.clockSkew += time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "skew")) * time.Second
	}
	sim.run(length)
}

// findViolation runs random schedules of a variant and returns the first violation, or "".
func findViolation(makeRouter func(uint64) configCore, seeds int) string {
	for seed := range seeds {
		sim := newSimulation(uint64(seed), makeRouter)
		for range 30 {
			sim.acceptChanges(sim.random.IntN(3))
			sim.run(time.Duration(1+sim.random.IntN(8)) * tickLength)
			switch sim.random.IntN(4) {
			case 0:
				sim.restart()
				sim.storeDownUntil = sim.now + 10*time.Second
			case 1:
				sim.staleUntil = sim.now + 5*time.Second
			}
			sim.run(5 * time.Second)
			if sim.violation != "" {
				return sim.violation
			}
		}
	}
	return ""
}

// Guards against a test harness that detects no violation: it must see variants of
// the core without safety checks fall back to an older revision.
func TestNaiveVariantsDetected(t *testing.T) {
	variants := []struct {
		name string
		make func(uint64) configCore
	}{
		{"poll without a monotonic check", func(seed uint64) configCore { return &withoutMonotonicCheck{*New(seed)} }},
		{"empty start from any peer", func(seed uint64) configCore { return &startsFromAnyPeer{*New(seed)} }},
		{"empty start from the highest of the peers", func(seed uint64) configCore {
			return &startsFromHighestPeer{*New(seed), make(map[string]resource.Revision)}
		}},
	}
	for _, variant := range variants {
		t.Run(variant.name, func(t *testing.T) {
			violation := findViolation(variant.make, 200)
			t.Logf("violation: %s", violation)
			assert.Assert(t, violation != "", "the harness does not detect the violation")
		})
	}
	assert.Equal(t, findViolation(newCore, 200), "")
}

// Guards against a revision that decreases under faults, and against a router
// that stays behind the head after all faults have ended.
func TestRevisionMonotonicAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), newCore)
		for range rapid.IntRange(1, 30).Draw(t, "actions") {
			applyRandomAction(t, sim)
			assert.Equal(t, sim.violation, "")
		}
		sim.clearFaults()
		sim.run(catchUpTimeout)
		assert.Equal(t, sim.violation, "")
		assert.Equal(t, sim.router.InForce(), sim.head())
	})
}

func (sim *simulation) clearFaults() {
	sim.isReordering = false
	sim.pausedUntil, sim.storeDownUntil, sim.peersCutUntil, sim.staleUntil, sim.answersLostUntil = 0, 0, 0, 0, 0
}

// catchUpTimeout is the maximum time from the end of all faults until the head is in
// force: a fetch in flight times out, the store's backoff ends, and 5 s allow for
// one fetch from a peer and one from the store.
const catchUpTimeout = FetchTimeout + MaxBackoff + 5*time.Second

func change(revision resource.Revision) resource.Object {
	return resource.Object{Kind: resource.KindModel, Name: "m", Revision: revision, Model: &resource.Model{}}
}

// Guards against an empty router that serves an outdated revision from a peer or
// from a stale read of the store.
func TestNotReadyBeforeConfirmedHead(t *testing.T) {
	core := New(1)
	core.Step(PeerHead{Instance: "p", Revision: 3})
	core.Step(State{Revision: 3, Objects: []resource.Object{change(3)}})
	core.Step(StoreHead{Revision: 3})
	assert.Assert(t, core.Ready().Snapshot == nil)
	assert.Assert(t, !core.Ready().IsReady)

	core.Step(StoreHead{Revision: 4, IsConfirmed: true})
	assert.Assert(t, !core.Ready().IsReady, "the received revision is below the confirmed head")
	core.Step(Changes{Objects: []resource.Object{change(4)}})
	assert.Assert(t, core.Ready().IsReady)
	core.Advance()
	assert.Equal(t, core.InForce(), resource.Revision(4))
}

// Guards against a configuration that lacks a change because a revision was skipped.
func TestChangesWithGapNotApplied(t *testing.T) {
	core := New(1)
	core.Step(StoreHead{IsConfirmed: true})
	core.Step(Changes{Objects: []resource.Object{change(2)}})
	core.Advance()
	assert.Equal(t, core.InForce(), resource.Revision(0))
	core.Step(Changes{Objects: []resource.Object{change(1), change(2), change(4)}})
	core.Advance()
	assert.Equal(t, core.InForce(), resource.Revision(2))
}

// Guards against waiting for a source that does not answer, and against a late
// answer that ends the fetch from the next source.
func TestFetchTimeoutSwitchesSource(t *testing.T) {
	core := New(1)
	core.Step(StoreHead{Revision: 2, IsConfirmed: true})
	core.Step(PeerHead{Instance: "p", Revision: 2})
	first := core.Ready().Fetch
	assert.Equal(t, first.Source, SourcePeer)
	core.Advance()
	assert.Assert(t, core.Ready().Fetch == nil, "one fetch at a time")

	start := time.Unix(0, 0)
	core.Step(Tick{At: start})
	core.Step(Tick{At: start.Add(FetchTimeout)})
	second := core.Ready().Fetch
	assert.Equal(t, second.Source, SourceStore)
	core.Advance()
	core.Step(Changes{Fetch: first.ID, Objects: []resource.Object{change(1)}})
	core.Step(FetchFailed{Fetch: first.ID})
	assert.Assert(t, core.Ready().Fetch == nil, "a late answer does not end the fetch in flight")
	core.Step(Changes{Fetch: second.ID, Objects: []resource.Object{change(2)}})
	core.Advance()
	assert.Equal(t, core.InForce(), resource.Revision(2))
}

// Guards against load peaks on the store when many empty routers start together.
func TestEmptyStartJitter(t *testing.T) {
	start := time.Unix(0, 0)
	fetchesPerTenth := make(map[time.Duration]int)
	for seed := range uint64(100) {
		core := New(seed)
		core.Step(Tick{At: start})
		core.Step(StoreHead{Revision: 2, IsConfirmed: true})
		waited := time.Duration(0)
		for core.Ready().Fetch == nil {
			delay := core.Ready().MaxTickDelay
			assert.Assert(t, delay > 0 && waited+delay <= EmptyStartJitter)
			waited += delay
			core.Step(Tick{At: start.Add(waited)})
		}
		fetchesPerTenth[waited/(EmptyStartJitter/10)]++
	}
	for tenth, count := range fetchesPerTenth {
		assert.Assert(t, count < 30, "%d of 100 fetches in tenth %d of the interval", count, tenth)
	}
	core := New(1)
	core.Step(StoreHead{Revision: 2, IsConfirmed: true})
	core.Step(PeerHead{Instance: "p", Revision: 2})
	assert.Equal(t, core.Ready().Fetch.Source, SourcePeer, "a fetch from a peer is not delayed")
}

// Guards against an incomplete list of changes after some were dropped.
func TestHistoryAfterDroppedChanges(t *testing.T) {
	core := New(1)
	core.Step(StoreHead{IsConfirmed: true})
	core.Step(State{Revision: 10, Objects: []resource.Object{change(10)}})
	for revision := resource.Revision(11); revision <= 20+MaxRecentChanges; revision++ {
		core.Step(Changes{Objects: []resource.Object{change(revision)}})
	}
	core.Advance()
	history := core.History()
	changes, ok := history.After(25)
	assert.Assert(t, ok)
	assert.Equal(t, changes[0].Revision, resource.Revision(26))
	assert.Equal(t, changes[len(changes)-1].Revision, core.InForce())
	_, ok = history.After(12)
	assert.Assert(t, !ok, "revision 13 is no longer kept")
	changes, ok = history.After(core.InForce())
	assert.Assert(t, ok && len(changes) == 0)
}

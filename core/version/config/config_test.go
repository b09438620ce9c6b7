package config

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianhead/core/version/resource"
)

func newCore(seed uint64) decider { return New(seed) }

// lastAnswerWins polls without a monotonic check: what the newest answer says is in force.
type lastAnswerWins struct{ Core }

func (l *lastAnswerWins) Step(event Event) {
	switch e := event.(type) {
	case StoreHead:
		e.IsConfirmed = true
		l.Core.Step(e)
	case State:
		l.Core.Step(e)
		l.held = resource.NewSnapshot(e.Revision, e.Objects)
	default:
		l.Core.Step(event)
	}
}

func (l *lastAnswerWins) Ready() Ready {
	ready := l.Core.Ready()
	if ready.IsReady && l.held != l.published {
		ready.Snapshot = l.held
	}
	return ready
}

// anyPeerWillDo starts from the first peer that it hears of.
type anyPeerWillDo struct{ Core }

func (a *anyPeerWillDo) Step(event Event) {
	if peer, ok := event.(PeerHead); ok && peer.Revision > 0 {
		a.Core.Step(StoreHead{Revision: peer.Revision, IsConfirmed: true})
	}
	a.Core.Step(event)
}

// highestOfPeers starts from the highest of the revisions that all peers name.
type highestOfPeers struct {
	Core
	heard map[string]resource.Revision
}

func (h *highestOfPeers) Step(event Event) {
	if peer, ok := event.(PeerHead); ok && !h.isConfirmed {
		h.heard[peer.Instance] = peer.Revision
		if len(h.heard) == 3 {
			highest := resource.Revision(0)
			for _, revision := range h.heard {
				highest = max(highest, revision)
			}
			h.Core.Step(StoreHead{Revision: highest, IsConfirmed: true})
		}
	}
	h.Core.Step(event)
}

// act makes one random thing happen to a world.
func act(t *rapid.T, w *world) {
	length := time.Duration(rapid.IntRange(1, 40).Draw(t, "length")) * tickLength
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0:
		w.accept(rapid.IntRange(1, 20).Draw(t, "changes"))
	case 1:
		w.restart()
	case 2:
		w.pausedUntil = w.now + length
	case 3:
		w.storeDownUntil = w.now + length
	case 4:
		w.peersCutUntil = w.now + length
	case 5:
		w.staleUntil = w.now + length
	case 6:
		w.loseUntil = w.now + length
	case 7:
		w.isCrossing = !w.isCrossing
	case 8:
		w.skew += time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "skew")) * time.Second
	}
	w.run(length)
}

// breaks explores random histories of a variant and returns what broke, if anything.
func breaks(makeRouter func(uint64) decider, seeds int) string {
	for seed := range seeds {
		w := newWorld(uint64(seed), makeRouter)
		for range 30 {
			w.accept(w.random.IntN(3))
			w.run(time.Duration(1+w.random.IntN(8)) * tickLength)
			switch w.random.IntN(4) {
			case 0:
				w.restart()
				w.storeDownUntil = w.now + 10*time.Second
			case 1:
				w.staleUntil = w.now + 5*time.Second
			}
			w.run(5 * time.Second)
			if w.broken != "" {
				return w.broken
			}
		}
	}
	return ""
}

func TestNaiveVariantsRevert(t *testing.T) {
	variants := []struct {
		name string
		make func(uint64) decider
	}{
		{"poll without a monotonic check", func(seed uint64) decider { return &lastAnswerWins{*New(seed)} }},
		{"empty start from any peer", func(seed uint64) decider { return &anyPeerWillDo{*New(seed)} }},
		{"empty start from the highest of the peers", func(seed uint64) decider {
			return &highestOfPeers{*New(seed), make(map[string]resource.Revision)}
		}},
	}
	for _, variant := range variants {
		t.Run(variant.name, func(t *testing.T) {
			broken := breaks(variant.make, 200)
			t.Logf("found: %s", broken)
			assert.Assert(t, broken != "", "the harness does not find the fault")
		})
	}
	assert.Equal(t, breaks(newCore, 200), "")
}

func TestRevisionInForceNeverFallsAndCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), newCore)
		for range rapid.IntRange(1, 30).Draw(t, "actions") {
			act(t, w)
			assert.Equal(t, w.broken, "")
		}
		w.heal()
		w.run(catchUp)
		assert.Equal(t, w.broken, "")
		assert.Equal(t, w.router.InForce(), w.head())
	})
}

// heal ends every fault.
func (w *world) heal() {
	w.isCrossing = false
	w.pausedUntil, w.storeDownUntil, w.peersCutUntil, w.staleUntil, w.loseUntil = 0, 0, 0, 0, 0
}

// catchUp is the longest time from the end of every fault until the head is in
// force: a fetch in flight times out, the store's backoff ends, and one fetch
// from each side follows.
const catchUp = FetchTimeout + MaxBackoff + 5*time.Second

func change(revision resource.Revision) resource.Object {
	return resource.Object{Kind: resource.KindModel, Name: "m", Revision: revision, Model: &resource.Model{}}
}

func TestNothingIsInForceUntilTheStoreConfirmedTheHead(t *testing.T) {
	core := New(1)
	core.Step(PeerHead{Instance: "p", Revision: 3})
	core.Step(State{Revision: 3, Objects: []resource.Object{change(3)}})
	core.Step(StoreHead{Revision: 3})
	assert.Assert(t, core.Ready().Snapshot == nil)
	assert.Assert(t, !core.Ready().IsReady)

	core.Step(StoreHead{Revision: 4, IsConfirmed: true})
	assert.Assert(t, !core.Ready().IsReady, "the held revision is below the confirmed head")
	core.Step(Changes{Objects: []resource.Object{change(4)}})
	assert.Assert(t, core.Ready().IsReady)
	core.Advance()
	assert.Equal(t, core.InForce(), resource.Revision(4))
}

func TestChangesWithGapAreNotApplied(t *testing.T) {
	core := New(1)
	core.Step(StoreHead{IsConfirmed: true})
	core.Step(Changes{Objects: []resource.Object{change(2)}})
	core.Advance()
	assert.Equal(t, core.InForce(), resource.Revision(0))
	core.Step(Changes{Objects: []resource.Object{change(1), change(2), change(4)}})
	core.Advance()
	assert.Equal(t, core.InForce(), resource.Revision(2))
}

func TestFailedSourceIsLeftForAnother(t *testing.T) {
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

func TestHistoryAnswersWithChangesOrNotAtAll(t *testing.T) {
	core := New(1)
	core.Step(StoreHead{IsConfirmed: true})
	core.Step(State{Revision: 10, Objects: []resource.Object{change(10)}})
	for revision := resource.Revision(11); revision <= 20+RecentChanges; revision++ {
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

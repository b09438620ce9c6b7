package isolation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/version/resource"
)

// rule is what the Core and the naive variants have in common.
type rule interface {
	Step(Event)
	IsIsolated() bool
}

// storeOnly is isolated whenever it has not read the store itself for a Window.
type storeOnly struct{ readAt, now time.Time }

func (r *storeOnly) Step(event Event) {
	switch e := event.(type) {
	case StoreRead:
		r.readAt = e.SentAt
	case Tick:
		r.now = e.At
	}
}
func (r *storeOnly) IsIsolated() bool { return r.now.Sub(r.readAt) > Window }

// anyPeer is content with any peer that answers.
type anyPeer struct{ heardAt, now time.Time }

func (r *anyPeer) Step(event Event) {
	switch e := event.(type) {
	case StoreRead:
		r.heardAt = e.SentAt
	case ProbeEnded:
		if e.IsAnswered {
			r.heardAt = e.SentAt
		}
	case Tick:
		r.now = e.At
	}
}
func (r *anyPeer) IsIsolated() bool { return r.now.Sub(r.heardAt) > Window }

// noGap is the Core without a look at the time between ticks: it never sees a
// tick that comes late.
type noGap struct {
	*Core
	last   time.Time
	offset time.Duration
}

func (r *noGap) Step(event Event) {
	if e, ok := event.(Tick); ok {
		if !r.last.IsZero() && e.At.Sub(r.last) > GapLimit {
			r.offset += e.At.Sub(r.last) - time.Second
		}
		r.last = e.At
		e.At = e.At.Add(-r.offset)
		event = e
	}
	r.Core.Step(event)
}

var start = time.Unix(1_700_000_000, 0)

// play feeds a rule for d: three probes a second, of which every answered-th is
// answered (0: none), and a read of the store each second if storeUp. It returns
// how long after its beginning the rule last let work pass.
func play(r rule, from time.Time, d time.Duration, answered int, storeUp bool) time.Duration {
	last := time.Duration(-1)
	probes := 0
	for elapsed := time.Duration(0); elapsed < d; elapsed += 100 * time.Millisecond {
		at := from.Add(elapsed)
		if elapsed%time.Second == 0 && storeUp {
			r.Step(StoreRead{SentAt: at, Revision: 1})
		}
		if elapsed%(300*time.Millisecond) == 0 {
			probes++
			r.Step(ProbeEnded{SentAt: at, IsAnswered: answered > 0 && probes%answered == 0, Revision: 1, StoreAge: -1})
		}
		r.Step(Tick{At: at, InForce: 1})
		if !r.IsIsolated() {
			last = elapsed
		}
	}
	return last
}

const outage = time.Hour

func stopsWhenCutOffWithOneOther(r rule) bool {
	play(r, start, 20*time.Second, 1, true)
	return play(r, start.Add(20*time.Second), outage, 6, false) <= Bound
}

func worksThroughAnOutageOfTheStore(r rule) bool {
	play(r, start, 20*time.Second, 1, true)
	return play(r, start.Add(20*time.Second), outage, 1, false) > outage-time.Second
}

// refreshesAfterAPause lets a minute pass in which the router does not run.
func refreshesAfterAPause(r rule) bool {
	play(r, start, 20*time.Second, 1, true)
	resumed := start.Add(80 * time.Second)
	r.Step(Tick{At: resumed, InForce: 1})
	isolatedAtOnce := r.IsIsolated()
	r.Step(StoreRead{SentAt: resumed.Add(10 * time.Millisecond), Revision: 2})
	r.Step(ListRead{SentAt: resumed.Add(10 * time.Millisecond)})
	r.Step(Tick{At: resumed.Add(100 * time.Millisecond), InForce: 1})
	waitsForRevision := r.IsIsolated()
	r.Step(Tick{At: resumed.Add(200 * time.Millisecond), InForce: 2})
	return isolatedAtOnce && waitsForRevision && !r.IsIsolated()
}

func TestTheRuleHoldsWhereNaiveOnesFail(t *testing.T) {
	scenarios := []struct {
		name  string
		holds func(rule) bool
		naive rule
	}{
		{"cut off with one other", stopsWhenCutOffWithOneOther, &anyPeer{}},
		{"outage of the store", worksThroughAnOutageOfTheStore, &storeOnly{}},
		{"pause", refreshesAfterAPause, &noGap{Core: New()}},
	}
	for _, s := range scenarios {
		assert.Assert(t, !s.holds(s.naive), "%s: the naive rule should fail", s.name)
		assert.Assert(t, s.holds(New()), s.name)
	}
}

func TestAReadThatAPeerVouchesForCounts(t *testing.T) {
	c := New()
	at := start
	c.Step(Tick{At: at})
	c.Step(ProbeEnded{SentAt: at.Add(time.Second), IsAnswered: true, Revision: 1, StoreAge: time.Second})
	c.Step(Tick{At: at.Add(time.Second), InForce: 1})
	assert.Assert(t, !c.IsIsolated())
	assert.Equal(t, c.StoreAge(at.Add(time.Second)), time.Second)
}

func TestAClockThatJumpsIsolatesUntilRefreshed(t *testing.T) {
	for _, jump := range []time.Duration{-time.Hour, time.Hour} {
		c := New()
		play(c, start, 20*time.Second, 1, true)
		assert.Assert(t, !c.IsIsolated())
		at := start.Add(20*time.Second + jump)
		c.Step(Tick{At: at, InForce: 1})
		assert.Assert(t, c.IsIsolated())
		c.Step(StoreRead{SentAt: at.Add(time.Millisecond), Revision: 1})
		c.Step(ProbeEnded{SentAt: at.Add(time.Millisecond), IsAnswered: true, StoreAge: -1})
		c.Step(Tick{At: at.Add(100 * time.Millisecond), InForce: 1})
		assert.Assert(t, !c.IsIsolated())
	}
}

func TestARevisionThatWasHeardMustBeInForceFirst(t *testing.T) {
	c := New()
	c.Step(StoreRead{SentAt: start, Revision: 7})
	c.Step(ListRead{SentAt: start})
	c.Step(Tick{At: start, InForce: 6})
	assert.Assert(t, c.IsIsolated())
	c.Step(Tick{At: start, InForce: resource.Revision(7)})
	assert.Assert(t, !c.IsIsolated())
}

func TestARouterWaitsForAPeerThatTellsWhichEndpointsAreWithdrawn(t *testing.T) {
	c := New()
	c.Step(Tick{At: start})
	c.Step(StoreRead{SentAt: start, Revision: 1})
	c.Step(ListRead{SentAt: start, HasPeers: true})
	c.Step(Tick{At: start.Add(time.Second), InForce: 1})
	assert.Assert(t, c.IsIsolated())
	c.Step(ProbeEnded{SentAt: start.Add(time.Second), IsAnswered: true, StoreAge: -1})
	c.Step(Tick{At: start.Add(time.Second), InForce: 1})
	assert.Assert(t, !c.IsIsolated())
}

// A router that has just started must not take its first peer's word for all that
// was withdrawn if that peer was cut off itself.
func TestPeerOutOfTouchDoesNotInform(t *testing.T) {
	start := time.Unix(1000, 0)
	core := New()
	core.Step(Tick{At: start})
	core.Step(StoreRead{SentAt: start.Add(100 * time.Millisecond)})
	core.Step(ProbeEnded{SentAt: start.Add(100 * time.Millisecond), IsAnswered: true, IsOutOfTouch: true, StoreAge: -1})
	core.Step(Tick{At: start.Add(200 * time.Millisecond)})
	assert.Assert(t, core.IsIsolated())
	core.Step(ProbeEnded{SentAt: start.Add(300 * time.Millisecond), IsAnswered: true, StoreAge: -1})
	core.Step(Tick{At: start.Add(400 * time.Millisecond)})
	assert.Assert(t, !core.IsIsolated())
}

package isolation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/version/resource"
)

// rule is implemented by the Core and by the naive variants.
type rule interface {
	Step(Event)
	IsIsolated() bool
}

// storeOnly is isolated if it has not read the store itself within ContactWindow.
type storeOnly struct{ readAt, now time.Time }

func (r *storeOnly) Step(event Event) {
	switch e := event.(type) {
	case StoreRead:
		r.readAt = e.SentAt
	case Tick:
		r.now = e.At
	}
}
func (r *storeOnly) IsIsolated() bool { return r.now.Sub(r.readAt) > ContactWindow }

// anyPeer accepts any single peer's answer as contact.
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
func (r *anyPeer) IsIsolated() bool { return r.now.Sub(r.heardAt) > ContactWindow }

// noGapDetection is the Core without detection of late ticks: it hides the gap
// between ticks from the Core.
type noGapDetection struct {
	*Core
	last   time.Time
	offset time.Duration
}

func (r *noGapDetection) Step(event Event) {
	if e, ok := event.(Tick); ok {
		if !r.last.IsZero() && e.At.Sub(r.last) > MaxTickGap {
			r.offset += e.At.Sub(r.last) - time.Second
		}
		r.last = e.At
		e.At = e.At.Add(-r.offset)
		event = e
	}
	r.Core.Step(event)
}

var start = time.Unix(1_700_000_000, 0)

// simulate passes events to a rule for d: a probe every 300 ms, of which one in
// answerEvery is answered (0: none), and a store read every second if storeUp. It
// returns the last time, relative to from, at which the rule was not isolated.
func simulate(r rule, from time.Time, d time.Duration, answerEvery int, storeUp bool) time.Duration {
	last := time.Duration(-1)
	probes := 0
	for elapsed := time.Duration(0); elapsed < d; elapsed += 100 * time.Millisecond {
		at := from.Add(elapsed)
		if elapsed%time.Second == 0 && storeUp {
			r.Step(StoreRead{SentAt: at, Revision: 1})
		}
		if elapsed%(300*time.Millisecond) == 0 {
			probes++
			r.Step(ProbeEnded{SentAt: at, IsAnswered: answerEvery > 0 && probes%answerEvery == 0, Revision: 1, StoreAge: -1})
		}
		r.Step(Tick{At: at, InForce: 1})
		if !r.IsIsolated() {
			last = elapsed
		}
	}
	return last
}

const outage = time.Hour

func isolatesWhenPartitionedWithOnePeer(r rule) bool {
	simulate(r, start, 20*time.Second, 1, true)
	return simulate(r, start.Add(20*time.Second), outage, 6, false) <= MaxSendAfterContact
}

func worksDuringStoreOutage(r rule) bool {
	simulate(r, start, 20*time.Second, 1, true)
	return simulate(r, start.Add(20*time.Second), outage, 1, false) > outage-time.Second
}

// recoversAfterPause pauses the router for a minute.
func recoversAfterPause(r rule) bool {
	simulate(r, start, 20*time.Second, 1, true)
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

// Guards against a router that sends work while partitioned or right after a pause,
// or stops during a store outage. Each scenario breaks a simpler rule.
func TestIsolationNaiveRules(t *testing.T) {
	scenarios := []struct {
		name  string
		holds func(rule) bool
		naive rule
	}{
		{"partitioned with one peer", isolatesWhenPartitionedWithOnePeer, &anyPeer{}},
		{"store outage", worksDuringStoreOutage, &storeOnly{}},
		{"pause", recoversAfterPause, &noGapDetection{Core: New()}},
	}
	for _, s := range scenarios {
		assert.Assert(t, !s.holds(s.naive), "%s: the naive rule should fail", s.name)
		assert.Assert(t, s.holds(New()), s.name)
	}
}

// Guards against isolation of a router that can't read the store itself while a
// peer reports a recent read.
func TestIsolationStoreReadByPeer(t *testing.T) {
	c := New()
	at := start
	c.Step(Tick{At: at})
	c.Step(ProbeEnded{SentAt: at.Add(time.Second), IsAnswered: true, Revision: 1, StoreAge: time.Second})
	c.Step(Tick{At: at.Add(time.Second), InForce: 1})
	assert.Assert(t, !c.IsIsolated())
	assert.Equal(t, c.StoreAge(at.Add(time.Second)), time.Second)
}

// Guards against outdated contact after the clock jumps back or forward: the
// router stays isolated until it makes contact again.
func TestIsolationClockJump(t *testing.T) {
	for _, jump := range []time.Duration{-time.Hour, time.Hour} {
		c := New()
		simulate(c, start, 20*time.Second, 1, true)
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

// Guards against a router that accepts work with an older configuration than the
// latest revision reported to it.
func TestIsolationRevisionNotInForce(t *testing.T) {
	c := New()
	c.Step(StoreRead{SentAt: start, Revision: 7})
	c.Step(ListRead{SentAt: start})
	c.Step(Tick{At: start, InForce: 6})
	assert.Assert(t, c.IsIsolated())
	c.Step(Tick{At: start, InForce: resource.Revision(7)})
	assert.Assert(t, !c.IsIsolated())
}

// Guards against a starting router that sends work to withdrawn endpoints, because
// no peer has reported yet which endpoints refused work.
func TestIsolationWaitsForPeer(t *testing.T) {
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

// Guards against a starting router that relies on the withdrawals reported by a
// peer that was partitioned itself.
func TestIsolationPeerOutOfTouch(t *testing.T) {
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

package reservation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianhead/core/process/membership"
)

var start = time.Unix(1e9, 0)

func engineNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("engine-%d", i)
	}
	return names
}

// newServingObserver returns an observer with these routers registered.
func newServingObserver(engines int, options Options, routers ...string) *Observer {
	o := NewObserver(PoolID{Model: "m"}, options)
	o.SetEngines(start, engineNames(engines), engines)
	o.SetRouters(routers)
	for _, router := range routers {
		o.Register(start, Registration{Router: router, Incarnation: 1})
	}
	return o
}

func (o *Observer) reserve(now time.Time, router string, seq, chat uint64) Decision {
	return o.Reserve(now, &Request{Router: router, Incarnation: 1, Seq: seq, Chat: chat, Account: "a"})
}

// A repeated request must not count as a second grant.
func TestReserveRepeatedSeq(t *testing.T) {
	o := newServingObserver(12, Options{Bound: 1.25}, "r")
	first := o.reserve(start, "r", 1, 1)
	assert.Equal(t, first.Verdict, Granted)
	assert.Equal(t, o.reserve(start, "r", 1, 1), first)
	assert.Equal(t, o.total, 1)
}

// A request that is delivered after its release must not hold a grant that nobody
// releases.
func TestReserveAfterRelease(t *testing.T) {
	o := newServingObserver(12, Options{Bound: 1.25}, "r")
	o.Release(start, Release{Router: "r", Incarnation: 1, Seqs: []uint64{1}})
	assert.Equal(t, o.reserve(start, "r", 1, 1).Verdict, RefusedBound)
	assert.Equal(t, o.total, 0)
}

// A new observer must not grant while routers may still be registered with the
// former one.
func TestReserveMissingRegistration(t *testing.T) {
	o := NewObserver(PoolID{Model: "m"}, Options{Bound: 1.25})
	o.SetEngines(start, engineNames(12), 12)
	o.SetRouters([]string{"r", "s"})
	assert.Equal(t, o.reserve(start, "r", 1, 1).Verdict, Unregistered)
	o.Register(start, Registration{Router: "r", Incarnation: 1})
	assert.Equal(t, o.reserve(start, "r", 1, 1).Verdict, NotServing)
	o.Register(start, Registration{Router: "s", Incarnation: 1, Grants: []Grant{{Seq: 7, Engine: "engine-3", Account: "b"}}})
	assert.Equal(t, o.reserve(start, "r", 2, 1).Verdict, Granted)
	assert.Equal(t, o.total, 2)
}

// An observer must not grant after a live router moved to another observer.
func TestReserveRouterLeft(t *testing.T) {
	o := newServingObserver(12, Options{Bound: 1.25}, "r", "s")
	o.Release(start, Release{Router: "s", Incarnation: 1, IsLeaving: true})
	assert.Equal(t, o.reserve(start, "r", 1, 1).Verdict, NotServing)
	o.SetRouters([]string{"r"})
	assert.Equal(t, o.reserve(start, "r", 2, 1).Verdict, Granted)
}

// Grants of a silent router may have ended: they count as load of their engines,
// but must not raise the mean.
func TestCapsSilentRouter(t *testing.T) {
	o := newServingObserver(12, Options{Bound: 1.25}, "r", "s")
	for seq := range uint64(48) {
		assert.Equal(t, o.reserve(start, "s", seq+1, seq+1).Verdict, Granted)
	}
	before := o.caps(start).hard
	o.Tick(start.Add(suspectAfter(2) + 1))
	assert.Assert(t, o.caps(start).hard < before)
	assert.Equal(t, o.total, 48)
	o.Tick(start.Add(Lease + 1))
	assert.Equal(t, o.total, 0)
}

// One account must not take the capacity of the others when engines are full.
func TestReserveAccountAboveShare(t *testing.T) {
	o := newServingObserver(4, Options{Bound: 1.25}, "r")
	for _, name := range engineNames(4) {
		o.Report(name, 0, 10)
	}
	ask := func(seq uint64, account string) Decision {
		return o.Reserve(start, &Request{Router: "r", Incarnation: 1, Seq: seq, Chat: seq, Account: account})
	}
	ask(1000, "calm")
	granted := 0
	for seq := range uint64(40) {
		decision := ask(seq+1, "surging")
		if decision.Verdict == Granted {
			granted++
			continue
		}
		assert.Equal(t, decision.Verdict, RefusedShare)
		assert.Assert(t, decision.RetryAfter > 0)
	}
	// Any account may use 40 slots divided by the bound: 32, one of which the other
	// account holds.
	assert.Equal(t, granted, 31)
	assert.Equal(t, ask(2000, "calm").Verdict, Granted)
}

// A joining engine has no load and must not receive all new requests at once.
func TestReserveJoiningEngine(t *testing.T) {
	o := newServingObserver(11, Options{Bound: 1.25}, "r")
	for seq := range uint64(110) {
		assert.Equal(t, o.reserve(start, "r", seq+1, seq+1).Verdict, Granted)
	}
	joined := start.Add(time.Minute)
	o.SetEngines(joined, engineNames(12), 12)
	for seq := range uint64(30) {
		o.reserve(joined.Add(time.Second), "r", seq+1000, seq+1000)
	}
	assert.Assert(t, o.byName["engine-11"].load <= 2, "load %d", o.byName["engine-11"].load)
}

// An engine that leaves briefly and rejoins must keep its own chats and take none
// of the others.
func TestReserveRejoinedEngine(t *testing.T) {
	o := newServingObserver(12, Options{Bound: 1.5, ReuseWeight: 1}, "r")
	homes := map[uint64]string{}
	for chat := uint64(1); chat <= 200; chat++ {
		homes[chat] = o.reserve(start, "r", chat, chat).Engine
		o.Release(start, Release{Router: "r", Incarnation: 1, Seqs: []uint64{chat}})
	}
	o.SetEngines(start.Add(time.Second), engineNames(11), 11)
	o.SetEngines(start.Add(10*time.Second), engineNames(12), 12)
	now := start.Add(20 * time.Second)
	for chat, home := range homes {
		assert.Equal(t, o.reserve(now, "r", 1000+chat, chat).Engine, home)
		o.Release(now, Release{Router: "r", Incarnation: 1, Seqs: []uint64{1000 + chat}})
	}
}

// A chat evicted from an engine's cache must no longer prefer that engine; events
// of other engines must not remove it.
func TestForgetChat(t *testing.T) {
	o := newServingObserver(12, Options{Bound: 1.5, ReuseWeight: 1}, "r")
	home := o.reserve(start, "r", 1, 9).Engine
	o.Forget("engine-x", 9)
	assert.Equal(t, o.chatEngines.Get(9).name, home)
	o.Forget(home, 9)
	assert.Assert(t, o.chatEngines.Get(9) == nil)
}

// Random sequences of events must keep an observer's counts equal to a plain list
// of grants.
func TestObserverRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newServingObserver(8, Options{Bound: 1.25}, "r", "s")
		now := start
		granted := map[string]map[uint64]string{"r": {}, "s": {}}
		seq := uint64(0)
		router := rapid.SampledFrom([]string{"r", "s"})
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				seq++
				who := router.Draw(t, "router")
				if d := o.reserve(now, who, seq, rapid.Uint64Range(1, 20).Draw(t, "chat")); d.Verdict == Granted {
					granted[who][seq] = d.Engine
				}
			},
			"release": func(t *rapid.T) {
				who := router.Draw(t, "router")
				which := rapid.Uint64Range(0, seq+1).Draw(t, "seq")
				o.Release(now, Release{Router: who, Incarnation: 1, Seqs: []uint64{which}})
				delete(granted[who], which)
			},
			"register": func(t *rapid.T) {
				who := router.Draw(t, "router")
				registration := Registration{Router: who, Incarnation: 1}
				for held, engine := range granted[who] {
					registration.Grants = append(registration.Grants, Grant{Seq: held, Engine: engine, Account: "a"})
				}
				o.Register(now, registration)
			},
			"engines": func(t *rapid.T) {
				now = now.Add(time.Millisecond)
				o.SetEngines(now, engineNames(rapid.IntRange(6, 9).Draw(t, "engines")), 8)
			},
			"": func(t *rapid.T) {
				loads := map[string]int{}
				total := 0
				for _, held := range granted {
					for _, engine := range held {
						loads[engine]++
					}
				}
				o.Loads(func(name string, load int) {
					assert.Equal(t, load, loads[name], name)
					total += load
				})
				assert.Equal(t, o.total, total)
			},
		})
	})
}

// Pools must be spread evenly, and the removal of one router must move few pools
// of the others.
func TestAssignRouterRemoved(t *testing.T) {
	view := &membership.View{}
	for i := range 40 {
		view.Routers = append(view.Routers, membership.Router{Instance: fmt.Sprintf("router-%02d", i)})
	}
	var ids []PoolID
	for i := range 30 {
		ids = append(ids, PoolID{Model: "m", Index: i})
	}
	before := Assign(view, ids)
	taken := map[string]int{}
	for _, id := range ids {
		taken[before.First(id).Instance]++
	}
	for name, count := range taken {
		assert.Equal(t, count, 1, name)
	}
	gone := before.First(ids[0]).Instance
	after := &membership.View{}
	for _, router := range view.Routers {
		if router.Instance != gone {
			after.Routers = append(after.Routers, router)
		}
	}
	moved := 0
	second := Assign(after, ids)
	for _, id := range ids {
		if second.First(id).Instance != before.First(id).Instance {
			moved++
		}
	}
	assert.Assert(t, moved <= 6, "%d of 30 pools moved", moved)
}

func BenchmarkReserve(b *testing.B) {
	for _, engines := range []int{12, 157, 1100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			o := newServingObserver(engines, Options{Bound: 1.25, ReuseWeight: 0.8}, "r")
			request := &Request{Router: "r", Incarnation: 1, Account: "a"}
			release := Release{Router: "r", Incarnation: 1, Seqs: make([]uint64, 1)}
			inFlight := uint64(8 * engines)
			step := func(i uint64) {
				request.Seq, request.Chat = i, i%10_000+1
				if o.Reserve(start, request).Verdict != Granted {
					b.Fatal("not granted")
				}
				if i > inFlight {
					release.Seqs[0] = i - inFlight
					o.Release(start, release)
				}
			}
			for i := range uint64(40_000) {
				step(i + 1)
			}
			b.ReportAllocs()
			next := uint64(40_000)
			for b.Loop() {
				next++
				step(next)
			}
		})
	}
}

package config

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianhead/core/version/resource"
)

// decider is the core, or a naive variant of it.
type decider interface {
	Step(Event)
	Ready() Ready
	Advance()
	InForce() resource.Revision
}

// step is a point of the protocol at which a test injects a fault.
type step string

const (
	stepReadHead    step = "read head"
	stepConfirmHead step = "confirm head"
	stepFetch       step = "fetch changes"
	stepApply       step = "apply"
	stepPublish     step = "publish"
)

const (
	tickLength   = 250 * time.Millisecond
	pollInterval = time.Second
)

// delivery is an event under way to the router.
type delivery struct {
	at    time.Duration
	event Event
}

// world is a store, three peers and one router under test in virtual time. The
// configuration at revision r is the first r changes of the log.
type world struct {
	random  *rand.Rand
	make    func(seed uint64) decider
	router  decider
	now     time.Duration
	skew    time.Duration
	log     []resource.Object
	peers   []resource.Revision
	inbox   []delivery
	highest resource.Revision
	broken  string
	// at, when set, is called as the router reaches a step.
	at func(step)

	pausedUntil, storeDownUntil, peersCutUntil, staleUntil, loseUntil time.Duration
	isCrossing                                                        bool
}

func newWorld(seed uint64, makeRouter func(uint64) decider) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), make: makeRouter, peers: make([]resource.Revision, 3)}
	w.accept(5)
	w.restart()
	return w
}

// restart is an empty start of the router; what was under way to it is gone.
func (w *world) restart() {
	w.router = w.make(w.random.Uint64())
	w.inbox = nil
}

func (w *world) accept(changes int) {
	for range changes {
		revision := resource.Revision(len(w.log) + 1)
		w.log = append(w.log, resource.Object{
			Kind: resource.KindModel, Name: fmt.Sprintf("m%d", revision%4), Revision: revision,
			Model: &resource.Model{LoadBound: float64(revision)},
		})
	}
}

func (w *world) head() resource.Revision {
	return resource.Revision(len(w.log))
}

func (w *world) reach(s step) {
	if w.at != nil {
		w.at(s)
	}
}

func (w *world) send(event Event) {
	latency := time.Duration(w.random.IntN(400)) * time.Millisecond
	if w.isCrossing {
		latency += time.Duration(w.random.IntN(6)) * time.Second
	}
	w.inbox = append(w.inbox, delivery{w.now + latency, event})
}

// run lets time pass, in longer ticks while the store is down for long.
func (w *world) run(length time.Duration) {
	for end := w.now + length; w.now < end; w.now += w.tick() {
		if w.now%pollInterval == 0 {
			w.movePeers()
			w.poll()
		}
		if w.now >= w.pausedUntil {
			w.deliver()
		}
	}
}

func (w *world) tick() time.Duration {
	if w.storeDownUntil-w.now > time.Minute && w.now%pollInterval == 0 {
		return 10 * pollInterval
	}
	return tickLength
}

// movePeers lets each peer that reaches the store or another peer catch up now and then.
func (w *world) movePeers() {
	for i := range w.peers {
		if w.now >= w.storeDownUntil && w.random.IntN(3) == 0 {
			w.peers[i] = w.head()
		}
		if w.now >= w.peersCutUntil && w.now >= w.pausedUntil {
			w.send(PeerHead{Instance: fmt.Sprint(i), Revision: w.peers[i]})
		}
	}
}

func (w *world) poll() {
	if w.now < w.pausedUntil {
		return
	}
	w.reach(stepReadHead)
	if w.now < w.storeDownUntil {
		return
	}
	if w.now < w.staleUntil {
		w.send(StoreHead{Revision: resource.Revision(w.random.IntN(len(w.log) + 1))})
		return
	}
	w.reach(stepConfirmHead)
	if w.now < w.storeDownUntil || w.now < w.pausedUntil {
		return
	}
	w.send(StoreHead{Revision: w.head(), IsConfirmed: true})
}

func (w *world) deliver() {
	due := w.inbox
	w.inbox = nil
	for _, d := range due {
		if d.at > w.now {
			w.inbox = append(w.inbox, d)
			continue
		}
		router := w.router
		w.reach(stepApply)
		if router != w.router {
			return
		}
		w.step(d.event)
	}
	w.step(Tick{At: time.Unix(0, 0).Add(w.now + w.skew)})
}

func (w *world) step(event Event) {
	w.router.Step(event)
	ready := w.router.Ready()
	if ready.Snapshot != nil {
		router := w.router
		w.reach(stepPublish)
		if router != w.router {
			return
		}
	}
	w.router.Advance()
	w.check(ready.Snapshot)
	if ready.Fetch != nil {
		w.reach(stepFetch)
		w.answer(*ready.Fetch)
	}
}

// check holds the promise: no lower revision, also over an empty start, and
// exactly the log's content.
func (w *world) check(published *resource.Snapshot) {
	if published == nil {
		return
	}
	if published.Revision() < w.highest {
		w.broken = fmt.Sprintf("revision fell from %d to %d at %s", w.highest, published.Revision(), w.now)
	}
	w.highest = max(w.highest, published.Revision())
	want := resource.NewSnapshot(published.Revision(), w.log[:published.Revision()])
	for _, o := range want.List("") {
		if got, _ := published.Get(o.Kind, o.Name); got.Revision != o.Revision {
			w.broken = fmt.Sprintf("at revision %d %s is from %d, not %d", published.Revision(), o.Name, got.Revision, o.Revision)
		}
	}
}

func (w *world) answer(fetch Fetch) {
	if w.now < w.loseUntil {
		return
	}
	have := w.head()
	if fetch.Source == SourcePeer {
		if w.now < w.peersCutUntil {
			return
		}
		have = w.peers[int(fetch.Instance[0]-'0')]
	} else if w.now < w.storeDownUntil {
		w.send(FetchFailed{Fetch: fetch.ID})
		return
	} else if w.now < w.staleUntil {
		have = resource.Revision(w.random.IntN(len(w.log) + 1))
	}
	switch {
	case w.random.IntN(2) == 0:
		w.send(State{Fetch: fetch.ID, Revision: have, Objects: w.log[:have]})
	case have <= fetch.After:
		w.send(Changes{Fetch: fetch.ID})
	default:
		w.send(Changes{Fetch: fetch.ID, Objects: w.log[fetch.After:have]})
	}
}

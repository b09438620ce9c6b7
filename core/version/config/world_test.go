package config

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianhead/core/version/resource"
)

// configCore is implemented by Core and its naive variants.
type configCore interface {
	Step(Event)
	Ready() Ready
	Advance()
	InForce() resource.Revision
}

// step is a protocol step at which tests inject faults.
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

// delivery is an event in flight to the router.
type delivery struct {
	at    time.Duration
	event Event
}

// simulation runs a store, three peers and the router under test in virtual time.
// The configuration at revision r is the first r changes of the log.
type simulation struct {
	random           *rand.Rand
	make             func(seed uint64) configCore
	router           configCore
	now              time.Duration
	clockSkew        time.Duration
	log              []resource.Object
	peers            []resource.Revision
	inbox            []delivery
	highestPublished resource.Revision
	violation        string
	// at, when set, is called when the router reaches a step.
	at func(step)

	pausedUntil, storeDownUntil, peersCutUntil, staleUntil, answersLostUntil time.Duration
	isReordering                                                             bool
}

func newSimulation(seed uint64, makeRouter func(uint64) configCore) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), make: makeRouter, peers: make([]resource.Revision, 3)}
	sim.acceptChanges(5)
	sim.restart()
	return sim
}

// restart replaces the router by an empty one and drops its events in flight.
func (sim *simulation) restart() {
	sim.router = sim.make(sim.random.Uint64())
	sim.inbox = nil
}

func (sim *simulation) acceptChanges(changes int) {
	for range changes {
		revision := resource.Revision(len(sim.log) + 1)
		sim.log = append(sim.log, resource.Object{
			Kind: resource.KindModel, Name: fmt.Sprintf("m%d", revision%4), Revision: revision,
			Model: &resource.Model{LoadBound: float64(revision)},
		})
	}
}

func (sim *simulation) head() resource.Revision {
	return resource.Revision(len(sim.log))
}

func (sim *simulation) reachStep(s step) {
	if sim.at != nil {
		sim.at(s)
	}
}

func (sim *simulation) send(event Event) {
	latency := time.Duration(sim.random.IntN(400)) * time.Millisecond
	if sim.isReordering {
		latency += time.Duration(sim.random.IntN(6)) * time.Second
	}
	sim.inbox = append(sim.inbox, delivery{sim.now + latency, event})
}

// run advances the virtual time, with longer ticks during a long store outage.
func (sim *simulation) run(length time.Duration) {
	for end := sim.now + length; sim.now < end; sim.now += sim.tick() {
		if sim.now%pollInterval == 0 {
			sim.updatePeers()
			sim.poll()
		}
		if sim.now >= sim.pausedUntil {
			sim.deliver()
		}
	}
}

func (sim *simulation) tick() time.Duration {
	if sim.storeDownUntil-sim.now > time.Minute && sim.now%pollInterval == 0 {
		return 10 * pollInterval
	}
	return tickLength
}

// updatePeers updates random peers from the store and reports their revisions.
func (sim *simulation) updatePeers() {
	for i := range sim.peers {
		if sim.now >= sim.storeDownUntil && sim.random.IntN(3) == 0 {
			sim.peers[i] = sim.head()
		}
		if sim.now >= sim.peersCutUntil && sim.now >= sim.pausedUntil {
			sim.send(PeerHead{Instance: fmt.Sprint(i), Revision: sim.peers[i]})
		}
	}
}

// poll reads the head and confirms it.
func (sim *simulation) poll() {
	if sim.now < sim.pausedUntil {
		return
	}
	sim.reachStep(stepReadHead)
	if sim.now < sim.storeDownUntil {
		return
	}
	if sim.now < sim.staleUntil {
		sim.send(StoreHead{Revision: resource.Revision(sim.random.IntN(len(sim.log) + 1))})
		return
	}
	sim.reachStep(stepConfirmHead)
	if sim.now < sim.storeDownUntil || sim.now < sim.pausedUntil {
		return
	}
	sim.send(StoreHead{Revision: sim.head(), IsConfirmed: true})
}

func (sim *simulation) deliver() {
	due := sim.inbox
	sim.inbox = nil
	for _, d := range due {
		if d.at > sim.now {
			sim.inbox = append(sim.inbox, d)
			continue
		}
		router := sim.router
		sim.reachStep(stepApply)
		if router != sim.router {
			return
		}
		sim.step(d.event)
	}
	sim.step(Tick{At: time.Unix(0, 0).Add(sim.now + sim.clockSkew)})
}

func (sim *simulation) step(event Event) {
	sim.router.Step(event)
	ready := sim.router.Ready()
	if ready.Snapshot != nil {
		router := sim.router
		sim.reachStep(stepPublish)
		if router != sim.router {
			return
		}
	}
	sim.router.Advance()
	sim.checkPublished(ready.Snapshot)
	if ready.Fetch != nil {
		sim.reachStep(stepFetch)
		sim.answer(*ready.Fetch)
	}
}

// checkPublished verifies that the published revision never decreases, also across
// restarts, and that its content matches the log.
func (sim *simulation) checkPublished(published *resource.Snapshot) {
	if published == nil {
		return
	}
	if published.Revision() < sim.highestPublished {
		sim.violation = fmt.Sprintf("revision decreased from %d to %d at %s", sim.highestPublished, published.Revision(), sim.now)
	}
	sim.highestPublished = max(sim.highestPublished, published.Revision())
	want := resource.NewSnapshot(published.Revision(), sim.log[:published.Revision()])
	for _, o := range want.List("") {
		if got, _ := published.Get(o.Kind, o.Name); got.Revision != o.Revision {
			sim.violation = fmt.Sprintf("at revision %d, %s has revision %d, want %d", published.Revision(), o.Name, got.Revision, o.Revision)
		}
	}
}

// answer answers a fetch unless a fault prevents it.
func (sim *simulation) answer(fetch Fetch) {
	if sim.now < sim.answersLostUntil {
		return
	}
	have := sim.head()
	if fetch.Source == SourcePeer {
		if sim.now < sim.peersCutUntil {
			return
		}
		have = sim.peers[int(fetch.Instance[0]-'0')]
	} else if sim.now < sim.storeDownUntil {
		sim.send(FetchFailed{Fetch: fetch.ID})
		return
	} else if sim.now < sim.staleUntil {
		have = resource.Revision(sim.random.IntN(len(sim.log) + 1))
	}
	switch {
	case sim.random.IntN(2) == 0:
		sim.send(State{Fetch: fetch.ID, Revision: have, Objects: sim.log[:have]})
	case have <= fetch.After:
		sim.send(Changes{Fetch: fetch.ID})
	default:
		sim.send(Changes{Fetch: fetch.ID, Objects: sim.log[fetch.After:have]})
	}
}

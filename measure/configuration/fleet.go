package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianhead/core/version/config"
	"gentianhead/core/version/resource"
)

const (
	tickLength = 50 * time.Millisecond
	// headReadsPerSecond is what all routers together read of the head row once
	// there are so many that each reads it less than every second.
	headReadsPerSecond = 100
	// peerInterval is the time between two heartbeats that a router sends to a
	// peer chosen at random.
	peerInterval = time.Second
	// pushes is how many peers a router tells of a revision that came into force.
	pushes = 3
)

// member is one router of the fleet.
type member struct {
	name string
	core *config.Core
	// headAt and peerAt are the ticks within their intervals at which it acts.
	headAt, peerAt int
	inbox          []config.Event
}

// fleet drives many configuration cores in virtual time. An answer arrives one
// tick after its question.
type fleet struct {
	random   *rand.Rand
	members  []*member
	log      []resource.Object
	tick     int
	usePeers bool
	counts   counts
}

// counts are the calls since they were last reset.
type counts struct {
	headReads, storeScans, storeStates, peerFetches int
}

func newFleet(routers int, seed uint64, usePeers bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, uint64(routers))), usePeers: usePeers}
	f.start(routers)
	return f
}

// start adds routers that are empty.
func (f *fleet) start(routers int) {
	for range routers {
		f.members = append(f.members, &member{
			name:   fmt.Sprint(len(f.members)),
			core:   config.New(f.random.Uint64()),
			headAt: f.random.IntN(headTicks(routers)),
			peerAt: f.random.IntN(int(peerInterval / tickLength)),
		})
	}
}

// headTicks is how many ticks lie between two reads of the head row by one
// router of a fleet.
func headTicks(routers int) int {
	interval := max(time.Second, time.Duration(routers)*time.Second/headReadsPerSecond)
	return int(interval / tickLength)
}

func (f *fleet) head() resource.Revision {
	return resource.Revision(len(f.log))
}

// accept makes changes, which one router learns of at once: it wrote them.
func (f *fleet) accept(changes int) {
	for range changes {
		revision := f.head() + 1
		f.log = append(f.log, resource.Object{
			Kind: resource.KindModel, Name: fmt.Sprintf("m%d", revision%23), Revision: revision, Model: &resource.Model{},
		})
	}
	writer := f.members[f.random.IntN(len(f.members))]
	writer.inbox = append(writer.inbox, config.StoreHead{Revision: f.head()})
}

// run lets one tick pass.
func (f *fleet) run() {
	f.tick++
	for i, m := range f.members {
		f.heartbeat(i, m)
		isReady := m.core.IsReady()
		if f.tick%headTicks(len(f.members)) == m.headAt || (!isReady && f.tick%int(time.Second/tickLength) == m.peerAt) {
			f.counts.headReads++
			m.inbox = append(m.inbox, config.StoreHead{Revision: f.head(), IsConfirmed: !isReady})
		}
	}
	for _, m := range f.members {
		f.step(m)
	}
}

func (f *fleet) heartbeat(i int, m *member) {
	if !f.usePeers || f.tick%int(peerInterval/tickLength) != m.peerAt || len(f.members) < 2 {
		return
	}
	j := (i + 1 + f.random.IntN(len(f.members)-1)) % len(f.members)
	peer := f.members[j]
	peer.inbox = append(peer.inbox, config.PeerHead{Instance: m.name, Revision: m.core.InForce()})
	m.inbox = append(m.inbox, config.PeerHead{Instance: peer.name, Revision: peer.core.InForce()})
}

// push tells some peers of the revision that came into force on m.
func (f *fleet) push(m *member) {
	for range pushes {
		peer := f.members[f.random.IntN(len(f.members))]
		if peer != m {
			peer.inbox = append(peer.inbox, config.PeerHead{Instance: m.name, Revision: m.core.InForce()})
		}
	}
}

func (f *fleet) step(m *member) {
	events := m.inbox
	m.inbox = nil
	m.core.Step(config.Tick{At: time.Unix(0, 0).Add(time.Duration(f.tick) * tickLength)})
	for _, event := range events {
		m.core.Step(event)
	}
	ready := m.core.Ready()
	m.core.Advance()
	if ready.Snapshot != nil && f.usePeers {
		f.push(m)
	}
	if ready.Fetch != nil {
		m.inbox = append(m.inbox, f.answer(*ready.Fetch))
	}
}

func (f *fleet) answer(fetch config.Fetch) config.Event {
	if fetch.Source == config.SourcePeer {
		f.counts.peerFetches++
		return f.answerOfPeer(fetch)
	}
	if fetch.After == 0 {
		f.counts.storeStates++
		return config.State{Fetch: fetch.ID, Revision: f.head(), Objects: f.log}
	}
	f.counts.storeScans++
	return config.Changes{Fetch: fetch.ID, Objects: f.log[fetch.After:]}
}

func (f *fleet) answerOfPeer(fetch config.Fetch) config.Event {
	var number int
	if _, err := fmt.Sscan(fetch.Instance, &number); err != nil {
		panic(err)
	}
	history := f.members[number].core.History()
	if changes, ok := history.After(fetch.After); ok {
		return config.Changes{Fetch: fetch.ID, Objects: changes}
	}
	snapshot := history.Snapshot()
	return config.State{Fetch: fetch.ID, Revision: snapshot.Revision(), Objects: snapshot.List("")}
}

// spread runs until the head is in force on every router, and returns how long
// that took for each of them.
func (f *fleet) spread() []time.Duration {
	began := f.tick
	took := make([]time.Duration, len(f.members))
	for missing := len(f.members); missing > 0; {
		f.run()
		missing = 0
		for i, m := range f.members {
			switch {
			case m.core.InForce() < f.head():
				missing++
			case took[i] == 0:
				took[i] = time.Duration(f.tick-began) * tickLength
			}
		}
	}
	return took
}

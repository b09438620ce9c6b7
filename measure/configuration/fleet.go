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
	// headReadsPerSecond limits the head row reads of the whole fleet: with more
	// routers than this, each reads it less than once a second.
	headReadsPerSecond = 100
	// peerInterval is the time between a router's heartbeats, each to a random peer.
	peerInterval = time.Second
	// pushFanout is the number of peers that push notifies.
	pushFanout = 3
)

type member struct {
	name string
	core *config.Core
	// headOffset and heartbeatOffset are the ticks of the head read and of the
	// heartbeat within their intervals.
	headOffset, heartbeatOffset int
	// startedAt is the tick after which the router was added.
	startedAt int
	inbox     []config.Event
}

// fleet drives many configuration cores in virtual time. A response arrives one
// tick after its request.
type fleet struct {
	random   *rand.Rand
	members  []*member
	log      []resource.Object
	tick     int
	usePeers bool
	counts   counts
}

// counts holds the number of calls since the latest reset.
type counts struct {
	headReads, storeScans, storeStates, peerFetches int
}

func newFleet(routers int, seed uint64, usePeers bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, uint64(routers))), usePeers: usePeers}
	f.start(routers)
	return f
}

// start adds routers without a configuration, which read the head on their first
// tick and then every second until they are ready.
func (f *fleet) start(routers int) {
	for range routers {
		f.members = append(f.members, &member{
			name:            fmt.Sprint(len(f.members)),
			core:            config.New(f.random.Uint64()),
			startedAt:       f.tick,
			headOffset:      f.random.IntN(headTicks(routers)),
			heartbeatOffset: f.random.IntN(int(peerInterval / tickLength)),
		})
	}
}

// headTicks returns the number of ticks between two head row reads of one router.
func headTicks(routers int) int {
	interval := max(time.Second, time.Duration(routers)*time.Second/headReadsPerSecond)
	return int(interval / tickLength)
}

func (f *fleet) head() resource.Revision {
	return resource.Revision(len(f.log))
}

// appendChanges adds changes to the log. One router, the writer, gets the new head
// immediately.
func (f *fleet) appendChanges(changes int) {
	for range changes {
		revision := f.head() + 1
		f.log = append(f.log, resource.Object{
			Kind: resource.KindModel, Name: fmt.Sprintf("m%d", revision%23), Revision: revision, Model: &resource.Model{},
		})
	}
	writer := f.members[f.random.IntN(len(f.members))]
	writer.inbox = append(writer.inbox, config.StoreHead{Revision: f.head()})
}

func (f *fleet) runTick() {
	f.tick++
	for i, m := range f.members {
		f.heartbeat(i, m)
		isReady := m.core.IsReady()
		if f.tick%headTicks(len(f.members)) == m.headOffset || (!isReady && (f.tick-m.startedAt)%int(time.Second/tickLength) == 1) {
			f.counts.headReads++
			m.inbox = append(m.inbox, config.StoreHead{Revision: f.head(), IsConfirmed: !isReady})
		}
	}
	for _, m := range f.members {
		f.step(m)
	}
}

func (f *fleet) heartbeat(i int, m *member) {
	if !f.usePeers || f.tick%int(peerInterval/tickLength) != m.heartbeatOffset || len(f.members) < 2 {
		return
	}
	j := (i + 1 + f.random.IntN(len(f.members)-1)) % len(f.members)
	peer := f.members[j]
	peer.inbox = append(peer.inbox, config.PeerHead{Instance: m.name, Revision: m.core.InForce()})
	m.inbox = append(m.inbox, config.PeerHead{Instance: peer.name, Revision: peer.core.InForce()})
}

// push notifies random peers of the revision that came into force on m.
func (f *fleet) push(m *member) {
	for range pushFanout {
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
		m.inbox = append(m.inbox, f.fetchResult(*ready.Fetch))
	}
}

func (f *fleet) fetchResult(fetch config.Fetch) config.Event {
	if fetch.Source == config.SourcePeer {
		f.counts.peerFetches++
		return f.peerResult(fetch)
	}
	if fetch.After == 0 {
		f.counts.storeStates++
		return config.State{Fetch: fetch.ID, Revision: f.head(), Objects: f.log}
	}
	f.counts.storeScans++
	return config.Changes{Fetch: fetch.ID, Objects: f.log[fetch.After:]}
}

func (f *fleet) peerResult(fetch config.Fetch) config.Event {
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

// runUntilInForce returns the time that each router took to put the head in force.
func (f *fleet) runUntilInForce() []time.Duration {
	start := f.tick
	latencies := make([]time.Duration, len(f.members))
	for missing := len(f.members); missing > 0; {
		f.runTick()
		missing = 0
		for i, m := range f.members {
			switch {
			case m.core.InForce() < f.head():
				missing++
			case latencies[i] == 0:
				latencies[i] = time.Duration(f.tick-start) * tickLength
			}
		}
	}
	return latencies
}

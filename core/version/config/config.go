// Package config decides which configuration revision a router has in force,
// and where it fetches what it lacks.
//
// The core is a state machine without I/O, clock or goroutine: the owner passes
// events to Step, carries out what Ready returns, and calls Advance. Only the
// router's control goroutine may use a Core.
//
// Invariants, whatever order events arrive in:
//   - the revision in force never falls;
//   - a router that started empty puts nothing in force below the head revision
//     that the store confirmed after the start, even if every peer is lower.
package config

import (
	"math/rand/v2"
	"time"

	"gentianhead/core/version/resource"
)

const (
	// FetchTimeout is how long a fetch may take before another source is asked.
	FetchTimeout = 3 * time.Second
	// FirstBackoff and MaxBackoff bound the wait before a source that failed is
	// asked again; the wait doubles with each failure in a row.
	FirstBackoff = 250 * time.Millisecond
	MaxBackoff   = 5 * time.Second
	// PeerHeadLife is how long the revision of a peer is remembered.
	PeerHeadLife = time.Minute
	// PeerFailuresBeforeStore is how many fetches from peers may fail in a row
	// before the store is asked first.
	PeerFailuresBeforeStore = 2
)

// peerHead is the newest revision heard from a peer.
type peerHead struct {
	revision resource.Revision
	heardAt  time.Duration
}

// flight is the fetch that is under way.
type flight struct {
	fetch    Fetch
	deadline time.Duration
}

// Core holds the configuration of one router.
type Core struct {
	random *rand.Rand
	// elapsed is the sum of the forward steps between ticks.
	elapsed  time.Duration
	lastTick time.Time

	// held is the newest configuration received. It is not in force until the
	// core is ready.
	held      *resource.Snapshot
	recent    []resource.Object
	published *resource.Snapshot

	isConfirmed bool
	// floor is the first head revision that the store confirmed.
	floor resource.Revision

	storeHead resource.Revision
	peers     map[string]peerHead
	// bestPeer is the highest revision in peers, and expiredAt the time at which
	// old ones were last dropped.
	bestPeer     resource.Revision
	expiredAt    time.Duration
	backoffs     map[sourceKey]backoff
	peerFailures int
	flight       *flight
	next         *Fetch
	lastID       FetchID
}

// New returns a core with nothing in force. The seed spreads the fetches of
// different routers over their peers.
func New(seed uint64) *Core {
	empty := resource.NewSnapshot(0, nil)
	return &Core{
		random:    rand.New(rand.NewPCG(seed, 0)),
		held:      empty,
		published: empty,
		peers:     make(map[string]peerHead),
		backoffs:  make(map[sourceKey]backoff),
	}
}

// InForce returns the revision in force.
func (c *Core) InForce() resource.Revision {
	return c.published.Revision()
}

// Snapshot returns the configuration in force.
func (c *Core) Snapshot() *resource.Snapshot {
	return c.published
}

// History returns what is in force with the newest changes that led there.
func (c *Core) History() *History {
	return newHistory(c.published, c.recent)
}

// IsReady says that the router may serve. Once true it stays true.
func (c *Core) IsReady() bool {
	return c.isConfirmed && c.held.Revision() >= c.floor
}

// Step takes one event in.
func (c *Core) Step(event Event) {
	switch e := event.(type) {
	case StoreHead:
		c.stepStoreHead(e)
	case PeerHead:
		c.peers[e.Instance] = peerHead{revision: e.Revision, heardAt: c.elapsed}
		c.bestPeer = max(c.bestPeer, e.Revision)
	case Changes:
		c.land(e.Fetch, c.applyChanges(e.Objects))
	case State:
		c.land(e.Fetch, c.applyState(e))
	case FetchFailed:
		c.land(e.Fetch, false)
	case Tick:
		c.stepTick(e.At)
	}
	c.plan()
}

func (c *Core) stepStoreHead(e StoreHead) {
	c.storeHead = max(c.storeHead, e.Revision)
	if e.IsConfirmed && !c.isConfirmed {
		c.isConfirmed = true
		c.floor = e.Revision
	}
}

func (c *Core) stepTick(at time.Time) {
	if step := at.Sub(c.lastTick); step > 0 && !c.lastTick.IsZero() {
		c.elapsed += step
	}
	c.lastTick = at
	if c.elapsed-c.expiredAt >= PeerHeadLife/4 {
		c.expirePeers()
	}
	if c.flight != nil && c.elapsed >= c.flight.deadline {
		c.land(c.flight.fetch.ID, false)
	}
}

// expirePeers forgets peers that were not heard of for long.
func (c *Core) expirePeers() {
	c.expiredAt = c.elapsed
	c.bestPeer = 0
	for instance, head := range c.peers {
		if c.elapsed-head.heardAt > PeerHeadLife {
			delete(c.peers, instance)
			delete(c.backoffs, sourceKey{SourcePeer, instance})
			continue
		}
		c.bestPeer = max(c.bestPeer, head.revision)
	}
}

// applyChanges skips what is held already, stops at the first gap and reports
// whether the held revision rose.
func (c *Core) applyChanges(changes []resource.Object) bool {
	before := c.held.Revision()
	next := before
	var usable []resource.Object
	for _, change := range changes {
		if change.Revision <= next {
			continue
		}
		if change.Revision != next+1 {
			break
		}
		next = change.Revision
		usable = append(usable, change)
	}
	c.held, _ = c.held.Apply(usable)
	c.recent = appendRecent(c.recent, usable)
	return c.held.Revision() > before
}

// applyState takes a whole configuration unless it is older than the one held.
func (c *Core) applyState(state State) bool {
	if state.Revision <= c.held.Revision() {
		return false
	}
	c.held = resource.NewSnapshot(state.Revision, state.Objects)
	c.recent = nil
	return true
}

// Ready returns what is to be done.
func (c *Core) Ready() Ready {
	ready := Ready{IsReady: c.IsReady(), Fetch: c.next, TickWithin: c.tickWithin()}
	if ready.IsReady && c.held.Revision() > c.published.Revision() {
		ready.Snapshot = c.held
	}
	return ready
}

// Advance tells the core that the last Ready was carried out: its snapshot is
// published and its fetch is under way.
func (c *Core) Advance() {
	if c.IsReady() {
		c.published = c.held
	}
	if c.next != nil {
		c.flight = &flight{fetch: *c.next, deadline: c.elapsed + FetchTimeout}
		c.next = nil
	}
}

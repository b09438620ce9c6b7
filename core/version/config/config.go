// Package config decides which configuration revision is in force on a router,
// and from where the router fetches missing changes.
//
// The core is a state machine without I/O, clock or goroutine: the owner passes
// events to Step, carries out what Ready returns, and calls Advance. Only the
// router's control goroutine may use a Core.
//
// Invariants for any order of events:
//   - the revision in force never decreases;
//   - a router that starts empty puts no revision in force below the head that
//     the store confirmed after the start, even if every peer is behind.
package config

import (
	"math/rand/v2"
	"time"

	"gentianhead/core/version/resource"
)

const (
	// FetchTimeout is the time limit of a fetch, after which another source is tried.
	FetchTimeout = 3 * time.Second
	// InitialBackoff and MaxBackoff bound the delay before a failed source is
	// retried; the delay doubles with each consecutive failure.
	InitialBackoff = 250 * time.Millisecond
	// MaxBackoff is the maximum delay before a failed source is retried.
	MaxBackoff = 5 * time.Second
	// PeerHeadTTL is how long the reported revision of a peer is kept.
	PeerHeadTTL = time.Minute
	// EmptyStartJitter bounds the random delay of an empty router's first fetch from
	// the store if no peer can answer, so that routers that start together can fetch
	// from the first of them.
	EmptyStartJitter = time.Second
	// PeerFailuresBeforeStore is the number of consecutive failed fetches from
	// peers after which the store is tried first.
	PeerFailuresBeforeStore = 2
)

// peerHead is the latest revision reported by a peer.
type peerHead struct {
	revision   resource.Revision
	receivedAt time.Duration
}

type inFlight struct {
	fetch    Fetch
	deadline time.Duration
}

// Core holds the configuration of one router.
type Core struct {
	random *rand.Rand
	// elapsed is the total time between ticks, without backward clock steps.
	elapsed  time.Duration
	lastTick time.Time

	// latest is the newest configuration received, recent its latest changes, and
	// published the one in force: latest once the core is ready.
	latest    *resource.Snapshot
	recent    []resource.Object
	published *resource.Snapshot

	isConfirmed bool
	// confirmedHead is the first head revision that the store confirmed.
	confirmedHead resource.Revision

	storeHead resource.Revision
	peers     map[string]peerHead
	// highestPeerRevision is the highest revision that peers reported. It decreases
	// only when stale entries are removed, last at lastExpiry.
	highestPeerRevision resource.Revision
	lastExpiry          time.Duration
	backoffs            map[sourceKey]backoff
	peerFailures        int
	// storeAllowedAt is when an empty core may first fetch from the store.
	storeAllowedAt time.Duration
	inFlight       *inFlight
	next           *Fetch
	lastID         FetchID
}

// New returns an empty core. The seed randomizes the delay of its first fetch from
// the store and its choice of peers.
func New(seed uint64) *Core {
	empty := resource.NewSnapshot(0, nil)
	random := rand.New(rand.NewPCG(seed, 0))
	return &Core{
		random:         random,
		storeAllowedAt: time.Duration(random.Int64N(int64(EmptyStartJitter))),
		latest:         empty,
		published:      empty,
		peers:          make(map[string]peerHead),
		backoffs:       make(map[sourceKey]backoff),
	}
}

// InForce returns the revision of the configuration in force; zero is the empty one.
func (c *Core) InForce() resource.Revision {
	return c.published.Revision()
}

// Snapshot returns the configuration in force.
func (c *Core) Snapshot() *resource.Snapshot {
	return c.published
}

// History returns the configuration in force with its latest changes.
func (c *Core) History() *History {
	return newHistory(c.published, c.recent)
}

// IsReady reports whether the router may serve. Once true it stays true.
func (c *Core) IsReady() bool {
	return c.isConfirmed && c.latest.Revision() >= c.confirmedHead
}

// Step handles an event and plans the next fetch. Ready then returns the actions.
func (c *Core) Step(event Event) {
	switch e := event.(type) {
	case StoreHead:
		c.handleStoreHead(e)
	case PeerHead:
		c.peers[e.Instance] = peerHead{revision: e.Revision, receivedAt: c.elapsed}
		c.highestPeerRevision = max(c.highestPeerRevision, e.Revision)
	case Changes:
		c.finishFetch(e.Fetch, c.applyChanges(e.Objects))
	case State:
		c.finishFetch(e.Fetch, c.applyState(e))
	case FetchFailed:
		c.finishFetch(e.Fetch, false)
	case Tick:
		c.handleTick(e.At)
	}
	c.planFetch()
}

func (c *Core) handleStoreHead(e StoreHead) {
	c.storeHead = max(c.storeHead, e.Revision)
	if e.IsConfirmed && !c.isConfirmed {
		c.isConfirmed = true
		c.confirmedHead = e.Revision
	}
}

func (c *Core) handleTick(at time.Time) {
	if step := at.Sub(c.lastTick); step > 0 && !c.lastTick.IsZero() {
		c.elapsed += step
	}
	c.lastTick = at
	if c.elapsed-c.lastExpiry >= PeerHeadTTL/4 {
		c.expirePeers()
	}
	if c.inFlight != nil && c.elapsed >= c.inFlight.deadline {
		c.finishFetch(c.inFlight.fetch.ID, false)
	}
}

// expirePeers removes peers without a report during PeerHeadTTL.
func (c *Core) expirePeers() {
	c.lastExpiry = c.elapsed
	c.highestPeerRevision = 0
	for instance, head := range c.peers {
		if c.elapsed-head.receivedAt > PeerHeadTTL {
			delete(c.peers, instance)
			delete(c.backoffs, sourceKey{SourcePeer, instance})
			continue
		}
		c.highestPeerRevision = max(c.highestPeerRevision, head.revision)
	}
}

// applyChanges skips changes already applied, stops at the first gap and reports
// whether the revision increased.
func (c *Core) applyChanges(changes []resource.Object) bool {
	before := c.latest.Revision()
	next := before
	var applicable []resource.Object
	for _, change := range changes {
		if change.Revision <= next {
			continue
		}
		if change.Revision != next+1 {
			break
		}
		next = change.Revision
		applicable = append(applicable, change)
	}
	c.latest, _ = c.latest.Apply(applicable)
	c.recent = appendRecent(c.recent, applicable)
	return c.latest.Revision() > before
}

// applyState replaces the whole configuration if state is newer.
func (c *Core) applyState(state State) bool {
	if state.Revision <= c.latest.Revision() {
		return false
	}
	c.latest = resource.NewSnapshot(state.Revision, state.Objects)
	c.recent = nil
	return true
}

// Ready returns the pending actions.
func (c *Core) Ready() Ready {
	ready := Ready{IsReady: c.IsReady(), Fetch: c.next, MaxTickDelay: c.maxTickDelay()}
	if ready.IsReady && c.latest.Revision() > c.published.Revision() {
		ready.Snapshot = c.latest
	}
	return ready
}

// Advance records that the last Ready was carried out: its snapshot is published
// and its fetch is in flight.
func (c *Core) Advance() {
	if c.IsReady() {
		c.published = c.latest
	}
	if c.next != nil {
		c.inFlight = &inFlight{fetch: *c.next, deadline: c.elapsed + FetchTimeout}
		c.next = nil
	}
}

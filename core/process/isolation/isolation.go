// Package isolation decides whether a router still has enough contact with the
// rest of the system to send work to endpoints. A router that is cut from the
// platform and from its peers would not learn that an endpoint was withdrawn.
//
// A router has contact while the table service was read within Window, by itself
// or by a router that said so to it, or while at least half of the probes that
// it sent to random peers within Window were answered. The second way keeps the
// fleet at work when the store alone is down. Half is asked for so that a few
// routers that were cut off together do not keep each other going. Once isolated,
// two thirds of a whole Window of probes are asked for, so that a small group does
// not come back by the luck of its draws.
//
// A router that starts, or comes back from a pause or from isolation, first hears
// one peer, as peers tell which endpoints refused work. A peer that has itself been
// out of touch with its peers does not count, since it may have missed them too.
// PeerWait bounds the wait of a router that reads the store and finds no peer.
//
// Only round trips count: what a paused router finds in its receive buffers may
// be old. The core has no I/O and no clock and belongs to one goroutine.
package isolation

import (
	"time"

	"gentianhead/core/version/resource"
)

const (
	// Window is how long contact with the store or with peers counts.
	Window = 6 * time.Second
	// GapLimit is the time without a tick after which a router is isolated until
	// it has refreshed.
	GapLimit = 2 * time.Second
	// MinProbes is the fewest probes that keep a router in contact with its peers,
	// and MinProbesToReturn the fewest that end its isolation.
	MinProbes         = 3
	MinProbesToReturn = 18
	// PeerWait is how long a router with contact to the store waits for a peer
	// before it takes up work.
	PeerWait = 3 * time.Second
	// Bound is the longest that a router sends work after its last contact.
	Bound = 10 * time.Second
)

// Event is something that the core learns. The types in this file are all of them.
type Event interface{ isEvent() }

// StoreRead reports a successful read of the head row that was begun at SentAt.
type StoreRead struct {
	SentAt   time.Time
	Revision resource.Revision
}

// ProbeEnded reports how a probe of a random peer ended.
type ProbeEnded struct {
	SentAt     time.Time
	IsAnswered bool
	// IsOutOfTouch says that the peer has not reached most of its own peers lately.
	IsOutOfTouch bool
	// Revision is in force on the peer.
	Revision resource.Revision
	// StoreAge is how long before its answer the peer last had contact with the
	// store, by its own reads or by what others told it; negative means never.
	StoreAge time.Duration
}

// ListRead reports a successful read of the instance list that was begun at
// SentAt. HasPeers says whether this router knows of any other.
type ListRead struct {
	SentAt   time.Time
	HasPeers bool
}

// Tick lets time pass. InForce is the revision in force on this router.
type Tick struct {
	At      time.Time
	InForce resource.Revision
}

func (StoreRead) isEvent()  {}
func (ProbeEnded) isEvent() {}
func (ListRead) isEvent()   {}
func (Tick) isEvent()       {}

type probe struct {
	sentAt     time.Time
	isAnswered bool
}

// Core decides for one router.
type Core struct {
	lastTick time.Time
	// storeAt is the newest time at which the store is known to have been read.
	storeAt time.Time
	probes  []probe
	// known is the highest revision that any source named.
	known resource.Revision
	// refreshFrom is when contact has to begin anew; what was learned from
	// earlier calls does not count.
	refreshFrom time.Time
	// isInformed says that a peer was heard since, or that there is none.
	isInformed bool
	isIsolated bool
}

// New returns a core that is isolated until its first contact.
func New() *Core {
	return &Core{isIsolated: true}
}

// IsIsolated reports whether the router must refuse new work.
func (c *Core) IsIsolated() bool {
	return c.isIsolated
}

// StoreAge returns how long ago the store is known to have been read, or a
// negative duration when that is not known.
func (c *Core) StoreAge(at time.Time) time.Duration {
	if c.storeAt.IsZero() {
		return -1
	}
	return max(0, at.Sub(c.storeAt))
}

// IsInDoubt reports whether the router should read the store soon, because
// neither half of its peers answers nor is a recent read known.
func (c *Core) IsInDoubt(at time.Time) bool {
	return c.isIsolated || (!c.hasPeers(at) && at.Sub(c.storeAt) > Window/3)
}

// Step takes one event in.
func (c *Core) Step(event Event) {
	switch e := event.(type) {
	case StoreRead:
		c.known = max(c.known, e.Revision)
		c.learnStore(e.SentAt)
	case ProbeEnded:
		c.probes = append(c.probes, probe{e.SentAt, e.IsAnswered})
		if !e.IsAnswered {
			return
		}
		c.isInformed = c.isInformed || !e.IsOutOfTouch && !e.SentAt.Before(c.refreshFrom)
		c.known = max(c.known, e.Revision)
		if e.StoreAge >= 0 {
			c.learnStore(e.SentAt.Add(-e.StoreAge))
		}
	case ListRead:
		c.isInformed = c.isInformed || !e.HasPeers && !e.SentAt.Before(c.refreshFrom)
	case Tick:
		c.tick(e)
	}
}

func (c *Core) learnStore(at time.Time) {
	if at.After(c.storeAt) {
		c.storeAt = at
	}
}

func (c *Core) tick(e Tick) {
	if c.refreshFrom.IsZero() {
		c.refreshFrom = e.At
	}
	gap := e.At.Sub(c.lastTick)
	if !c.lastTick.IsZero() && (gap > GapLimit || gap < 0) {
		c.isolate(e.At)
	}
	c.lastTick = e.At
	c.dropOldProbes(e.At)
	hasContact := c.hasStore(e.At) || c.hasPeers(e.At)
	switch {
	case !hasContact && !c.isIsolated:
		c.isolate(e.At)
	case hasContact && e.InForce >= c.known && c.hasWaited(e.At):
		c.isIsolated = false
	}
}

func (c *Core) hasWaited(at time.Time) bool {
	return c.isInformed || at.Sub(c.refreshFrom) >= PeerWait
}

// isolate makes all contact so far count for nothing.
func (c *Core) isolate(at time.Time) {
	c.isIsolated = true
	c.isInformed = false
	c.refreshFrom = at
	c.probes = nil
	c.storeAt = time.Time{}
}

func (c *Core) dropOldProbes(at time.Time) {
	kept := c.probes[:0]
	for _, p := range c.probes {
		if age := at.Sub(p.sentAt); age <= Window && !p.sentAt.Before(c.refreshFrom) {
			kept = append(kept, p)
		}
	}
	c.probes = kept
}

func (c *Core) hasStore(at time.Time) bool {
	return !c.storeAt.IsZero() && !c.storeAt.Before(c.refreshFrom) && at.Sub(c.storeAt) <= Window
}

// IsOutOfTouch reports whether this router has not reached most of its peers
// lately, so that it may have missed what only peers tell.
func (c *Core) IsOutOfTouch(at time.Time) bool {
	sent, answered := c.recentProbes(at)
	return sent < MinProbes || 2*answered < sent
}

// hasPeers reports whether at least half of the recent probes were answered, or
// two thirds of many on a router that is isolated.
func (c *Core) hasPeers(at time.Time) bool {
	sent, answered := c.recentProbes(at)
	if c.isIsolated {
		return sent >= MinProbesToReturn && 3*answered >= 2*sent
	}
	return sent >= MinProbes && 2*answered >= sent
}

// recentProbes counts the probes within Window and those that were answered.
func (c *Core) recentProbes(at time.Time) (sent, answered int) {
	for _, p := range c.probes {
		if p.sentAt.Before(c.refreshFrom) || at.Sub(p.sentAt) > Window {
			continue
		}
		sent++
		if p.isAnswered {
			answered++
		}
	}
	return sent, answered
}

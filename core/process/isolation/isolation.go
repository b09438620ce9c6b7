// Package isolation decides whether a router still has enough contact with the
// rest of the system to send work to endpoints. A router that is partitioned from
// the platform and from its peers would not learn that an endpoint was withdrawn.
//
// A router has contact while the store was read within ContactWindow, by itself or
// by a peer that reports it, or while at least half of the probes that it
// sent to random peers within ContactWindow were answered. The second condition
// keeps the fleet working when only the store is down. Requiring half prevents a few
// routers that were partitioned together from keeping each other active. Once
// isolated, a router needs two thirds of a full ContactWindow of probes, since a
// small group could reach half by chance.
//
// A router that starts, or resumes after a pause or isolation, first waits for the
// answer of one peer, because peers report which endpoints refused work. A peer
// that has not reached most of its own peers does not count: it may have missed
// those reports too. PeerWaitTimeout limits the wait when the store can be read but
// no peer answers.
//
// Only round trips count, because a paused router's receive buffers may hold old
// data. The core has no I/O and no clock and must be used by one goroutine only.
package isolation

import (
	"time"

	"gentianhead/core/version/resource"
)

const (
	// ContactWindow is how long contact with the store or with peers remains valid.
	ContactWindow = 6 * time.Second
	// MaxTickGap is the time without a tick after which a router is isolated until
	// it has made contact again.
	MaxTickGap = 2 * time.Second
	// MinProbes is the minimum number of recent probes for contact with peers.
	MinProbes = 3
	// MinProbesToRecover is the minimum number of recent probes to end an isolation:
	// a full ContactWindow of probes at membership.ProbesPerSecond.
	MinProbesToRecover = 18
	// PeerWaitTimeout is how long a router with contact to the store waits for a
	// peer before it accepts work.
	PeerWaitTimeout = 3 * time.Second
	// MaxSendAfterContact is the maximum time for which a router sends work after its
	// last contact. Only tests use it.
	MaxSendAfterContact = 10 * time.Second
)

// Event is an input of the core: one of the types in this file.
type Event interface{ isEvent() }

// StoreRead reports a successful read of the head row that started at SentAt.
type StoreRead struct {
	SentAt   time.Time
	Revision resource.Revision
}

// ProbeEnded reports how a probe of a random peer ended.
type ProbeEnded struct {
	SentAt     time.Time
	IsAnswered bool
	// IsOutOfTouch reports that the peer has not reached most of its own peers
	// recently.
	IsOutOfTouch bool
	// Revision is the revision in force on the peer.
	Revision resource.Revision
	// StoreAge is the age of the peer's latest known store read, by itself or
	// reported by others, at the time of its answer; negative means never.
	StoreAge time.Duration
}

// ListRead reports a successful read of the instance list that started at
// SentAt. HasPeers reports whether this router knows any other router.
type ListRead struct {
	SentAt   time.Time
	HasPeers bool
}

// Tick advances the time. InForce is the revision in force on this router.
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

// Core holds the isolation state of one router.
type Core struct {
	lastTick time.Time
	// storeReadAt is the latest known read of the store.
	storeReadAt time.Time
	probes      []probe
	// highestRevision is the highest reported by any source.
	highestRevision resource.Revision
	// contactResetAt is when contact was last reset; calls that started earlier do
	// not count.
	contactResetAt time.Time
	// hasPeerState reports that a peer that is not out of touch has answered since
	// contactResetAt, or that there are no peers.
	hasPeerState bool
	isIsolated   bool
}

// New returns a core that is isolated until its first contact.
func New() *Core {
	return &Core{isIsolated: true}
}

// IsIsolated reports whether the router must refuse new work.
func (c *Core) IsIsolated() bool {
	return c.isIsolated
}

// StoreAge returns the age of the latest known read of the store, or a negative
// duration if there is none.
func (c *Core) StoreAge(at time.Time) time.Duration {
	if c.storeReadAt.IsZero() {
		return -1
	}
	return max(0, at.Sub(c.storeReadAt))
}

// IsStoreReadDue reports whether the router should read the store soon: it is
// isolated, or has no contact with peers and the latest known read is older than
// ContactWindow/3.
func (c *Core) IsStoreReadDue(at time.Time) bool {
	return c.isIsolated || (!c.hasPeerContact(at) && at.Sub(c.storeReadAt) > ContactWindow/3)
}

// Step processes one event.
func (c *Core) Step(event Event) {
	switch e := event.(type) {
	case StoreRead:
		c.highestRevision = max(c.highestRevision, e.Revision)
		c.recordStoreRead(e.SentAt)
	case ProbeEnded:
		c.probes = append(c.probes, probe{e.SentAt, e.IsAnswered})
		if !e.IsAnswered {
			return
		}
		c.hasPeerState = c.hasPeerState || !e.IsOutOfTouch && !e.SentAt.Before(c.contactResetAt)
		c.highestRevision = max(c.highestRevision, e.Revision)
		if e.StoreAge >= 0 {
			c.recordStoreRead(e.SentAt.Add(-e.StoreAge))
		}
	case ListRead:
		c.hasPeerState = c.hasPeerState || !e.HasPeers && !e.SentAt.Before(c.contactResetAt)
	case Tick:
		c.tick(e)
	}
}

func (c *Core) recordStoreRead(at time.Time) {
	if at.After(c.storeReadAt) {
		c.storeReadAt = at
	}
}

func (c *Core) tick(e Tick) {
	if c.contactResetAt.IsZero() {
		c.contactResetAt = e.At
	}
	gap := e.At.Sub(c.lastTick)
	if !c.lastTick.IsZero() && (gap > MaxTickGap || gap < 0) {
		c.isolate(e.At)
	}
	c.lastTick = e.At
	c.dropOldProbes(e.At)
	hasContact := c.hasStoreContact(e.At) || c.hasPeerContact(e.At)
	switch {
	case !hasContact && !c.isIsolated:
		c.isolate(e.At)
	case hasContact && e.InForce >= c.highestRevision && c.isPeerWaitOver(e.At):
		c.isIsolated = false
	}
}

func (c *Core) isPeerWaitOver(at time.Time) bool {
	return c.hasPeerState || at.Sub(c.contactResetAt) >= PeerWaitTimeout
}

// isolate isolates the router and discards all contact so far.
func (c *Core) isolate(at time.Time) {
	c.isIsolated = true
	c.hasPeerState = false
	c.contactResetAt = at
	c.probes = nil
	c.storeReadAt = time.Time{}
}

func (c *Core) dropOldProbes(at time.Time) {
	kept := c.probes[:0]
	for _, p := range c.probes {
		if age := at.Sub(p.sentAt); age <= ContactWindow && !p.sentAt.Before(c.contactResetAt) {
			kept = append(kept, p)
		}
	}
	c.probes = kept
}

func (c *Core) hasStoreContact(at time.Time) bool {
	return !c.storeReadAt.IsZero() && !c.storeReadAt.Before(c.contactResetAt) && at.Sub(c.storeReadAt) <= ContactWindow
}

// IsOutOfTouch reports whether this router has not reached most of its peers
// recently and may have missed state that only peers report.
func (c *Core) IsOutOfTouch(at time.Time) bool {
	sent, answered := c.recentProbes(at)
	return sent < MinProbes || 2*answered < sent
}

// hasPeerContact reports whether at least half of the recent probes were answered.
// An isolated router needs two thirds of at least MinProbesToRecover probes.
func (c *Core) hasPeerContact(at time.Time) bool {
	sent, answered := c.recentProbes(at)
	if c.isIsolated {
		return sent >= MinProbesToRecover && 3*answered >= 2*sent
	}
	return sent >= MinProbes && 2*answered >= sent
}

// recentProbes counts the probes sent within ContactWindow and those answered.
func (c *Core) recentProbes(at time.Time) (sent, answered int) {
	for _, p := range c.probes {
		if p.sentAt.Before(c.contactResetAt) || at.Sub(p.sentAt) > ContactWindow {
			continue
		}
		sent++
		if p.isAnswered {
			answered++
		}
	}
	return sent, answered
}

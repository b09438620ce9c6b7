// Package handover decides how a starting router learns which prompt parts are cached
// on which engines.
//
// Routers that crash or lose power, one or all at once, restart without this state,
// while the engines still hold the parts. Processing the parts again would take as long
// as hundreds of requests. A starting router gets the state from one that has it. If all
// routers have restarted, each queries its share of the engines and sends the result to
// the others.
//
// Routers may temporarily disagree on which routers are live. The state of an engine is
// then sent twice or not at all, which only costs time.
//
// The core has no I/O, clock or goroutine and is not safe for concurrent use. Times are
// read from a monotonic clock.
package handover

import (
	"time"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/presence"
)

// beaconWait is how long a router waits for the beacons of others before it queries
// engines. Routers answer the beacon of a new router immediately.
const beaconWait = 300 * time.Millisecond

// Core holds the state of one router.
type Core struct {
	self string
	// readyAt is when the router first had endpoints; zero before.
	readyAt time.Duration
	// hasQueried is set when this router starts to query its engines.
	hasQueried bool
	isInformed bool
	// sentTo maps peer addresses to the Start of the latest process that was sent the
	// state.
	sentTo map[string]int64
}

// New returns the core of the router with the given instance name.
func New(self string) *Core { return &Core{self: self, sentTo: make(map[string]int64)} }

// IsInformed reports whether this router has the cache state, or a live router has
// it.
func (c *Core) IsInformed() bool { return c.isInformed }

// ShouldQueryEngines reports whether this router should query its share of the
// engines. It returns true at most once. The first call, made when the router is ready,
// starts the wait for other routers.
func (c *Core) ShouldQueryEngines(now time.Duration, live []*presence.Member) bool {
	if c.isInformed || c.hasQueried {
		return false
	}
	if c.readyAt == 0 {
		c.readyAt = now
	}
	if now-c.readyAt < beaconWait {
		return false
	}
	for _, member := range live {
		if member.KnowsCaches {
			c.isInformed = true
			return false
		}
	}
	c.hasQueried = true
	return true
}

// EnginesQueried records that this router's share of the engines has been queried.
func (c *Core) EnginesQueried() { c.isInformed = true }

// IsOwnEngine reports whether an engine is in this router's share.
func (c *Core) IsOwnEngine(engine string, live []*presence.Member) bool {
	return c.isFirst(engine, live, func(*presence.Member) bool { return true })
}

// ShouldInform reports whether this router should send its state to the sender of a
// beacon. It returns true at most once for each process of the sender.
func (c *Core) ShouldInform(received presence.Beacon, live []*presence.Member) bool {
	if !c.isInformed || received.KnowsCaches || c.sentTo[received.Peer] == received.Start {
		return false
	}
	if !c.isFirst(received.Instance, live, func(m *presence.Member) bool { return m.KnowsCaches }) {
		return false
	}
	c.sentTo[received.Peer] = received.Start
	return true
}

// isFirst reports whether this router has the highest score for a key among itself and
// the live candidates.
func (c *Core) isFirst(key string, live []*presence.Member, isCandidate func(*presence.Member) bool) bool {
	own := entry.Score(key, c.self)
	for _, member := range live {
		if isCandidate(member) && entry.Score(key, member.Instance) > own {
			return false
		}
	}
	return true
}

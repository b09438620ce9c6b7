// Package staleness bounds how old a router's view of the store's tables may be, and decides
// which routers watch the store.
//
// A few routers, the watchers, poll the store for changes and pass them on, as each call
// counts against the store's rate. They also pass on until when their view is known to be
// complete, and a router with an equal view adopts that time. No router depends on a
// watcher: one whose view was not confirmed within its share of the table's bound calls the
// store itself, whatever it believes of the others.
//
// The core has no I/O, clock or goroutine and is not safe for concurrent use. Times are read
// from a clock that keeps running during suspend.
package staleness

import (
	"cmp"
	"math"
	"time"
)

// Table is a table of the store that all routers follow.
type Table uint8

// Tables.
const (
	Configuration Table = iota
	Endpoints
	tableCount
)

const (
	// MaxWatchers is how many routers watch the store. With three, one may be paused and
	// another cut off from the store.
	MaxWatchers = 3
	// watcherDelay is how long a router waits after its start before it may watch. Until
	// then it does not know the others, and if all start at once, each would watch.
	watcherDelay = 1500 * time.Millisecond
	// maxWait and waitShare limit the long-poll timeout of a watcher: waitShare is a share of
	// the table's bound, and leaseWaitShare one of the life of a lease.
	maxWait        = 800 * time.Millisecond
	waitShare      = 0.3
	leaseWaitShare = 0.18
	// limitShare is the share of a bound after which a router without a confirmation calls the
	// store. The rest is for the call, for what it brings to be in force, and for the requests
	// that were just sent. In a fleet with groups, where confirmations take more steps, routers
	// call one after the other within spreadShare, so that the first can confirm the others.
	limitShare  = 0.55
	spreadShare = 0.15
	// maxRetryInterval and retryShare limit the time between two calls for want of a
	// confirmation.
	maxRetryInterval = 500 * time.Millisecond
	retryShare       = 0.2
)

// never is a time before any confirmation.
const never = time.Duration(math.MinInt64 / 2)

// Bounds are the times within which changes must be in force. Zero means none.
type Bounds struct {
	Tables [tableCount]time.Duration
	// Lease is the life of a confirmation of secrets.
	Lease time.Duration
}

// Wait returns how long the store may hold a watcher's call for changes open.
func (b Bounds) Wait(table Table) time.Duration {
	wait := maxWait
	if bound := b.Tables[table]; bound > 0 {
		wait = min(wait, share(waitShare, bound))
	}
	if table == Configuration && b.Lease > 0 {
		wait = min(wait, share(leaseWaitShare, b.Lease))
	}
	return wait
}

func share(of float64, d time.Duration) time.Duration { return time.Duration(of * float64(d)) }

// Peer is what a live router states.
type Peer struct {
	Instance string
	LinkMbps uint32
	// HasStore reports whether the store responds to the router, and IsWatching whether it
	// watches the store and got its latest confirmations recently.
	HasStore, IsWatching bool
}

// sortsBefore reports whether a router is to watch sooner than another: faster links first,
// since all others wait for what a watcher reads, and then by name.
func (p Peer) sortsBefore(other Peer) bool {
	return cmp.Or(cmp.Compare(other.LinkMbps, p.LinkMbps), cmp.Compare(p.Instance, other.Instance)) <= 0
}

// Input is the state of the router and of its fleet.
type Input struct {
	Self   Peer
	Peers  []Peer
	Bounds Bounds
	// Turn is this router's position, from 0 to 1, among those that act one after the other.
	// It is zero in a fleet without groups.
	Turn float64
	// LeaseAge is the age of the latest confirmation of secrets, zero if there is none.
	LeaseAge time.Duration
	// IsBehind is set while another router is known to have a newer configuration. This router
	// gets it from there (package catchup); a read of the store beside that would fill a slow
	// link.
	IsBehind bool
}

// Decision is what to do now.
type Decision struct {
	IsWatcher bool
	// Read are the tables to read from the store at once.
	Read [tableCount]bool
}

// Core is the state of one router.
type Core struct {
	startedAt time.Duration
	isWatcher bool
	views     [tableCount]view
}

// view is the router's view of a table. All changes that were acknowledged until confirmedAt
// are in it, and ownAt is the same by this router's own calls.
type view struct {
	confirmedAt, ownAt, readAt time.Duration
}

// New returns the core of a router that started at a time.
func New(startedAt time.Duration) *Core {
	c := &Core{startedAt: startedAt}
	for table := range c.views {
		c.views[table] = view{confirmedAt: never, ownAt: never, readAt: never}
	}
	return c
}

// Confirm records that the view has all changes until a time, by another router.
func (c *Core) Confirm(table Table, at time.Duration) {
	v := &c.views[table]
	v.confirmedAt = max(v.confirmedAt, at)
}

// Responded records that the view has all changes until a time, by a call to the store.
func (c *Core) Responded(table Table, at time.Duration) {
	c.Confirm(table, at)
	v := &c.views[table]
	v.ownAt = max(v.ownAt, at)
}

// Failed records that a call to the store failed.
func (c *Core) Failed(table Table) { c.views[table].ownAt = never }

// Age returns the age of the view of a table, or false if it was never confirmed.
func (c *Core) Age(now time.Duration, table Table) (time.Duration, bool) {
	v := c.views[table]
	return now - v.confirmedAt, v.confirmedAt != never
}

// IsWatching reports whether others may rely on this router: it watches the store, which
// confirmed its views recently. A call that hangs confirms nothing.
func (c *Core) IsWatching(now time.Duration, bounds Bounds) bool {
	for table, v := range c.views {
		if v.ownAt == never || now-v.ownAt > bounds.limit(Table(table), 0) {
			return false
		}
	}
	return c.isWatcher
}

// limit returns the age of a view above which a router calls the store.
func (b Bounds) limit(table Table, turn float64) time.Duration {
	if b.Tables[table] == 0 {
		return math.MaxInt64
	}
	return share(limitShare+spreadShare*turn, b.Tables[table])
}

// leaseLimit is limit for the confirmation of secrets.
func (b Bounds) leaseLimit(turn float64) time.Duration {
	if b.Lease == 0 {
		return math.MaxInt64
	}
	return share(limitShare+spreadShare*turn, b.Lease)
}

// Step decides whether this router watches, and what it reads.
func (c *Core) Step(now time.Duration, in Input) Decision {
	isUnconfirmed := in.LeaseAge > in.Bounds.leaseLimit(in.Turn)
	var decision Decision
	isOverdue := isUnconfirmed
	for table := range Table(tableCount) {
		age, isConfirmed := c.Age(now, table)
		isOld := isConfirmed && age > in.Bounds.limit(table, in.Turn) && !(table == Configuration && in.IsBehind)
		isOverdue = isOverdue || isOld
		v := &c.views[table]
		if (isOld || isUnconfirmed) && now-v.readAt >= in.Bounds.retryInterval(table) {
			v.readAt = now
			decision.Read[table] = true
		}
	}
	c.isWatcher = c.shouldWatch(now, in, isOverdue)
	decision.IsWatcher = c.isWatcher
	return decision
}

func (b Bounds) retryInterval(table Table) time.Duration {
	if b.Tables[table] == 0 {
		return maxRetryInterval
	}
	return min(maxRetryInterval, share(retryShare, b.Tables[table]))
}

// shouldWatch reports whether this router watches. It does if it is among the first with
// contact to the store, or if too few of those before it are known to watch while its own
// view is overdue. It goes on until enough of those before it state that they watch: one that
// has just restarted does not yet.
func (c *Core) shouldWatch(now time.Duration, in Input, isOverdue bool) bool {
	able, watching := 0, 0
	for _, peer := range in.Peers {
		if !peer.sortsBefore(in.Self) {
			continue
		}
		if peer.HasStore {
			able++
		}
		if peer.IsWatching {
			watching++
		}
	}
	switch {
	case watching >= MaxWatchers, now-c.startedAt < watcherDelay:
		return false
	case c.isWatcher, able < MaxWatchers:
		return true
	}
	return isOverdue
}

// Rank returns how many of the peers with contact to the store sort before a router, and how
// many there are.
func Rank(self Peer, peers []Peer) (rank, others int) {
	for _, peer := range peers {
		if !peer.HasStore {
			continue
		}
		others++
		if peer.sortsBefore(self) {
			rank++
		}
	}
	return rank, others
}

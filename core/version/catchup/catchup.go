// Package catchup decides where a router gets a configuration that another one already has
// in force, and since when it lacks it.
//
// A configuration is read from the store by a few routers. The others copy it from those
// that have it, compressed, and each serves it in turn, so that no link carries it more
// than a few times. The store is the source only where no router delivers it in time.
//
// The core has no I/O, clock or goroutine and is not safe for concurrent use.
package catchup

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// pushDelay is how long a router waits for a configuration that is small enough to be
	// sent along with the news of it.
	pushDelay = 100 * time.Millisecond
	// storeDelay is how long a router that is behind uses other routers only, and
	// storeSpread the time over which routers then turn to the store.
	storeDelay  = 700 * time.Millisecond
	storeSpread = 500 * time.Millisecond
	// busyDelay is the shortest time after which a router that was busy is asked again, and
	// failedDelay that after one that could not be reached or had nothing newer.
	busyDelay   = 50 * time.Millisecond
	failedDelay = 2 * time.Second
	// behindShare is the share of the bound for a configuration to be in force after which a
	// router that is behind stops serving. The rest is for the first routers to get it, for
	// the news, and for what was just accepted.
	behindShare = 0.4
	// maxHeard limits the newer versions that are told apart. Of more, the oldest count.
	maxHeard = 64
)

// Peer is a router with the version that it states to have in force.
type Peer struct {
	Address string
	Zone    string
	Version int64
}

// Result is the outcome of a copy from another router.
type Result uint8

const (
	// Copied means that a newer configuration arrived.
	Copied Result = iota
	// Busy means that the router is serving as many copies as it may.
	Busy
	// Failed is any other outcome.
	Failed
)

// Decision is what to do now.
type Decision struct {
	// CopyFrom is the address of the router to copy from, empty for none. The caller must
	// report the result to CopyDone.
	CopyFrom string
	// ReadStore asks for a read of the store. It is set for as long as one is wanted, also
	// while a read is under way.
	ReadStore bool
}

// Core is the state of one router.
type Core struct {
	random *rand.Rand
	zone   string
	// turn is this router's share of storeSpread.
	turn time.Duration
	// heard holds versions above the router's own, ascending, with the time since which
	// another router has stated each of them or a later one.
	heard     []heard
	isCopying bool
	// retryAt is the earliest time of the next copy by address.
	retryAt map[string]time.Duration
}

type heard struct {
	version int64
	since   time.Duration
}

// New returns the core of a router in an availability zone. Routers with other seeds turn to
// the store at other times.
func New(zone string, seed uint64) *Core {
	random := rand.New(rand.NewPCG(seed, 0))
	return &Core{random: random, zone: zone, turn: time.Duration(random.Int64N(int64(storeSpread))), retryAt: make(map[string]time.Duration)}
}

// Step takes the version of this router's configuration, zero for none, and the live peers.
func (c *Core) Step(now time.Duration, own int64, peers []Peer) Decision {
	newest := own
	for _, peer := range peers {
		newest = max(newest, peer.Version)
	}
	c.hear(now, own, newest)
	since, isBehind := c.BehindSince()
	if !isBehind {
		clear(c.retryAt)
		return Decision{}
	}
	decision := Decision{ReadStore: now-since >= storeDelay+c.turn}
	copyDelay := pushDelay
	if own == 0 {
		// It is reading the store.
		copyDelay = storeDelay
	}
	if !c.isCopying && now-since >= copyDelay {
		decision.CopyFrom = c.source(now, own, newest, peers)
		c.isCopying = decision.CopyFrom != ""
	}
	return decision
}

// hear records which versions are newer than the router's own. Versions that no live router
// states any more are forgotten: a beacon may have been wrong.
func (c *Core) hear(now time.Duration, own, newest int64) {
	c.heard = slices.DeleteFunc(c.heard, func(h heard) bool { return h.version <= own || h.version > newest })
	if newest > own && (len(c.heard) == 0 || c.heard[len(c.heard)-1].version < newest) && len(c.heard) < maxHeard {
		c.heard = append(c.heard, heard{newest, now})
	}
}

// BehindSince returns since when another router is known to have a newer configuration, and
// whether one has.
func (c *Core) BehindSince() (time.Duration, bool) {
	if len(c.heard) == 0 {
		return 0, false
	}
	return c.heard[0].since, true
}

// MayServe reports whether a router that is behind since a time may still serve, where a
// configuration has to be in force within bound of its acceptance. One that may not would use
// routes, secrets and services that were withdrawn, and deny those that were added.
func MayServe(now, behindSince, bound time.Duration) bool {
	return now-behindSince < time.Duration(behindShare*float64(bound))
}

// source returns the router to copy from: one with the newest version, in this router's zone
// if there is one, or else one with any newer version.
func (c *Core) source(now time.Duration, own, newest int64, peers []Peer) string {
	var best []string
	bestRank := -1
	for _, peer := range peers {
		if peer.Version <= own || now < c.retryAt[peer.Address] {
			continue
		}
		rank := 0
		if peer.Version == newest {
			rank += 2
		}
		if peer.Zone == c.zone {
			rank++
		}
		if rank > bestRank {
			best, bestRank = nil, rank
		}
		if rank == bestRank {
			best = append(best, peer.Address)
		}
	}
	if len(best) == 0 {
		return ""
	}
	return best[c.random.IntN(len(best))]
}

// CopyDone reports the result of a copy that Step asked for.
func (c *Core) CopyDone(now time.Duration, address string, result Result) {
	c.isCopying = false
	switch result {
	case Copied:
	case Busy:
		c.retryAt[address] = now + busyDelay + time.Duration(c.random.Int64N(int64(busyDelay)))
	case Failed:
		c.retryAt[address] = now + failedDelay
	}
}

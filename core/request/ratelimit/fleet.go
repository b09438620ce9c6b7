package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/presence"
)

const (
	// minOwners is the number of owners of a limit of several requests a second.
	minOwners = 3
	// minShare is the rate in requests per second below which a limit is not divided
	// further, so that an owner without requests for a while doesn't hold up much of it.
	minShare = 0.8
	// ratePerOwner is the rate in requests per second from which a limit has more than
	// minOwners owners. With their bursts, they may send half of a second's requests at
	// once.
	ratePerOwner = 4
	// minBurst is the number of requests that an owner may send at once: with one, a token is
	// lost while an owner has no request.
	minBurst = 2
	// burstTime is the time for whose requests an owner of a larger part collects tokens.
	burstTime = 500 * time.Millisecond
	// maxTakenOver is the fraction of the parts of a limit, at least one part, that other
	// routers take over from lost ones.
	maxTakenOver = 1.0 / 3
	// lostMemory is how long a lost router counts as known.
	lostMemory = 30 * time.Second
	// coldLostMemory is lostMemory for the limits of cold endpoints. They are held over one
	// second, in any partition, and a part that lies idle costs little: others serve.
	coldLostMemory = 5 * time.Minute
	// settleTime is how long a router that has started waits until it knows the others.
	settleTime = 2 * time.Second
)

// Router is another router of the fleet.
type Router struct {
	Instance string
	// IsServing is false once the router has announced that it stops.
	IsServing bool
}

// fleet divides limits among the routers.
//
// Routers that lose each other without notice may be cut off from each other or gone. Those
// that are cut off may all be owners of one endpoint and go on. So, until lostMemory has
// passed, only routers that still see most of the fleet take over parts of lost ones, and
// maxTakenOver of each limit at most: the parts in use add up to four thirds of the rate, in
// any partition, and to twice a rate so low that it has one or two owners.
type fleet struct {
	self      string
	startedAt time.Duration
	isStarted bool
	live      map[string]Router
	// lost holds routers that stopped without notice, and when.
	lost map[string]time.Duration
	// liveHashes and lostHashes are the hashes of the other instances, own that of this one.
	// lostHashes has those lost for at most lostMemory, allLostHashes for coldLostMemory.
	liveHashes, lostHashes, allLostHashes []uint64
	own                                   uint64
	// epoch changes with these; it is never zero.
	epoch int
}

func newFleet() fleet {
	return fleet{live: make(map[string]Router), lost: make(map[string]time.Duration), epoch: 1}
}

func (f *fleet) set(now time.Duration, self string, others []Router) {
	if !f.isStarted {
		f.isStarted, f.startedAt = true, now
	}
	f.self, f.own = self, xxhash.Sum64String(self)
	live := make(map[string]Router, len(others))
	for _, router := range others {
		live[router.Instance] = router
		delete(f.lost, router.Instance)
	}
	for instance, router := range f.live {
		if _, isLive := live[instance]; !isLive && router.IsServing {
			f.lost[instance] = now
		}
	}
	f.live = live
	f.divide(now)
}

func (f *fleet) tick(now time.Duration) {
	recent := 0
	for instance, lostAt := range f.lost {
		if now-lostAt > coldLostMemory {
			delete(f.lost, instance)
		} else if now-lostAt <= lostMemory {
			recent++
		}
	}
	if recent != len(f.lostHashes) || len(f.lost) != len(f.allLostHashes) {
		f.divide(now)
	}
}

// divide updates what the division of limits depends on.
func (f *fleet) divide(now time.Duration) {
	f.epoch++
	f.liveHashes, f.lostHashes, f.allLostHashes = f.liveHashes[:0], f.lostHashes[:0], f.allLostHashes[:0]
	for instance := range f.live {
		f.liveHashes = append(f.liveHashes, xxhash.Sum64String(instance))
	}
	for instance, lostAt := range f.lost {
		hash := xxhash.Sum64String(instance)
		f.allLostHashes = append(f.allLostHashes, hash)
		if now-lostAt <= lostMemory {
			f.lostHashes = append(f.lostHashes, hash)
		}
	}
}

// settlesIn returns the time until this router takes part in limits.
func (f *fleet) settlesIn(now time.Duration) time.Duration {
	if !f.isStarted {
		return 0
	}
	return max(0, settleTime-(now-f.startedAt))
}

// owners returns the number of owners of a rate.
func (f *fleet) owners(perSecond float64) int {
	most := max(minOwners, math.Ceil(perSecond/ratePerOwner))
	owners := min(max(1, math.Ceil(perSecond/minShare)), most)
	return int(min(owners, float64(len(f.live)+len(f.lostHashes)+1)))
}

// part returns this router's part of the rate of a process, in requests per second, and its
// burst in requests. The part is zero if others own the limit.
func (f *fleet) part(process presence.Key, perSecond float64) (share float64, burst int) {
	owners := f.owners(perSecond)
	if !f.isOwner(process, owners, f.lostHashes) {
		return 0, minBurst
	}
	share = perSecond / float64(owners)
	return share, max(minBurst, int(share*burstTime.Seconds()))
}

// isOwner reports whether this router is one of the owners: the first in the rendezvous order
// of the live and the lost routers, or one of the first live ones behind them that take over
// parts of lost ones. They do so only if they see more than half of the routers that they
// knew.
func (f *fleet) isOwner(process presence.Key, owners int, lostHashes []uint64) bool {
	own := entry.Mix(uint64(process), f.own)
	var live, lost []uint64
	for _, router := range f.liveHashes {
		if score := entry.Mix(uint64(process), router); score > own {
			if live = append(live, score); len(live) == owners {
				return false
			}
		}
	}
	for _, router := range lostHashes {
		if score := entry.Mix(uint64(process), router); score > own {
			lost = append(lost, score)
		}
	}
	if len(live)+len(lost) < owners {
		return true
	}
	first := append(slices.Clone(live), lost...)
	slices.SortFunc(first, func(a, b uint64) int { return cmp.Compare(b, a) })
	lostOwners := 0
	for _, score := range first[:owners] {
		if slices.Contains(lost, score) {
			lostOwners++
		}
	}
	takenOver := min(lostOwners, max(1, int(maxTakenOver*float64(owners))))
	seesMost := len(f.live)+1 > len(lostHashes)
	return seesMost && len(live)-(owners-lostOwners) < takenOver
}

package presence

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// groupFrom is the fleet size from which routers form groups, and ungroupBelow the
	// size below which they stop. Smaller fleets send every beacon to all routers.
	groupFrom, ungroupBelow = 32, 24
	// groupHysteresis is how far, in powers of two, the best number of groups may be
	// from the current one before it changes.
	groupHysteresis = 0.75
	// GroupInterval is the beacon interval in a fleet with groups.
	GroupInterval = 250 * time.Millisecond
	// intervalPerNeighbor is the minimum interval per beacon of a round to a router with
	// a group, which limits a router to about 330 such beacons per second.
	intervalPerNeighbor = 3 * time.Millisecond
	// remoteIntervals is the number of beacon intervals without news of a router of
	// another group after which it is considered down: its group's digests come every
	// two intervals and may be lost.
	remoteIntervals = 7
	// introductionsPerTick limits the beacons to addresses that have not answered yet.
	introductionsPerTick = 64
	// probesPerRound is the number of silent routers of other groups that are sent a
	// beacon in each round, so that partitions heal.
	probesPerRound = 2
	// settleIntervals is how many beacon intervals a router collects the beacons of its
	// group before it sends digests: after its start, a pause or a change of group.
	settleIntervals = 2
)

// noGroup is the group of a router that sends its beacons to all others.
const noGroup Key = 0

// groups is the division of a large fleet. Routers of one group send each other all
// their beacons; between two groups, each router exchanges digests with a few partners.
// A round of n routers in groups of s takes s+n/s beacons per router, so groups of
// about the square root of n are the cheapest.
//
// No router has a role: each sums its own group, and a digest replaces any other of
// the same group. Partners alternate between rounds, so that the loss of one delays
// the other group's news by one round.
type groups struct {
	// exponent is the binary logarithm of the number of groups per availability zone,
	// negative while the fleet has no groups.
	exponent int
	own      Key
	// round counts the rounds of beacons; its parity selects the partners.
	round int
	// digestsFrom is when this router may send digests.
	digestsFrom time.Duration
	// heardAt is the time of the latest digest by group.
	heardAt map[Key]time.Duration
}

// groupOf returns the group of an instance in a zone that is divided into 2^exponent
// groups.
func groupOf(zone, instance string, exponent int) Key {
	if exponent < 0 {
		return noGroup
	}
	slot := uint32(KeyOf(instance)) & (1<<exponent - 1)
	return max(KeyOf(fmt.Sprintf("%s/%d/%d", zone, exponent, slot)), noGroup+1)
}

// groupExponent returns the binary logarithm of the number of groups for a zone with
// zoneSize of the fleet's size routers, given the current one.
func groupExponent(current, zoneSize, size int) int {
	if size < ungroupBelow || current < 0 && size < groupFrom {
		return -1
	}
	best := math.Log2(float64(zoneSize) / math.Sqrt(float64(size)))
	if current >= 0 && math.Abs(best-float64(current)) <= groupHysteresis {
		return current
	}
	return max(0, int(math.Round(best)))
}

// updateGroup adapts this router's group to the size of the fleet. It reports whether
// the group changed.
func (c *Core) updateGroup(now time.Duration) bool {
	size, zoneSize := 1, 1
	for _, member := range c.members {
		if c.isLive(now, member) {
			size++
			if member.Zone == c.zone {
				zoneSize++
			}
		}
	}
	c.groups.exponent = groupExponent(c.groups.exponent, zoneSize, size)
	own := groupOf(c.zone, c.instance, c.groups.exponent)
	if own == c.groups.own {
		return false
	}
	c.groups.own = own
	c.groups.digestsFrom = now + settleIntervals*c.Interval()
	clear(c.groups.heardAt)
	return true
}

// staleGroups returns the groups whose digests no longer count, since no recent one
// has arrived or no live router is known to be in the group any more.
func (c *Core) staleGroups(now time.Duration) []Key {
	if len(c.groups.heardAt) == 0 {
		return nil
	}
	inUse := make(map[Key]bool)
	for _, member := range c.members {
		if c.isLive(now, member) {
			inUse[member.Group] = true
		}
	}
	var stale []Key
	for group, heardAt := range c.groups.heardAt {
		if !inUse[group] || now-heardAt > remoteIntervals*c.Interval() {
			delete(c.groups.heardAt, group)
			stale = append(stale, group)
		}
	}
	return stale
}

// Group returns this router's group, or zero if the fleet has no groups.
func (c *Core) Group() Key { return c.groups.own }

// isDirect reports whether this router and a member exchange all their beacons.
func (c *Core) isDirect(member *Member) bool { return c.CountsDirectly(&member.Beacon) }

// Direct returns the addresses of the members with which all beacons are exchanged.
func (c *Core) Direct() []string {
	var direct []string
	for _, peer := range c.peers {
		if c.isDirect(c.members[peer]) {
			direct = append(direct, peer)
		}
	}
	return direct
}

// Partners returns the addresses of this router's partners in all other groups. They
// and the direct members pass news on to their groups.
func (c *Core) Partners(now time.Duration) []string {
	if c.groups.own == noGroup {
		return nil
	}
	partners := append(c.partnersOf(now, 0), c.partnersOf(now, 1)...)
	slices.Sort(partners)
	return slices.Compact(partners)
}

// partnersOf returns the partners for the rounds of one parity. The relation is
// symmetric, since freshness.Echo needs an exchange in both directions: of two groups
// in a fixed order, the members at i and j are partners if i+j = parity, modulo the
// size of the smaller group.
func (c *Core) partnersOf(now time.Duration, parity int) []string {
	self := &Member{Beacon: Beacon{Peer: c.self}, key: KeyOf(c.self)}
	byGroup := map[Key][]*Member{c.groups.own: {self}}
	for _, member := range c.members {
		if member.Group != noGroup && c.isLive(now, member) {
			byGroup[member.Group] = append(byGroup[member.Group], member)
		}
	}
	for _, group := range byGroup {
		slices.SortFunc(group, func(a, b *Member) int { return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.Peer, b.Peer)) })
	}
	own := byGroup[c.groups.own]
	index := slices.Index(own, self)
	var partners []string
	for key, group := range byGroup {
		if key == c.groups.own {
			continue
		}
		smaller := min(len(own), len(group))
		for other, member := range group {
			if (index+other)%smaller == parity%smaller {
				partners = append(partners, member.Peer)
			}
		}
	}
	slices.Sort(partners)
	return partners
}

// uncounted returns the instances whose own reports no longer count: they are silent,
// or their group's digests include them now.
func (c *Core) uncounted(now time.Duration) []string {
	var uncounted []string
	for _, member := range c.members {
		if member.isCounted && (!c.isDirect(member) || !c.isLive(now, member)) {
			member.isCounted = false
			uncounted = append(uncounted, member.Instance)
		}
	}
	return uncounted
}

// silent returns the addresses of a few random members of other groups of which there
// is no news.
func (c *Core) silent(now time.Duration) []string {
	var silent []string
	for _, peer := range c.peers {
		if member := c.members[peer]; !c.isDirect(member) && !c.isLive(now, member) {
			silent = append(silent, peer)
		}
	}
	c.random.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	return silent[:min(len(silent), probesPerRound)]
}

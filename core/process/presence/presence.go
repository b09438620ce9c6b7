// Package presence tracks which routers accept callers and how much work they have
// sent to each endpoint. In a small fleet, every router sends a beacon to all others
// it knows. A beacon carries the complete state of its sender, so a lost beacon only
// causes a delay.
//
// A large fleet is divided into groups. A router sends its beacons to its own group,
// and a digest, the sum of its group's beacons, to a few partners in each other group.
// The load of a router is known to all others within three beacon intervals if no
// datagram is lost, and a router is out of all views within liveIntervals or
// remoteIntervals of its last beacon.
//
// Two routers may disagree for seconds; guarantees to callers never depend on
// agreement.
//
// The core has no I/O, clock or goroutine and is not safe for concurrent use.
// Times are read from a clock that keeps running during suspend.
package presence

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/evacuation"
	"gentianhead/core/process/freshness"
	"gentianhead/core/process/staleness"
	"gentianhead/core/process/table"
)

const (
	// MinInterval is the beacon interval in a small fleet.
	MinInterval = 250 * time.Millisecond
	// intervalPerMember is the minimum interval per member, which limits a router to
	// 100 beacons per second in either direction.
	intervalPerMember = 10 * time.Millisecond
	// liveIntervals is the number of beacon intervals without a beacon after which a
	// router is considered down, in a fleet without and with groups. Single datagrams
	// may be lost.
	liveIntervals, liveIntervalsInGroup = 4, 5
	// reorderWindow is how long after a beacon one from an older process may still
	// arrive. Later a lower Start is accepted, as the time of day can jump back.
	reorderWindow = time.Second
	// namedFor is how long after the latest news of a router callers may be given its address.
	// They must not be given that of a router that was lost 7 s ago, and use the answer for a
	// while.
	namedFor = 4 * time.Second
	// memberTTL is how long beacons are still sent to a silent router.
	memberTTL   = 60 * time.Second
	maxMentions = 4
	maxMembers  = 4096
	// pauseThreshold is the time without a tick after which a router assumes that it
	// was paused. Beacons missed in that time don't count against other routers.
	pauseThreshold = time.Second
)

// Work is the unfinished work that a router has sent to an endpoint.
type Work struct {
	//lint:ignore U1000 tells the codec to leave out names
	_msgpack struct{} `msgpack:",as_array"`

	// Running is the number of unfinished requests.
	Running int
	// Prefill is the number of prompt tokens that the endpoint has yet to process.
	Prefill int
}

// Placed records that a request with a prompt part was sent to an endpoint, which
// probably caches the part now.
type Placed struct {
	//lint:ignore U1000 tells the codec to leave out names
	_msgpack struct{} `msgpack:",as_array"`

	Part     Key
	Endpoint Key
}

// Outcomes counts the latest outcomes of a router's requests at an endpoint.
type Outcomes struct {
	//lint:ignore U1000 tells the codec to leave out names
	_msgpack struct{} `msgpack:",as_array"`

	Endpoint          Key
	Failed, Succeeded int
	// Reporters is the number of routers that saw failures, if these are the outcomes
	// of several routers. Beacons leave it out, since releases without groups can't read
	// a longer array.
	Reporters int `msgpack:"-"`
}

// StatedRate is the request rate that an endpoint's process stated in a response.
type StatedRate struct {
	//lint:ignore U1000 tells the codec to leave out names
	_msgpack struct{} `msgpack:",as_array"`

	Process Key
	// PerSecond is in requests per second, infinite once the endpoint states none.
	PerSecond float64
	// Age is the time in milliseconds since the response.
	Age uint32
}

// Slowness is how long work takes at an endpoint, as a response stated it.
type Slowness struct {
	//lint:ignore U1000 tells the codec to leave out names
	_msgpack struct{} `msgpack:",as_array"`

	Endpoint Key
	// Percent is relative to the usual time.
	Percent uint32
	// Age is the time in milliseconds since the response.
	Age uint32
}

// Key is a short hash that identifies an endpoint or a prompt part in beacons. A
// collision only distorts the view of load or caches.
type Key uint32

// KeyOf returns the key of an id.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Beacon is the state that a router sends to its peers.
type Beacon struct {
	Instance string `msgpack:"i"`
	Zone     string `msgpack:"z"`
	// Region is the region of the sender. Releases before this field leave it out.
	Region string `msgpack:"G,omitempty"`
	// Address is the address for callers.
	Address string `msgpack:"a"`
	// Peer is the address for datagrams from other routers.
	Peer string `msgpack:"p"`
	// Start distinguishes the processes of one instance; a newer process usually
	// has a higher value.
	Start int64 `msgpack:"s"`
	// IsServing is false while the router should not be given callers.
	IsServing bool `msgpack:"v,omitempty"`
	// HasStore reports whether the store responds to the sender.
	HasStore bool `msgpack:"h,omitempty"`
	// IsWatching reports whether the sender watches the store and got its latest
	// confirmations recently. Releases before this field leave it out.
	IsWatching bool `msgpack:"W,omitempty"`
	// LinkMbps is the bandwidth of the sender's link. Releases before this field leave it out.
	LinkMbps uint32 `msgpack:"L,omitempty"`
	// Version is the configuration version in force on the sender.
	Version int64 `msgpack:"c,omitempty"`
	// Configuration is the compressed version in force, set if the receiver may not
	// have it yet.
	Configuration []byte `msgpack:"g,omitempty"`
	// EndpointsVersion is the version of the latest endpoint entry change that the
	// sender has seen. EndpointsHash is a hash over all entries it knows and their
	// versions.
	EndpointsVersion uint64 `msgpack:"e,omitempty"`
	EndpointsHash    uint64 `msgpack:"x,omitempty"`
	// StoreEra is the era of EndpointsVersion.
	StoreEra uint64 `msgpack:"E,omitempty"`
	// EndpointChanges are endpoint entry changes that the sender has just read.
	// IsSettled is set if the store has been available to it for so long that removed
	// entries are not the effect of an outage.
	EndpointChanges []table.Row  `msgpack:"n,omitempty"`
	IsSettled       bool         `msgpack:"k,omitempty"`
	Work            map[Key]Work `msgpack:"w,omitempty"`
	// Placed are the sender's placements since its last beacons.
	Placed []Placed `msgpack:"l,omitempty"`
	// KnowsCaches reports whether the sender knows what engines have cached.
	KnowsCaches bool `msgpack:"b,omitempty"`
	// Unreachable are the endpoints that recently accepted no connection from the
	// sender, or asked it for no requests.
	Unreachable []Key `msgpack:"u,omitempty"`
	// Outcomes cover endpoints at which some router has recently seen failures.
	Outcomes []Outcomes `msgpack:"j,omitempty"`
	CrashEvidence
	// Rates are the request rates that endpoints stated lately.
	Rates []StatedRate `msgpack:"R,omitempty"`
	// Slowness covers endpoints that are slow or were lately.
	Slowness []Slowness `msgpack:"S,omitempty"`
	// Stamp is the sender's clock, for the receiver to echo.
	Stamp time.Duration `msgpack:"t"`
	// Echo forwards the sender's confirmation of Version to the router process
	// whose Start is EchoStart. EchoStart is zero if there is no echo.
	Echo      freshness.Echo `msgpack:"o"`
	EchoStart int64          `msgpack:"f,omitempty"`
	// Views pass on until when the sender's views of the store's tables are complete:
	// that of the configuration by Version, that of the entries by EndpointsHash.
	Views *staleness.Echo `msgpack:"T,omitempty"`
	// Evacuations are the evacuated zones that the sender knows. Releases before this field
	// leave it out.
	Evacuations *evacuation.State `msgpack:"Z,omitempty"`
	// Mentions are the Peer addresses of a few other routers.
	Mentions []string `msgpack:"m,omitempty"`
	// Introduces asks the receiver to answer with a beacon.
	Introduces bool `msgpack:"q,omitempty"`
	// Group is the sender's group; zero means that it sends its beacons to all routers.
	// Releases without groups leave it out.
	Group Key `msgpack:"y,omitempty"`
	// Digest is the sum of the sender's group, for routers of other groups. A beacon
	// with a digest carries no load of its own.
	Digest *Digest `msgpack:"d,omitempty"`
	// HeldFor is how long the beacon may have waited at the receiver, which sets it: datagrams
	// wait for a process that is paused.
	HeldFor time.Duration `msgpack:"-"`
}

// Member is the state of a peer as known to this router.
type Member struct {
	Beacon
	// ArrivedAt is the arrival time of the latest beacon.
	ArrivedAt time.Duration
	// lastSeenAt is the time of the latest beacon to any router that is known of, plus
	// any later pauses of this router.
	lastSeenAt time.Duration
	// heardAt is the time of the latest beacon to any router that is known of. Unlike
	// lastSeenAt, it doesn't advance in pauses of this router.
	heardAt time.Duration
	// latestStamp is the stamp of that beacon.
	latestStamp time.Duration
	// key is the key of the peer address.
	key Key
	// isCounted is set while the member's own reports count.
	isCounted bool
}

// Core tracks the peers of one router.
type Core struct {
	random *rand.Rand
	// self is this router's peer address.
	self, instance, zone string
	members              map[string]*Member
	byKey                map[Key]*Member
	// peers holds the peer addresses of members, sorted.
	peers []string
	// candidates maps addresses from which no beacon has arrived yet to the time when
	// this router stops sending beacons to them.
	candidates map[string]time.Duration
	nextSend   time.Duration
	lastTick   time.Duration
	groups     groups
	// roundCost is the minimum time that the beacons of the latest round take.
	roundCost time.Duration
}

// Self describes this router.
type Self struct {
	Instance, Zone string
	// Peer is the address for datagrams from other routers.
	Peer string
}

// New returns a core that knows only its own router.
func New(self Self, seed uint64) *Core {
	return &Core{
		random:     rand.New(rand.NewPCG(seed, 0)),
		self:       self.Peer,
		instance:   self.Instance,
		zone:       self.Zone,
		members:    make(map[string]*Member),
		byKey:      make(map[Key]*Member),
		candidates: make(map[string]time.Duration),
		groups:     groups{exponent: -1, heardAt: make(map[Key]time.Duration)},
	}
}

// AddPeer adds the address of a possible router. Malformed and known addresses are
// ignored.
func (c *Core) AddPeer(now time.Duration, peer string) {
	if _, err := netip.ParseAddrPort(peer); err != nil || peer == c.self || c.isMember(peer) || len(c.candidates) >= maxMembers {
		return
	}
	c.introduce(now, peer)
}

// introduce adds an address to those that are asked for a beacon.
func (c *Core) introduce(now time.Duration, peer string) {
	if _, known := c.candidates[peer]; !known {
		c.candidates[peer] = now + memberTTL
	}
}

func (c *Core) isMember(peer string) bool {
	_, known := c.members[peer]
	return known
}

// BeaconResult is the effect of a received beacon.
type BeaconResult struct {
	// IsNew is set if the sender was unknown.
	IsNew bool
	// IsStarted is set if the sender's process was unknown.
	IsStarted bool
	// ShouldAnswer is set if the sender should be sent a beacon at once.
	ShouldAnswer bool
	// IsChanged is set if what callers are told about the sender has changed.
	IsChanged bool
}

// Receive processes a received beacon.
func (c *Core) Receive(now time.Duration, beacon Beacon) BeaconResult {
	if beacon.Peer == c.self || beacon.Peer == "" {
		return BeaconResult{}
	}
	known, isMember := c.members[beacon.Peer]
	if isMember && beacon.Start < known.Start && now-known.ArrivedAt < reorderWindow {
		return BeaconResult{}
	}
	if !isMember && len(c.members) >= maxMembers {
		return BeaconResult{}
	}
	delete(c.candidates, beacon.Peer)
	sentAfter := now - beacon.HeldFor
	member := &Member{Beacon: beacon, ArrivedAt: now, lastSeenAt: sentAfter, heardAt: sentAfter, latestStamp: beacon.Stamp, key: KeyOf(beacon.Peer)}
	if isMember && known.Start == beacon.Start {
		member.lastSeenAt, member.heardAt = max(member.lastSeenAt, known.lastSeenAt), max(member.heardAt, known.heardAt)
	}
	member.isCounted = c.CountsDirectly(&beacon)
	member.Digest, member.Configuration, member.EndpointChanges, member.Evacuations = nil, nil, nil, nil
	if !isMember {
		at, _ := slices.BinarySearch(c.peers, beacon.Peer)
		c.peers = slices.Insert(c.peers, at, beacon.Peer)
	}
	c.members[beacon.Peer], c.byKey[member.key] = member, member
	for _, peer := range beacon.Mentions {
		c.AddPeer(now, peer)
	}
	result := BeaconResult{
		IsNew:        !isMember,
		IsStarted:    !isMember || known.Start != beacon.Start,
		ShouldAnswer: beacon.Introduces || !isMember && beacon.Group == noGroup,
		IsChanged:    !isMember || known.IsServing != beacon.IsServing || known.Address != beacon.Address,
	}
	if c.CountsDigest(&beacon) {
		c.groups.heardAt[beacon.Group] = now
		isChanged := c.applyStates(sentAfter, beacon.Group, beacon.Digest.Members)
		result.IsChanged = result.IsChanged || isChanged
	}
	return result
}

// Interval returns the time between two rounds of beacons of this router.
func (c *Core) Interval() time.Duration {
	if c.groups.own != noGroup {
		return max(GroupInterval, c.roundCost)
	}
	return max(MinInterval, time.Duration(min(len(c.members), groupFrom))*intervalPerMember)
}

// Round is a round of beacons: the addresses to send one to now.
type Round struct {
	// Direct get this router's complete beacon.
	Direct []string
	// Partners get the digest of this router's group.
	Partners []string
	// Introductions get a beacon that asks for an answer.
	Introductions []string
	// IsGroupChanged is set if this router's group has changed: the loads known so far
	// may count routers twice.
	IsGroupChanged bool
	// StaleGroups are the groups whose digests no longer count, and StaleRouters the
	// instances whose own reports don't.
	StaleGroups  []Key
	StaleRouters []string
}

// Tick advances the time and returns the beacons to send now.
func (c *Core) Tick(now time.Duration) Round {
	if c.lastTick != 0 && now-c.lastTick > pauseThreshold {
		for _, member := range c.members {
			member.lastSeenAt = min(member.lastSeenAt+now-c.lastTick, now)
		}
		c.groups.digestsFrom = now + settleIntervals*c.Interval()
	}
	c.lastTick = now
	if now < c.nextSend {
		return Round{}
	}
	c.expire(now)
	round := Round{IsGroupChanged: c.updateGroup(now), StaleGroups: c.staleGroups(now), StaleRouters: c.uncounted(now)}
	c.groups.round++
	round.Direct, round.Introductions = c.Direct(), c.introductions()
	if c.groups.own != noGroup {
		round.Partners = c.partnersOf(now, c.groups.round%2)
		round.Introductions = append(round.Introductions, c.silent(now)...)
	}
	c.roundCost = time.Duration(len(round.Partners)) * intervalPerNeighbor
	for _, peer := range round.Direct {
		if c.members[peer].Group == noGroup {
			c.roundCost += intervalPerMember
		} else {
			c.roundCost += intervalPerNeighbor
		}
	}
	// The schedule keeps its mean interval although ticks come a little late.
	c.nextSend += c.Interval()
	if c.nextSend < now || c.groups.own == noGroup {
		c.nextSend = now + c.Interval()
	}
	return round
}

func (c *Core) introductions() []string {
	candidates := slices.Sorted(maps.Keys(c.candidates))
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), introductionsPerTick)]
}

func (c *Core) expire(now time.Duration) {
	for peer, member := range c.members {
		if now-member.lastSeenAt > memberTTL {
			delete(c.members, peer)
			delete(c.byKey, member.key)
			if at, isFound := slices.BinarySearch(c.peers, peer); isFound {
				c.peers = slices.Delete(c.peers, at, at+1)
			}
		}
	}
	maps.DeleteFunc(c.candidates, func(_ string, until time.Duration) bool { return now > until })
}

// Member returns the member with the given peer address.
func (c *Core) Member(peer string) (Member, bool) {
	member, known := c.members[peer]
	if !known {
		return Member{}, false
	}
	return *member, true
}

// MemberAddresses returns the peer addresses of all members, for beacons sent ahead
// of schedule.
func (c *Core) MemberAddresses() []string { return slices.Clone(c.peers) }

// Mentions returns the addresses of a few random members for a beacon.
func (c *Core) Mentions() []string {
	var mentions []string
	for range min(maxMentions, len(c.peers)) {
		mentions = append(mentions, c.peers[c.random.IntN(len(c.peers))])
	}
	return mentions
}

// Live returns the members of which there is recent news, sorted by peer address.
// Callers must not modify them.
func (c *Core) Live(now time.Duration) []*Member {
	live := make([]*Member, 0, len(c.members))
	for _, peer := range c.peers {
		if member := c.members[peer]; c.isLive(now, member) {
			live = append(live, member)
		}
	}
	return live
}

func (c *Core) isLive(now time.Duration, member *Member) bool {
	intervals := liveIntervals
	switch {
	case c.groups.own != noGroup && !c.isDirect(member):
		intervals = remoteIntervals
	case c.groups.own != noGroup:
		intervals = liveIntervalsInGroup
	}
	return now-member.lastSeenAt <= time.Duration(intervals)*c.Interval()
}

// IsNamed reports whether callers may be given the address of a live member. After a pause of
// this router, members count as live until they had time to send a beacon, but may be lost.
func (c *Core) IsNamed(now time.Duration, member *Member) bool {
	return c.isLive(now, member) && now-member.heardAt <= namedFor
}

// IsCurrent reports whether a member's latest beacon to this router is recent, so that
// its fields other than those in a MemberState hold.
func (c *Core) IsCurrent(now time.Duration, member *Member) bool {
	return now-member.ArrivedAt <= liveIntervals*c.Interval()
}

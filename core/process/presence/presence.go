// Package presence tracks which routers accept callers and how much work each of
// them has sent to each endpoint. Every router sends a beacon to all others it
// knows. A beacon carries the complete state of its sender, so a lost beacon only
// causes a delay.
//
// The beacon interval grows with the fleet, which bounds the traffic of a router.
// Two routers may disagree for seconds; guarantees to callers never depend on
// agreement.
//
// The core has no I/O, clock or goroutine and is not safe for concurrent use.
// Times are read from a clock that keeps running during suspend.
package presence

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/freshness"
	"gentianhead/core/process/table"
)

const (
	// MinInterval is the beacon interval in a small fleet.
	MinInterval = 250 * time.Millisecond
	// intervalPerMember is the minimum interval per member, which limits a router to
	// 100 beacons per second in either direction.
	intervalPerMember = 10 * time.Millisecond
	// missedBeaconLimit is the number of consecutive missing beacons after which a
	// router is considered down. Single datagrams may be lost.
	missedBeaconLimit = 4
	// reorderWindow is how long after a beacon one from an older process may still
	// arrive. Later a lower Start is accepted, as the time of day can jump back.
	reorderWindow = time.Second
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
	// sender.
	Unreachable []Key `msgpack:"u,omitempty"`
	// Outcomes cover endpoints at which some router has recently seen failures.
	Outcomes []Outcomes `msgpack:"j,omitempty"`
	// Stamp is the sender's clock, for the receiver to echo.
	Stamp time.Duration `msgpack:"t"`
	// Echo forwards the sender's confirmation of Version to the router process
	// whose Start is EchoStart. EchoStart is zero if there is no echo.
	Echo      freshness.Echo `msgpack:"o"`
	EchoStart int64          `msgpack:"f,omitempty"`
	// Mentions are the Peer addresses of a few other routers.
	Mentions []string `msgpack:"m,omitempty"`
}

// Member is the state of a peer as known to this router.
type Member struct {
	Beacon
	// ArrivedAt is the arrival time of the latest beacon.
	ArrivedAt time.Duration
	// lastSeenAt is ArrivedAt plus any later pauses of this router.
	lastSeenAt time.Duration
}

// Core tracks the peers of one router.
type Core struct {
	random  *rand.Rand
	self    string
	members map[string]*Member
	// candidates maps addresses from which no beacon has arrived yet to the time when
	// this router stops sending beacons to them.
	candidates map[string]time.Duration
	nextSend   time.Duration
	lastTick   time.Duration
}

// New returns a core that knows only its own address.
func New(self string, seed uint64) *Core {
	return &Core{
		random:     rand.New(rand.NewPCG(seed, 0)),
		self:       self,
		members:    make(map[string]*Member),
		candidates: make(map[string]time.Duration),
	}
}

// AddPeer adds the address of a possible router. Malformed and known addresses are
// ignored.
func (c *Core) AddPeer(now time.Duration, peer string) {
	if _, err := netip.ParseAddrPort(peer); err != nil || peer == c.self || c.isMember(peer) || len(c.candidates) >= maxMembers {
		return
	}
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
	// IsNew is set if the sender was unknown. It should be sent a beacon at once.
	IsNew bool
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
	c.members[beacon.Peer] = &Member{Beacon: beacon, ArrivedAt: now, lastSeenAt: now}
	for _, peer := range beacon.Mentions {
		c.AddPeer(now, peer)
	}
	return BeaconResult{
		IsNew:     !isMember,
		IsChanged: !isMember || known.IsServing != beacon.IsServing || known.Address != beacon.Address,
	}
}

// Interval returns the time between two beacons of this router.
func (c *Core) Interval() time.Duration {
	return max(MinInterval, time.Duration(len(c.members))*intervalPerMember)
}

// Tick advances the time and returns the addresses to send a beacon to now.
func (c *Core) Tick(now time.Duration) []string {
	if c.lastTick != 0 && now-c.lastTick > pauseThreshold {
		for _, member := range c.members {
			member.lastSeenAt += now - c.lastTick
		}
	}
	c.lastTick = now
	if now < c.nextSend {
		return nil
	}
	c.nextSend = now + c.Interval()
	return c.recipients(now)
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
func (c *Core) MemberAddresses() []string {
	return slices.Sorted(maps.Keys(c.members))
}

func (c *Core) recipients(now time.Duration) []string {
	maps.DeleteFunc(c.members, func(_ string, m *Member) bool { return now-m.lastSeenAt > memberTTL })
	maps.DeleteFunc(c.candidates, func(_ string, until time.Duration) bool { return now > until })
	return append(slices.Collect(maps.Keys(c.members)), slices.Collect(maps.Keys(c.candidates))...)
}

// Mentions returns the addresses of a few random members for a beacon.
func (c *Core) Mentions() []string {
	peers := slices.Sorted(maps.Keys(c.members))
	c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxMentions)]
}

// Live returns the members that recently sent a beacon, sorted by instance.
// Callers must not modify them.
func (c *Core) Live(now time.Duration) []*Member {
	timeout := missedBeaconLimit * c.Interval()
	live := make([]*Member, 0, len(c.members))
	for _, member := range c.members {
		if now-member.lastSeenAt <= timeout {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(a, b *Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return live
}

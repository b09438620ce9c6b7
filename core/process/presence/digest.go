package presence

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxRepeats is how often a digest repeats an unreachable endpoint at most. Two
	// routers that can't connect to an endpoint suffice to avoid it.
	maxRepeats = 2
	// maxUnreachablePerRouter is the number of unreachable endpoints above which a
	// digest leaves out a router's report: it is probably cut off itself.
	maxUnreachablePerRouter = 256
	// maxStatedRates bounds the stated request rates in a digest.
	maxStatedRates = 256
	// maxSlowness bounds the endpoints whose slowness is in a digest.
	maxSlowness = 128
)

// Load is what one router, or the sum of several, reports about its work.
type Load struct {
	Work        map[Key]Work
	Placed      []Placed
	Unreachable []Key
	Outcomes    []Outcomes
	Evidence    CrashEvidence
	Rates       []StatedRate
	Slowness    []Slowness
}

// Digest is the sum of the beacons of a group, including the sender's own. A digest that a
// receiver gets replaces any earlier one of the same group, from whichever sender:
// each router counts once, as each belongs to one group. While a router changes its
// group, it may count twice for up to remoteIntervals beacon intervals.
type Digest struct {
	Work        map[Key]Work `msgpack:"w,omitempty"`
	Placed      []Placed     `msgpack:"l,omitempty"`
	Unreachable []Key        `msgpack:"u,omitempty"`
	// Outcomes and Reporters have the same length: Reporters[i] is the number of routers
	// that saw the failures in Outcomes[i].
	Outcomes  []Outcomes `msgpack:"j,omitempty"`
	Reporters []int      `msgpack:"k,omitempty"`
	CrashEvidence
	Rates    []StatedRate `msgpack:"R,omitempty"`
	Slowness []Slowness   `msgpack:"S,omitempty"`
	// Age is the mean age of the summed beacons, and Routers their number.
	Age     time.Duration `msgpack:"a"`
	Routers int           `msgpack:"r"`
	// Members are the live routers of the group, without the sender.
	Members []MemberState `msgpack:"m,omitempty"`
}

// MemberState is a router's state in a digest.
type MemberState struct {
	//lint:ignore U1000 tells the codec to leave out names
	_msgpack struct{} `msgpack:",as_array"`

	Peer Key
	// Start identifies the process, as Beacon.Start does, shortened.
	Start uint32
	// Stamp is Beacon.Stamp in milliseconds; it orders the states of one process.
	Stamp uint32
	// Age is the time in milliseconds since the router's latest beacon.
	Age   uint32
	Flags uint8
}

// Flags of a MemberState, as the fields of a Beacon with these names.
const (
	flagIsServing = 1 << iota
	flagHasStore
	flagKnowsCaches
	flagIsWatching
)

func shortStart(start int64) uint32 { return uint32(start ^ start>>32) }

func milliseconds(d time.Duration) uint32 { return uint32(d / time.Millisecond) }

func flagsOf(b *Beacon) uint8 {
	var flags uint8
	if b.IsServing {
		flags |= flagIsServing
	}
	if b.HasStore {
		flags |= flagHasStore
	}
	if b.KnowsCaches {
		flags |= flagKnowsCaches
	}
	if b.IsWatching {
		flags |= flagIsWatching
	}
	return flags
}

// Digest returns the digest of this router's group with its own load, or nil if it may
// not send one: the sums of a router that has just started or woken up are incomplete.
func (c *Core) Digest(now time.Duration, own Load) *Digest {
	if c.groups.own == noGroup || now < c.groups.digestsFrom {
		return nil
	}
	sum := newSum()
	sum.add(own, 0)
	digest := &Digest{}
	for _, member := range c.members {
		if member.Group != c.groups.own || !c.isLive(now, member) {
			continue
		}
		age := now - member.ArrivedAt
		sum.add(member.Load(), age)
		digest.Members = append(digest.Members, MemberState{
			Peer: member.key, Start: shortStart(member.Start), Stamp: milliseconds(member.Stamp), Age: milliseconds(now - member.heardAt), Flags: flagsOf(&member.Beacon),
		})
	}
	digest.setLoad(sum.result())
	digest.Routers, digest.Age = sum.routers, sum.ages/time.Duration(sum.routers)
	return digest
}

func (d *Digest) setLoad(load Load) {
	d.Work, d.Placed, d.Unreachable, d.Outcomes = load.Work, load.Placed, load.Unreachable, load.Outcomes
	d.CrashEvidence, d.Rates, d.Slowness = load.Evidence, load.Rates, load.Slowness
	for _, outcomes := range load.Outcomes {
		d.Reporters = append(d.Reporters, outcomes.Reporters)
	}
}

// Load returns the group's load.
func (d *Digest) Load() Load {
	load := Load{Work: d.Work, Placed: d.Placed, Unreachable: d.Unreachable, Outcomes: slices.Clone(d.Outcomes), Evidence: d.CrashEvidence, Rates: d.Rates, Slowness: d.Slowness}
	for i := range min(len(load.Outcomes), len(d.Reporters)) {
		load.Outcomes[i].Reporters = d.Reporters[i]
	}
	return load
}

// Load returns the load of the beacon's sender.
func (b *Beacon) Load() Load {
	return Load{Work: b.Work, Placed: b.Placed, Unreachable: b.Unreachable, Outcomes: b.Outcomes, Evidence: b.CrashEvidence, Rates: b.Rates, Slowness: b.Slowness}
}

// SetLoad sets the load of the beacon's sender.
func (b *Beacon) SetLoad(load Load) {
	b.Work, b.Placed, b.Unreachable, b.Outcomes = load.Work, load.Placed, load.Unreachable, load.Outcomes
	b.CrashEvidence, b.Rates, b.Slowness = load.Evidence, load.Rates, load.Slowness
}

// WithoutHints returns the beacon without what only improves placement. It is smaller by the
// parts that grow with the number of requests and of failing endpoints. Verdicts stay.
func (b Beacon) WithoutHints() Beacon {
	b.Placed, b.Unreachable, b.Outcomes, b.Mentions, b.Crashes, b.Served, b.LastServed = nil, nil, nil, nil, nil, nil, nil
	b.Slowness = nil
	if b.Digest != nil {
		digest := *b.Digest
		digest.Placed, digest.Unreachable, digest.Outcomes, digest.Reporters = nil, nil, nil, nil
		digest.Crashes, digest.Served, digest.LastServed, digest.Slowness = nil, nil, nil, nil
		b.Digest = &digest
	}
	return b
}

// CountsDirectly reports whether the load of a beacon's sender is counted as the
// beacon states it. Otherwise its group's digests include it.
func (c *Core) CountsDirectly(b *Beacon) bool {
	return c.groups.own == noGroup || b.Group == noGroup || b.Group == c.groups.own
}

// CountsDigest reports whether the load in a beacon's digest is counted.
func (c *Core) CountsDigest(b *Beacon) bool { return b.Digest != nil && !c.CountsDirectly(b) }

// Sum returns the sum of several routers' loads.
func Sum(loads ...Load) Load {
	s := newSum()
	for _, load := range loads {
		s.add(load, 0)
	}
	return s.result()
}

// sum adds up the loads of several routers.
type sum struct {
	routers     int
	ages        time.Duration
	work        map[Key]Work
	placed      map[Placed]bool
	unreachable map[Key]int
	outcomes    map[Key]Outcomes
	evidence    []CrashEvidence
	rates       map[Key]StatedRate
	slowness    map[Key]Slowness
}

func newSum() *sum {
	return &sum{
		work: make(map[Key]Work), placed: make(map[Placed]bool), unreachable: make(map[Key]int), outcomes: make(map[Key]Outcomes),
		rates: make(map[Key]StatedRate), slowness: make(map[Key]Slowness),
	}
}

func (s *sum) add(load Load, age time.Duration) {
	s.routers++
	s.ages += age
	for endpoint, work := range load.Work {
		total := s.work[endpoint]
		total.Running += work.Running
		total.Prefill += work.Prefill
		s.work[endpoint] = total
	}
	for _, placed := range load.Placed {
		s.placed[placed] = true
	}
	if len(load.Unreachable) <= maxUnreachablePerRouter {
		for _, endpoint := range load.Unreachable {
			s.unreachable[endpoint] = min(s.unreachable[endpoint]+1, maxRepeats)
		}
	}
	if e := load.Evidence; !e.IsEmpty() {
		s.evidence = append(s.evidence, e.Older(age))
	}
	for _, stated := range load.Rates {
		stated.Age += milliseconds(max(0, age))
		if known, isKnown := s.rates[stated.Process]; !isKnown || stated.Age < known.Age {
			s.rates[stated.Process] = stated
		}
	}
	for _, stated := range load.Slowness {
		stated.Age += milliseconds(max(0, age))
		if known, isKnown := s.slowness[stated.Endpoint]; !isKnown || stated.Age < known.Age {
			s.slowness[stated.Endpoint] = stated
		}
	}
	for _, outcomes := range load.Outcomes {
		total := s.outcomes[outcomes.Endpoint]
		total.Endpoint = outcomes.Endpoint
		total.Failed += outcomes.Failed
		total.Succeeded += outcomes.Succeeded
		total.Reporters += outcomes.reporters()
		s.outcomes[outcomes.Endpoint] = total
	}
}

func (s *sum) result() Load {
	load := Load{Work: s.work, Evidence: SumEvidence(s.evidence...), Rates: s.latestRates(), Slowness: LatestSlowness(slices.Collect(maps.Values(s.slowness)))}
	for placed := range s.placed {
		load.Placed = append(load.Placed, placed)
	}
	for endpoint, count := range s.unreachable {
		load.Unreachable = append(load.Unreachable, slices.Repeat([]Key{endpoint}, count)...)
	}
	for _, outcomes := range s.outcomes {
		load.Outcomes = append(load.Outcomes, outcomes)
	}
	return load
}

// latestRates returns the latest statements, at most maxStatedRates.
func (s *sum) latestRates() []StatedRate {
	latest := slices.SortedFunc(maps.Values(s.rates), func(a, b StatedRate) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Process, b.Process))
	})
	return latest[:min(len(latest), maxStatedRates)]
}

// LatestSlowness returns the latest statements, at most maxSlowness. It reorders its argument.
func LatestSlowness(stated []Slowness) []Slowness {
	slices.SortFunc(stated, func(a, b Slowness) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return stated[:min(len(stated), maxSlowness)]
}

// reporters returns how many routers saw failures.
func (o Outcomes) reporters() int {
	if o.Failed == 0 {
		return 0
	}
	return max(1, o.Reporters)
}

// applyStates applies the states of the routers of another group, which were sent after a time.
// It reports whether what callers are told about one has changed.
func (c *Core) applyStates(sentAfter time.Duration, group Key, states []MemberState) (isChanged bool) {
	for _, state := range states {
		member, known := c.byKey[state.Peer]
		if !known || member.Peer == c.self {
			continue
		}
		if shortStart(member.Start) != state.Start {
			// A new process whose introduction was lost.
			c.introduce(sentAfter, member.Peer)
			continue
		}
		heardAt := sentAfter - time.Duration(state.Age)*time.Millisecond
		member.lastSeenAt, member.heardAt = max(member.lastSeenAt, heardAt), max(member.heardAt, heardAt)
		if int32(state.Stamp-milliseconds(member.latestStamp)) <= 0 {
			continue
		}
		member.latestStamp += time.Duration(int32(state.Stamp-milliseconds(member.latestStamp))) * time.Millisecond
		if state.Flags == flagsOf(&member.Beacon) && group == member.Group {
			continue
		}
		// Published members are immutable apart from the fields that only this core reads.
		changed := *member
		changed.Group = group
		changed.IsServing = state.Flags&flagIsServing != 0
		changed.HasStore = state.Flags&flagHasStore != 0
		changed.KnowsCaches = state.Flags&flagKnowsCaches != 0
		changed.IsWatching = state.Flags&flagIsWatching != 0
		isChanged = isChanged || changed.IsServing != member.IsServing
		c.members[member.Peer], c.byKey[state.Peer] = &changed, &changed
	}
	return isChanged
}

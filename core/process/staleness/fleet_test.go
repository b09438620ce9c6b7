package staleness_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/evacuation"
	"gentianhead/core/process/presence"
	"gentianhead/core/process/staleness"
	"gentianhead/core/virtual"
)

const ms = time.Millisecond

const (
	tickInterval = 100 * ms
	// callTimeout is how long a call to the store without a response goes on after its wait.
	callTimeout = time.Second
	minBackoff  = 100 * ms
	maxBackoff  = 800 * ms
	readTime    = 5 * ms
	// changeEvery is the mean time between two changes of a table.
	changeEvery = 400 * ms
	// calm is how long a router must have been up and the store within its reach until the
	// bound holds for it.
	calm = 3 * time.Second
	// sendTime is the part of the bound for what was just sent and for slow machines.
	sendTime = 200 * ms
)

// router is one router of a fleet in virtual time, with one follower a table.
type router struct {
	number     int
	start      int64
	isDown     bool
	isCut      bool
	disturbed  time.Duration
	presence   *presence.Core
	staleness  *staleness.Core
	evacuation *evacuation.Core
	// followed is the version of the configuration's table that its follower has read.
	followed   int64
	versions   [2]int64
	isWatcher  bool
	calls      [2]call
	storeCalls int
}

// call is the call of a follower in progress.
type call struct {
	// generation changes with each call, so that an abandoned one has no effect.
	generation int
	isOpen     bool
	// isImmediate is set for one that doesn't wait for changes.
	isImmediate, isPolling bool
	backoff                time.Duration
}

type fleet struct {
	queue   virtual.Queue
	now     time.Duration
	random  *rand.Rand
	routers []*router
	byPeer  map[string]*router
	loss    float64
	bounds  staleness.Bounds
	// versions are those of the store, and changedAt the times of all changes, by table.
	versions  [2]int64
	changedAt [2][]time.Duration
	// latest is the longest time from a change until a router in touch had it.
	latest time.Duration
	late   int
	zones
}

// newFleet returns a fleet with the bounds that its users set for its size.
func newFleet(size int, seed uint64, loss float64) *fleet {
	bound := 2 * time.Second
	switch {
	case size >= 200:
		bound = 4 * time.Second
	case size >= 60:
		bound = 3 * time.Second
	}
	f := &fleet{random: rand.New(rand.NewPCG(seed, uint64(size))), byPeer: make(map[string]*router), loss: loss}
	f.bounds = staleness.Bounds{Tables: [2]time.Duration{bound, bound}, Lease: 4500 * ms}
	for number := range size {
		r := &router{number: number}
		f.routers = append(f.routers, r)
		f.byPeer[f.address(number)] = r
	}
	for _, r := range f.routers {
		f.boot(r)
		f.queue.Add(time.Duration(f.random.Int64N(int64(tickInterval))), func() { f.tick(r) })
	}
	for table := range f.versions {
		f.queue.Add(f.changePause(), func() { f.change(table) })
	}
	return f
}

func (f *fleet) changePause() time.Duration {
	return f.now + changeEvery/2 + time.Duration(f.random.Int64N(int64(changeEvery)))
}

func (f *fleet) address(number int) string {
	return fmt.Sprintf("10.0.%d.%d:7000", number/200, number%200+1)
}

func (f *fleet) change(table int) {
	f.write(table)
	f.queue.Add(f.changePause(), func() { f.change(table) })
}

// write changes a table and ends the calls that wait for it.
func (f *fleet) write(table int) {
	f.versions[table]++
	f.changedAt[table] = append(f.changedAt[table], f.now)
	for _, r := range f.routers {
		if c := r.calls[table]; c.isPolling && !r.isCut && !r.isDown {
			f.respond(r, table, c.generation, f.now)
		}
	}
}

func (f *fleet) boot(r *router) {
	r.start++
	r.isDown, r.isWatcher, r.disturbed, r.versions = false, false, f.now, [2]int64{-1, -1}
	zone := fmt.Sprint("zone-", r.number%5)
	r.presence = presence.New(presence.Self{Instance: name(r.number), Zone: zone, Peer: f.address(r.number)}, uint64(r.number))
	r.staleness, r.evacuation, r.followed = staleness.New(f.now), evacuation.New(), 0
	for other := range f.routers {
		r.presence.AddPeer(f.now, f.address(other))
	}
	for table := range r.calls {
		r.calls[table] = call{generation: r.calls[table].generation + 1, backoff: minBackoff}
		f.open(r, table, 0)
	}
}

// name returns names that sort by number.
func name(number int) string { return fmt.Sprintf("r-%03d", number) }

// open starts a call of a router. With a wait, the store responds to the next change.
func (f *fleet) open(r *router, table int, wait time.Duration) {
	c := &r.calls[table]
	c.generation++
	c.isOpen, c.isImmediate, c.isPolling = true, wait == 0, false
	r.storeCalls++
	generation, started := c.generation, f.now
	if r.isCut {
		f.queue.Add(f.now+wait+callTimeout, func() { f.fail(r, table, generation) })
		return
	}
	if wait == 0 || r.versions[table] < f.versions[table] {
		f.respond(r, table, generation, started)
		return
	}
	c.isPolling = true
	f.queue.Add(f.now+wait, func() { f.endPoll(r, table, generation, started, wait) })
	f.queue.Add(f.now+wait+callTimeout, func() { f.fail(r, table, generation) })
}

// respond sends the state of the table as of now.
func (f *fleet) respond(r *router, table, generation int, complete time.Duration) {
	r.calls[table].isPolling = false
	version := f.versions[table]
	f.queue.Add(f.now+readTime, func() { f.arrive(r, table, generation, version, complete) })
}

func (f *fleet) endPoll(r *router, table, generation int, started, wait time.Duration) {
	if c := r.calls[table]; c.generation == generation && c.isPolling && !r.isCut {
		f.respond(r, table, generation, started+wait)
	}
}

func (f *fleet) arrive(r *router, table, generation int, version int64, complete time.Duration) {
	c := &r.calls[table]
	if c.generation != generation || r.isDown || r.isCut {
		return
	}
	c.backoff, c.isOpen = minBackoff, false
	isChanged := version > r.versions[table]
	if table == 0 {
		f.readZones(r, version)
	}
	r.versions[table] = max(r.versions[table], version)
	r.staleness.Responded(staleness.Table(table), complete)
	if isChanged && r.isWatcher {
		f.send(r, f.beacon(r), append(r.presence.Direct(), r.presence.Partners(f.now)...))
	}
	f.next(r, table)
}

func (f *fleet) fail(r *router, table, generation int) {
	c := &r.calls[table]
	if c.generation != generation || !c.isOpen || r.isDown {
		return
	}
	r.staleness.Failed(staleness.Table(table))
	c.isOpen, c.isPolling = false, false
	f.queue.Add(f.now+c.backoff, func() {
		if r.calls[table].generation == generation && !r.isDown {
			f.open(r, table, 0)
		}
	})
	c.backoff = min(2*c.backoff, maxBackoff)
}

func (f *fleet) next(r *router, table int) {
	if r.isWatcher {
		f.open(r, table, f.bounds.Wait(staleness.Table(table)))
	}
}

// refresh is Follower.Refresh.
func (f *fleet) refresh(r *router, table int) {
	if c := r.calls[table]; !c.isOpen || !c.isImmediate {
		f.open(r, table, 0)
	}
}

func (f *fleet) hasStore(r *router) bool {
	_, isRead := r.staleness.Age(f.now, staleness.Configuration)
	return isRead && r.calls[0].backoff == minBackoff
}

func (f *fleet) beacon(r *router) presence.Beacon {
	return presence.Beacon{
		Instance: name(r.number), Zone: fmt.Sprint("zone-", r.number%5), Peer: f.address(r.number), Address: fmt.Sprint("callers-", r.number),
		Start: r.start, IsServing: true, HasStore: f.hasStore(r), IsWatching: r.staleness.IsWatching(f.now, f.bounds),
		Version: r.versions[0], EndpointsHash: uint64(r.versions[1]), Stamp: f.now, Group: r.presence.Group(), Mentions: r.presence.Mentions(),
		Evacuations: r.evacuation.State(f.now),
	}
}

func (f *fleet) tick(r *router) {
	f.queue.Add(f.now+tickInterval, func() { f.tick(r) })
	if r.isDown {
		return
	}
	round := r.presence.Tick(f.now)
	b := f.beacon(r)
	f.send(r, b, round.Direct)
	introduction := b
	introduction.Introduces = true
	f.send(r, introduction, round.Introductions)
	if len(round.Partners) > 0 {
		b.Digest = r.presence.Digest(f.now, presence.Load{})
		f.send(r, b, round.Partners)
	}
	turn := 0.0
	if r.presence.Group() != 0 {
		turn = float64(presence.KeyOf(name(r.number))%1000) / 1000
	}
	var peers []staleness.Peer
	for _, m := range r.presence.Live(f.now) {
		peers = append(peers, staleness.Peer{Instance: m.Instance, HasStore: m.HasStore, IsWatching: m.IsWatching})
	}
	decision := r.staleness.Step(f.now, staleness.Input{Self: staleness.Peer{Instance: name(r.number)}, Peers: peers, Bounds: f.bounds, Turn: turn})
	isNew := decision.IsWatcher && !r.isWatcher
	r.isWatcher = decision.IsWatcher
	for table := range r.calls {
		if decision.Read[table] || isNew {
			f.refresh(r, table)
		}
	}
	f.check(r)
}

// check counts changes that a router in touch should have by now.
func (f *fleet) check(r *router) {
	f.checkZones(r)
	if r.isCut || f.now-r.disturbed < calm {
		return
	}
	for table, version := range r.versions {
		if version >= f.versions[table] {
			continue
		}
		missing := f.now - f.changedAt[table][version]
		f.latest = max(f.latest, missing)
		if missing > f.bounds.Tables[table]-sendTime {
			f.late++
		}
	}
}

func (f *fleet) send(from *router, b presence.Beacon, to []string) {
	for _, peer := range to {
		if f.random.Float64() < f.loss {
			continue
		}
		sent := b
		if member, isKnown := from.presence.Member(peer); isKnown {
			sent.Views = from.staleness.EchoTo(member.Start, member.Stamp, member.ArrivedAt)
		}
		f.queue.Add(f.now+ms, func() { f.receive(f.byPeer[peer], sent) })
	}
}

// receive adopts a newer configuration and newer entries as beacons bring them, and passes them
// on to the router's group.
func (f *fleet) receive(r *router, b presence.Beacon) {
	if r.isDown {
		return
	}
	result := r.presence.Receive(f.now, b)
	r.evacuation.Adopt(f.now, b.Evacuations)
	isNews := false
	for table, version := range [2]int64{b.Version, int64(b.EndpointsHash)} {
		if r.versions[table] >= 0 && version > r.versions[table] {
			r.versions[table], isNews = version, true
		}
	}
	if b.Views != nil && b.Views.Start == r.start {
		for table, version := range [2]int64{b.Version, int64(b.EndpointsHash)} {
			if at, isConfirmed := b.Views.ConfirmedAt(staleness.Table(table)); isConfirmed && version == r.versions[table] && (table != 0 || r.evacuation.Equals(b.Evacuations)) {
				assert.Assert(nil, at <= f.now)
				r.staleness.Confirm(staleness.Table(table), at)
			}
		}
	}
	if isNews && !r.presence.CountsDirectly(&b) {
		f.send(r, f.beacon(r), r.presence.Direct())
	}
	if result.ShouldAnswer {
		f.send(r, f.beacon(r), []string{b.Peer})
	}
}

func (f *fleet) runUntil(until time.Duration) {
	for {
		at, run, isDue := f.queue.Next(until)
		if !isDue {
			f.now = until
			return
		}
		f.now = at
		run()
	}
}

func (f *fleet) watchers() (watchers []*router) {
	for _, r := range f.routers {
		if r.isWatcher && !r.isDown {
			watchers = append(watchers, r)
		}
	}
	return watchers
}

func (f *fleet) cut(r *router, d time.Duration) {
	r.isCut, r.disturbed = true, f.now
	for table := range r.calls {
		r.calls[table].isPolling = false
	}
	f.queue.Add(f.now+d, func() { r.isCut, r.disturbed = false, f.now })
}

func (f *fleet) kill(r *router, d time.Duration) {
	r.isDown = true
	f.queue.Add(f.now+d, func() { f.boot(r) })
}

// troubles disturb the routers that watch, and those whose turn is next.
var troubles = []struct {
	name string
	// isPlayedInLargeFleet is set for what is played in a large fleet without FLEET_SIZES: it
	// takes long there.
	isPlayedInLargeFleet bool
	run                  func(f *fleet)
}{
	{"watchers lose the store", false, func(f *fleet) {
		for _, r := range f.watchers() {
			f.cut(r, 5500*ms)
		}
		f.runUntil(f.now + 9*time.Second)
	}},
	{"watchers lose the store in series", false, func(f *fleet) {
		for range 8 {
			for _, r := range f.watchers() {
				f.cut(r, 5500*ms)
			}
			f.runUntil(f.now + 1100*ms)
		}
	}},
	{"watchers restart in series", false, func(f *fleet) {
		first := f.watchers()
		for range 5 {
			for _, r := range first {
				f.kill(r, 350*ms)
			}
			f.runUntil(f.now + 1850*ms)
		}
	}},
	{"whoever watches is lost", true, func(f *fleet) {
		for range 12 {
			for _, r := range f.watchers() {
				if f.random.IntN(2) == 0 {
					f.kill(r, time.Duration(200+f.random.IntN(600))*ms)
				} else {
					f.cut(r, time.Duration(500+f.random.IntN(5000))*ms)
				}
			}
			f.runUntil(f.now + time.Duration(400+f.random.IntN(1200))*ms)
		}
	}},
	{"cuts and restarts overlap", false, func(f *fleet) {
		for range 20 {
			r := f.routers[f.random.IntN(min(len(f.routers), 8))]
			switch {
			case r.isDown || r.isCut:
			case f.random.IntN(2) == 0:
				f.kill(r, time.Duration(200+f.random.IntN(2000))*ms)
			default:
				f.cut(r, time.Duration(500+f.random.IntN(5000))*ms)
			}
			f.runUntil(f.now + time.Duration(f.random.IntN(900))*ms)
		}
	}},
}

// Guards against routers in touch that act on old entries or an old configuration as those
// that should watch the store have lost it, restart, or don't watch it yet. Also against requests
// to the endpoints of a zone later than the bound after its evacuation: nothing read the rows,
// and requests reached an evacuated zone for as long as that lasted.
func TestViewsWithinBoundWithoutWatchers(t *testing.T) {
	for _, size := range fleetSizes(t) {
		for _, trouble := range troubles {
			if size >= 200 && os.Getenv("FLEET_SIZES") == "" && !trouble.isPlayedInLargeFleet {
				continue
			}
			t.Run(fmt.Sprint(size, " routers, ", trouble.name), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(max(1, 60/size)) {
					f := newFleet(size, seed, 0.002)
					f.runUntil(5 * time.Second)
					f.planZones()
					trouble.run(f)
					f.runUntil(f.now + 4*time.Second)
					t.Logf("seed %d: at most %v late, bound %v", seed, f.latest, f.bounds.Tables)
					assert.Equal(t, f.late, 0, "seed %d: latest %v", seed, f.latest)
					t.Logf("seed %d: evacuations known after at most %v", seed, f.latestKnown)
					assert.Assert(t, f.tooLate == 0 && f.unused == 0, "seed %d: %+v", seed, f.zones)
				}
			})
		}
	}
}

// fleetSizes returns the sizes to test: 7, 61 and 295, or those in FLEET_SIZES, a list
// separated by commas.
func fleetSizes(t *testing.T) []int {
	t.Helper()
	list := os.Getenv("FLEET_SIZES")
	if list == "" {
		return []int{7, 61, 295}
	}
	var sizes []int
	for text := range strings.SplitSeq(list, ",") {
		size, err := strconv.Atoi(text)
		assert.NilError(t, err)
		sizes = append(sizes, size)
	}
	return sizes
}

// Guards against a store whose rate is used up by a fleet in calm, and against many watchers.
func TestCallsOfFleetInCalm(t *testing.T) {
	for _, size := range fleetSizes(t) {
		if size >= 200 && os.Getenv("FLEET_SIZES") == "" {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			f := newFleet(size, 1, 0.002)
			f.runUntil(6 * time.Second)
			before := 0
			for _, r := range f.routers {
				before += r.storeCalls
			}
			f.runUntil(16 * time.Second)
			calls := -before
			for _, r := range f.routers {
				calls += r.storeCalls
			}
			t.Logf("%d routers: %d calls at the start, then %.1f a second", size, before, float64(calls)/10)
			assert.Equal(t, len(f.watchers()), staleness.MaxWatchers)
			// Each watcher makes a call for each change and each wait, of two tables.
			most := 10 * 2 * float64(staleness.MaxWatchers) * (1/changeEvery.Seconds() + 1/f.bounds.Wait(staleness.Endpoints).Seconds())
			assert.Assert(t, float64(calls) <= most, "%d calls, at most %v", calls, most)
		})
	}
}

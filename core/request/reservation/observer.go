package reservation

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/request/recent"
)

// HintsPerGeneration is how many chats a pool remembers at least.
const HintsPerGeneration = 16384

// Times of the protocol.
const (
	// Transit bounds how long a release usually takes to arrive.
	Transit = 10 * time.Millisecond
	// RenewInterval is how often a router with grants lets the observer hear of
	// it, in a fleet of up to RoutersPerRenew; it grows with the fleet.
	RenewInterval   = TickInterval
	RoutersPerRenew = 10
	// Lease is the silence after which a router's grants are dropped.
	Lease = 30 * time.Second
	// DisconnectedLease is the Lease of a router that closed its connection.
	DisconnectedLease = 2 * time.Second
	// TotalInterval is the time between two exchanges of totals.
	TotalInterval = time.Second - TickInterval/2
	// TickInterval is how often Tick is to be called.
	TickInterval = 250 * time.Millisecond
	// lowMean is the mean load below which totals are exchanged at each tick.
	lowMean = 3
	// SlowStart is how long a joining engine takes to reach its full share.
	SlowStart = 20 * time.Second
	// FailurePause is how long an engine that refused work is left alone.
	FailurePause = time.Second
	// RetryBound and RetryShare are when to come back after a refusal.
	RetryBound = time.Second
	RetryShare = 2 * time.Second
	// rateHalfLife smooths the rate at which grants end.
	rateHalfLife = 2 * time.Second
	// accountMemory is how long an account counts for fair shares after it asked.
	accountMemory = 10 * time.Second
)

// RenewEvery returns how often a router renews in a fleet of this size.
func RenewEvery(routers int) time.Duration {
	return RenewInterval * time.Duration(max(1, (routers+RoutersPerRenew-1)/RoutersPerRenew))
}

// suspectAfter is the silence after which a router's grants still count as load
// of their engines but no longer raise the mean.
func suspectAfter(routers int) time.Duration {
	return RenewEvery(routers) * 5 / 2
}

// Options set the policy of a pool. The zero value of ReuseWeight spreads load
// evenly, and at 0.5 and above reuse may take all the room below the bound. Bound
// must be at least one.
type Options struct {
	// Bound is the multiple of the mean load that no engine may exceed.
	Bound float64
	// ReuseWeight in [0,1] sets cache reuse (1) against even load (0).
	ReuseWeight float64
}

// formerSuffix marks the earlier incarnation of a router. No instance name has it.
const formerSuffix = "\x00former"

type engine struct {
	name string
	hash uint64
	load int
	// slots is how many requests the engine runs at once; zero means unknown.
	slots    int
	reported int
	joined   time.Time
	isSlow   bool
	paused   time.Time
}

type grantKey struct {
	router *router
	seq    uint64
}

type grant struct {
	engine  *engine
	account *account
}

type account struct {
	held   int
	weight int
	asked  time.Time
}

// holders are the engines that a shared prefix was sent to, the latest first.
type holders [4]*engine

type otherPool struct {
	total Total
	at    time.Time
}

// Observer counts the load of one pool and grants requests.
type Observer struct {
	id      PoolID
	options Options
	engines []*engine
	// modelEngines counts those of the other pools too.
	modelEngines int
	byName       map[string]*engine
	routers      map[string]*router
	live         map[string]struct{}
	grants       map[grantKey]grant
	accounts     map[string]*account
	others       map[int]otherPool
	// hints has the engine of a chat, holders the engines of a shared prefix.
	hints   *recent.Map[uint64, *engine]
	holders *recent.Map[uint64, holders]
	// isIncumbent holds while isCounted: no router came, went or moved since.
	isIncumbent, isCounted bool
	// isIsolated observers may be cut off from others that grant as well.
	isIsolated bool
	// total counts all grants, suspect those of silent routers.
	total, suspect int
	weights        int
	rate           float64
	rateAt         time.Time
	totalSent      time.Time
}

// NewObserver returns an observer that knows no engine and no router.
func NewObserver(id PoolID, options Options) *Observer {
	return &Observer{
		id:       id,
		options:  options,
		byName:   make(map[string]*engine),
		routers:  make(map[string]*router),
		live:     make(map[string]struct{}),
		grants:   make(map[grantKey]grant),
		accounts: make(map[string]*account),
		others:   make(map[int]otherPool),
		hints:    recent.NewMap[uint64, *engine](HintsPerGeneration),
		holders:  recent.NewMap[uint64, holders](HintsPerGeneration),
	}
}

// SetOptions changes the policy.
func (o *Observer) SetOptions(options Options) {
	o.options = options
}

// SetEngines replaces the engines of the pool. Grants on an engine that left
// stay until they are released but count no more. An engine that joins a pool
// that already has engines starts slowly; one that comes back soon after it
// left keeps the chats that did not return meanwhile. modelEngines is how many
// engines all pools of the model have.
func (o *Observer) SetEngines(now time.Time, names []string, modelEngines int) {
	o.modelEngines = max(modelEngines, len(names))
	isFirst := len(o.engines) == 0
	previous := o.byName
	o.engines = o.engines[:0:0]
	o.byName = make(map[string]*engine, len(names))
	for _, name := range names {
		e, known := previous[name]
		if !known {
			e = &engine{name: name, hash: xxhash.Sum64String(name), joined: now, isSlow: !isFirst}
			e.load = o.loadOf(name)
		}
		o.engines = append(o.engines, e)
		o.byName[name] = e
	}
	o.rebind()
}

// loadOf counts the grants on an engine that was away.
func (o *Observer) loadOf(name string) int {
	count := 0
	for _, g := range o.grants {
		if g.engine.name == name {
			count++
		}
	}
	return count
}

// rebind points grants at the current engine values and recounts.
func (o *Observer) rebind() {
	o.total, o.suspect = 0, 0
	for key, g := range o.grants {
		e, ok := o.byName[g.engine.name]
		if !ok {
			continue
		}
		o.grants[key] = grant{engine: e, account: g.account}
		o.count(key.router, 1)
	}
}

func (o *Observer) count(r *router, change int) {
	o.total += change
	if r.isSuspect {
		o.suspect += change
	}
}

// SetRouters replaces the routers that are believed live. Grants of a router
// that is not live lapse with its lease.
func (o *Observer) SetRouters(instances []string) {
	o.isCounted = false
	clear(o.live)
	for _, instance := range instances {
		o.live[instance] = struct{}{}
	}
}

// IsServing reports whether this is the only observer of the pool that grants.
// A new observer serves once every live router has registered with it, since
// before that some may be registered with the former one. From then on it
// serves until a router moves to another observer, or this one may be cut off.
func (o *Observer) IsServing() bool {
	if !o.isCounted {
		o.isCounted = true
		o.isIncumbent = o.countRouters()
	}
	return o.isIncumbent && !o.isIsolated
}

// Missing returns the live routers without which this observer does not serve,
// sorted.
func (o *Observer) Missing() []string {
	if o.IsServing() {
		return nil
	}
	var missing []string
	for instance := range o.live {
		if r, ok := o.routers[instance]; !ok || !r.isRegistered {
			missing = append(missing, instance)
		}
	}
	slices.Sort(missing)
	return missing
}

// countRouters reports whether the observer may grant by what routers it knows.
func (o *Observer) countRouters() bool {
	isComplete := len(o.live) > 0
	for instance := range o.live {
		r, ok := o.routers[instance]
		if ok && r.hasLeft {
			return false
		}
		isComplete = isComplete && ok && r.isRegistered
	}
	return isComplete || o.isIncumbent
}

// Report takes in an engine's own load report. inFlight is as it was when the
// engine answered.
func (o *Observer) Report(name string, inFlight, slots int) {
	if e, ok := o.byName[name]; ok {
		e.reported, e.slots = inFlight, slots
	}
}

// Tick lets time pass: silent routers become suspect, then their leases lapse.
func (o *Observer) Tick(now time.Time) {
	limit := suspectAfter(len(o.live))
	for name, r := range o.routers {
		silence := now.Sub(r.heard)
		if r.held > 0 && !r.isSuspect && silence > limit {
			r.isSuspect = true
			o.suspect += o.heldHere(r)
		}
		if silence <= r.lease(limit) {
			continue
		}
		o.dropAll(r)
		if _, isLive := o.live[name]; !isLive {
			delete(o.routers, name)
			o.isCounted = false
		}
	}
	o.weights = 0
	for name, a := range o.accounts {
		if a.held == 0 && now.Sub(a.asked) > accountMemory {
			delete(o.accounts, name)
			continue
		}
		o.weights += a.weight
	}
}

// SetOther takes in the load of another pool of the same model.
func (o *Observer) SetOther(now time.Time, total Total) {
	o.others[total.Pool.Index] = otherPool{total: total, at: now}
}

// isTotalDue reports whether the other pools have to hear of the load now: at
// once a second, and more often while loads are so low that one request more or
// less matters.
func (o *Observer) isTotalDue(now time.Time) bool {
	isLow := o.total < lowMean*len(o.engines)
	if !isLow && now.Sub(o.totalSent) < TotalInterval {
		return false
	}
	o.totalSent = now
	return true
}

// Total returns what the observers of the model's other pools need to know.
func (o *Observer) Total(now time.Time) Total {
	o.rate = o.decayedRate(now)
	return Total{Pool: o.id, Load: o.total - o.suspect, Engines: len(o.engines), Rate: o.rate}
}

// Loads calls f with the load of each engine in the pool.
func (o *Observer) Loads(f func(name string, load int)) {
	for _, e := range o.engines {
		f(e.name, e.load)
	}
}

func (o *Observer) account(now time.Time, name string, weight int) *account {
	a, ok := o.accounts[name]
	if !ok {
		a = &account{weight: max(1, weight)}
		o.accounts[name] = a
		o.weights += a.weight
	}
	a.asked = now
	return a
}

func (o *Observer) record(now time.Time, r *router, seq uint64, e *engine, a *account) {
	o.grants[grantKey{r, seq}] = grant{engine: e, account: a}
	r.seqs[seq] = struct{}{}
	r.held++
	r.heard = now
	a.held++
	e.load++
	if o.byName[e.name] == e {
		o.count(r, 1)
	}
}

func (o *Observer) drop(r *router, seq uint64) bool {
	key := grantKey{r, seq}
	g, ok := o.grants[key]
	if !ok {
		return false
	}
	delete(o.grants, key)
	delete(r.seqs, seq)
	r.held--
	g.account.held--
	g.engine.load--
	if o.byName[g.engine.name] == g.engine {
		o.count(r, -1)
	}
	return true
}

func (o *Observer) dropAll(r *router) {
	for seq := range r.seqs {
		o.drop(r, seq)
	}
}

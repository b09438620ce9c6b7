package reservation

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/request/recent"
)

// EntriesPerGeneration is the minimum number of chats, and of shared prefixes, kept
// per pool.
const EntriesPerGeneration = 16384

// Timing of the protocol.
const (
	// ReleaseTransitTime is the usual upper bound on the delivery time of a release.
	ReleaseTransitTime = 10 * time.Millisecond
	// RenewInterval is the time between lease renewals of a router with grants
	// in a fleet of up to RoutersPerRenew routers; it grows with the fleet.
	RenewInterval   = TickInterval
	RoutersPerRenew = 10
	// Lease is the silence after which a router's grants are dropped.
	Lease = 30 * time.Second
	// DisconnectedLease is the Lease of a router that closed its connection.
	DisconnectedLease = 2 * time.Second
	// TotalInterval is the minimum time between two exchanges of totals, below a
	// second so that tick jitter does not delay one by a tick.
	TotalInterval = time.Second - TickInterval/2
	// TickInterval is the time between calls of Tick.
	TickInterval = 250 * time.Millisecond
	// lowMeanLoad is the mean load below which totals are exchanged at each tick.
	lowMeanLoad = 3
	// SlowStart is the time in which a joining engine reaches its full load limit.
	SlowStart = 20 * time.Second
	// FailurePause is how long an engine that refused a request gets no grants.
	FailurePause = time.Second
	// RetryBound and RetryShare are the retry delays after a refusal.
	RetryBound = time.Second
	RetryShare = 2 * time.Second
	// rateHalfLife is the half-life of the smoothed rate of ended grants.
	rateHalfLife = 2 * time.Second
	// accountRetention is how long an account without grants counts for fair shares
	// after its last request.
	accountRetention = 10 * time.Second
)

// RenewEvery returns the renewal interval of a router in a fleet of this size.
func RenewEvery(routers int) time.Duration {
	return RenewInterval * time.Duration(max(1, (routers+RoutersPerRenew-1)/RoutersPerRenew))
}

// suspectAfter returns the silence after which a router's grants still count as
// load of their engines but not in the mean.
func suspectAfter(routers int) time.Duration {
	return RenewEvery(routers) * 5 / 2
}

// Options set the policy of a pool.
type Options struct {
	// Bound is the multiple of the mean load that no engine may exceed, at
	// least one.
	Bound float64
	// ReuseWeight in [0,1] weighs cache reuse (1) against even load (0). At 0.5
	// and above, reuse may take all of the range between the mean and the bound.
	ReuseWeight float64
}

// formerSuffix is appended to an instance name to key the router's earlier
// incarnation in Observer.routers. No instance name contains it.
const formerSuffix = "\x00former"

type engine struct {
	name string
	hash uint64
	load int
	// slots is the number of requests the engine runs concurrently; zero means
	// unknown.
	slots        int
	reported     int
	joinedAt     time.Time
	hasSlowStart bool
	pausedUntil  time.Time
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
	inFlight    int
	weight      int
	lastRequest time.Time
}

// prefixEngines are the engines that a shared prefix was sent to, most recent first.
type prefixEngines [4]*engine

type otherPool struct {
	total Total
	at    time.Time
}

// Observer counts the load of one pool and grants requests.
type Observer struct {
	id      PoolID
	options Options
	engines []*engine
	// modelEngines is the number of engines in all pools of the model.
	modelEngines int
	byName       map[string]*engine
	routers      map[string]*router
	live         map[string]struct{}
	grants       map[grantKey]grant
	accounts     map[string]*account
	others       map[int]otherPool
	// chatEngines maps a chat to its engine, prefixEngines a shared
	// prefix to its engines.
	chatEngines   *recent.Map[uint64, *engine]
	prefixEngines *recent.Map[uint64, prefixEngines]
	// isSoleObserver says that all live routers registered here and none moved away
	// since. It is valid while isSoleObserverKnown is set.
	isSoleObserver, isSoleObserverKnown bool
	// isIsolated is set if a network partition may separate this observer from
	// others that grant as well.
	isIsolated bool
	// total counts all grants, suspect those of silent routers.
	total, suspect int
	totalWeight    int
	// rate is the smoothed number of grants ended per second, at rateAt.
	rate        float64
	rateAt      time.Time
	totalSentAt time.Time
}

// NewObserver returns an observer without engines and routers.
func NewObserver(id PoolID, options Options) *Observer {
	return &Observer{
		id:            id,
		options:       options,
		byName:        make(map[string]*engine),
		routers:       make(map[string]*router),
		live:          make(map[string]struct{}),
		grants:        make(map[grantKey]grant),
		accounts:      make(map[string]*account),
		others:        make(map[int]otherPool),
		chatEngines:   recent.NewMap[uint64, *engine](EntriesPerGeneration),
		prefixEngines: recent.NewMap[uint64, prefixEngines](EntriesPerGeneration),
	}
}

// SetOptions changes the policy.
func (o *Observer) SetOptions(options Options) {
	o.options = options
}

// SetEngines replaces the engines of the pool. Grants on a removed engine are
// kept until they are released but no longer counted. An engine that joins a pool
// with engines gets a slow start; one that rejoins soon after its removal keeps
// the chats that sent no request meanwhile. modelEngines is the number of engines
// in all pools of the model.
func (o *Observer) SetEngines(now time.Time, names []string, modelEngines int) {
	o.modelEngines = max(modelEngines, len(names))
	isFirst := len(o.engines) == 0
	previous := o.byName
	o.engines = o.engines[:0:0]
	o.byName = make(map[string]*engine, len(names))
	for _, name := range names {
		e, known := previous[name]
		if !known {
			e = &engine{name: name, hash: xxhash.Sum64String(name), joinedAt: now, hasSlowStart: !isFirst}
			e.load = o.loadOf(name)
		}
		o.engines = append(o.engines, e)
		o.byName[name] = e
	}
	o.rebind()
}

// loadOf counts the grants on an engine that rejoins.
func (o *Observer) loadOf(name string) int {
	count := 0
	for _, g := range o.grants {
		if g.engine.name == name {
			count++
		}
	}
	return count
}

// rebind points grants at the current engine values and recomputes the totals.
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

// SetRouters replaces the routers that are considered live. Grants of any other
// router expire with its lease.
func (o *Observer) SetRouters(instances []string) {
	o.isSoleObserverKnown = false
	clear(o.live)
	for _, instance := range instances {
		o.live[instance] = struct{}{}
	}
}

// IsServing reports whether this is the only observer of the pool that grants.
// A new observer serves once every live router has registered with it; before
// that, some may still be registered with the former observer. It serves until a
// router moves to another observer or a partition may isolate it.
func (o *Observer) IsServing() bool {
	if !o.isSoleObserverKnown {
		o.isSoleObserverKnown = true
		o.isSoleObserver = o.computeSoleObserver()
	}
	return o.isSoleObserver && !o.isIsolated
}

// UnregisteredRouters returns the live routers, sorted, whose registration this
// observer needs before it serves.
func (o *Observer) UnregisteredRouters() []string {
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

// computeSoleObserver returns the current value of isSoleObserver.
func (o *Observer) computeSoleObserver() bool {
	isComplete := len(o.live) > 0
	for instance := range o.live {
		r, ok := o.routers[instance]
		if ok && r.hasLeft {
			return false
		}
		isComplete = isComplete && ok && r.isRegistered
	}
	return isComplete || o.isSoleObserver
}

// Report records an engine's own load report. inFlight is its load when it replied.
func (o *Observer) Report(name string, inFlight, slots int) {
	if e, ok := o.byName[name]; ok {
		e.reported, e.slots = inFlight, slots
	}
}

// Tick marks silent routers as suspect, drops the grants of expired leases and
// forgets idle accounts.
func (o *Observer) Tick(now time.Time) {
	limit := suspectAfter(len(o.live))
	for name, r := range o.routers {
		silence := now.Sub(r.lastContact)
		if r.inFlight > 0 && !r.isSuspect && silence > limit {
			r.isSuspect = true
			o.suspect += o.countPoolGrants(r)
		}
		if silence <= r.lease(limit) {
			continue
		}
		o.dropAll(r)
		if _, isLive := o.live[name]; !isLive {
			delete(o.routers, name)
			o.isSoleObserverKnown = false
		}
	}
	o.totalWeight = 0
	for name, a := range o.accounts {
		if a.inFlight == 0 && now.Sub(a.lastRequest) > accountRetention {
			delete(o.accounts, name)
			continue
		}
		o.totalWeight += a.weight
	}
}

// SetOtherTotal records the load of another pool of the same model.
func (o *Observer) SetOtherTotal(now time.Time, total Total) {
	o.others[total.Pool.Index] = otherPool{total: total, at: now}
}

// isTotalDue reports whether to send the load to the other pools now: about once
// a second, and at each call while loads are so low that a single request matters.
// It records when the load is sent.
func (o *Observer) isTotalDue(now time.Time) bool {
	isLow := o.total < lowMeanLoad*len(o.engines)
	if !isLow && now.Sub(o.totalSentAt) < TotalInterval {
		return false
	}
	o.totalSentAt = now
	return true
}

// Total returns the load to send to the observers of the model's other pools.
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
		o.totalWeight += a.weight
	}
	a.lastRequest = now
	return a
}

func (o *Observer) record(now time.Time, r *router, seq uint64, e *engine, a *account) {
	o.grants[grantKey{r, seq}] = grant{engine: e, account: a}
	r.seqs[seq] = struct{}{}
	r.inFlight++
	r.lastContact = now
	a.inFlight++
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
	r.inFlight--
	g.account.inFlight--
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

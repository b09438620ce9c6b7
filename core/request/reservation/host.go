package reservation

import (
	"slices"
	"time"

	"gentianhead/core/process/membership"
)

// Spec is the configuration of a pool.
type Spec struct {
	Options Options
	// ModelEngines is the number of engines in all pools of the model.
	ModelEngines int
	Engines      []string
}

// Host holds the observers of one router process. Any router may be asked for
// any pool; observers are created on first use.
type Host struct {
	self       string
	view       *membership.View
	specs      map[PoolID]Spec
	observers  map[PoolID]*Observer
	assignment *Assignment
	// handedOverAt has the time at which a former observer handed over a pool.
	handedOverAt map[PoolID]time.Time
	// hasInstanceList is set once the platform's list of instances was read.
	hasInstanceList bool
	// lastSeen has the time at which each router was last in the view, except for
	// leaving routers.
	lastSeen map[string]time.Time
	// dead has the incarnation of each router that refused a connection.
	dead map[string]uint64
}

// NewHost returns the observers of the router self, without pools.
func NewHost(self string) *Host {
	return &Host{
		self:         self,
		view:         &membership.View{},
		specs:        make(map[PoolID]Spec),
		observers:    make(map[PoolID]*Observer),
		assignment:   &Assignment{},
		lastSeen:     make(map[string]time.Time),
		dead:         make(map[string]uint64),
		handedOverAt: make(map[PoolID]time.Time),
	}
}

// SetView replaces the view and the assignment. It returns the pools for which
// this router no longer ranks first.
func (h *Host) SetView(now time.Time, view *membership.View, assignment *Assignment) []PoolID {
	var former []PoolID
	for id := range h.observers {
		if h.First(id).Instance == h.self {
			former = append(former, id)
		}
	}
	h.view, h.assignment = view, assignment
	h.updateRouters()
	h.updateIsolation(now)
	return slices.DeleteFunc(former, func(id PoolID) bool { return h.First(id).Instance == h.self })
}

// Listed records that the view contains the platform's list of instances. Before
// that, a router that sees no other one can't know that it is alone, and grants
// nothing.
func (h *Host) Listed(now time.Time) {
	h.hasInstanceList = true
	h.updateIsolation(now)
}

// updateIsolation stops the observers from granting while this router sees at most
// half of the routers that it saw within Lease and that are not known to be dead
// or leaving: a partition may then separate it from the others.
func (h *Host) updateIsolation(now time.Time) {
	for _, router := range h.view.Routers {
		h.lastSeen[router.Instance] = now
		if router.Leaving {
			delete(h.lastSeen, router.Instance)
		}
	}
	known := 0
	for instance, seen := range h.lastSeen {
		if now.Sub(seen) > Lease {
			delete(h.lastSeen, instance)
			continue
		}
		if !h.IsDead(instance) {
			known++
		}
	}
	isStarting := len(h.view.Routers) <= 1 && !h.hasInstanceList
	for _, o := range h.observers {
		o.isIsolated = isStarting || 2*len(h.view.Routers) <= known
	}
}

// Disconnected records that a router's process probably terminated, so its
// requests may no longer be running.
func (h *Host) Disconnected(instance string) {
	for _, o := range h.observers {
		o.Disconnected(instance)
	}
}

// SetDead records that no process listens at a router's address, so that observers
// don't wait for its registration. It holds until the view has the router's next
// incarnation or the router registers.
func (h *Host) SetDead(instance string) {
	router, _ := h.view.Find(instance)
	h.dead[instance] = router.Incarnation
	h.updateRouters()
}

func (h *Host) updateRouters() {
	names := h.liveNames()
	for _, o := range h.observers {
		o.SetRouters(names)
	}
}

func (h *Host) liveNames() []string {
	names := make([]string, 0, len(h.view.Routers))
	for _, router := range h.view.Routers {
		if !h.IsDead(router.Instance) {
			names = append(names, router.Instance)
		}
	}
	return names
}

// SetSpecs replaces the configuration of the pools.
func (h *Host) SetSpecs(now time.Time, specs map[PoolID]Spec) {
	h.specs = specs
	for id, o := range h.observers {
		spec, ok := specs[id]
		if !ok {
			delete(h.observers, id)
			continue
		}
		o.SetOptions(spec.Options)
		o.SetEngines(now, spec.Engines, spec.ModelEngines)
	}
}

// Observer returns the observer of a pool, or nil if the pool does not exist.
func (h *Host) Observer(now time.Time, id PoolID) *Observer {
	if o, ok := h.observers[id]; ok {
		return o
	}
	spec, ok := h.specs[id]
	if !ok {
		return nil
	}
	o := NewObserver(id, spec.Options)
	o.SetEngines(now, spec.Engines, spec.ModelEngines)
	o.SetRouters(h.liveNames())
	h.observers[id] = o
	h.updateIsolation(now)
	return o
}

// Missing returns the routers whose registration a pool's observer waits for, if
// that is this router.
func (h *Host) Missing(id PoolID) []string {
	o, ok := h.observers[id]
	if !ok || h.First(id).Instance != h.self {
		return nil
	}
	return o.Missing()
}

// First returns the first-ranked observer of the pool.
func (h *Host) First(id PoolID) membership.Router {
	return h.assignment.First(id)
}

// Appoint records that the former observer of a pool handed it over to this
// router, whose view may not show that yet.
func (h *Host) Appoint(now time.Time, id PoolID) {
	h.handedOverAt[id] = now
}

// IsDead reports whether a router is known not to be running.
func (h *Host) IsDead(instance string) bool {
	incarnation, isDead := h.dead[instance]
	if !isDead {
		return false
	}
	router, _ := h.view.Find(instance)
	return router.Incarnation <= incarnation
}

// Reserve decides on a request. A router that doesn't rank first redirects to the
// one that does, unless the sender could not reach that.
func (h *Host) Reserve(now time.Time, request *Request) Decision {
	first := h.First(request.Pool)
	isHandedOver := now.Sub(h.handedOverAt[request.Pool]) < redirectTTL
	if !isHandedOver && !request.IsFailover && first.Instance != "" && first.Instance != h.self {
		return Decision{Verdict: Redirected, Observer: first.Instance, Address: first.PeerAddress}
	}
	o := h.Observer(now, request.Pool)
	if o == nil {
		return Decision{Verdict: RefusedEmpty, RetryAfter: RetryBound}
	}
	return o.Reserve(now, request)
}

// Register replaces the grants of a router with those in the registration.
func (h *Host) Register(now time.Time, registration Registration) {
	if _, wasDead := h.dead[registration.Router]; wasDead {
		delete(h.dead, registration.Router)
		h.updateRouters()
	}
	if o := h.Observer(now, registration.Pool); o != nil {
		o.Register(now, registration)
	}
}

// Release ends grants. It reports whether the router is registered here.
func (h *Host) Release(now time.Time, release Release) bool {
	o, ok := h.observers[release.Pool]
	return ok && o.Release(now, release)
}

// SetTotal records the load of another pool of a model.
func (h *Host) SetTotal(now time.Time, total Total) {
	for id, o := range h.observers {
		if id.Model == total.Pool.Model {
			o.SetOther(now, total)
		}
	}
}

// Tick updates the observers and returns the totals to send to the observers of
// the other pools of the same models.
func (h *Host) Tick(now time.Time) []Total {
	h.updateIsolation(now)
	var totals []Total
	for id, o := range h.observers {
		o.Tick(now)
		if h.First(id).Instance == h.self && h.isSplit(id) && o.isTotalDue(now) {
			totals = append(totals, o.Total(now))
		}
	}
	return totals
}

// isSplit reports whether the pool's model has other pools.
func (h *Host) isSplit(id PoolID) bool {
	other := id
	other.Index = 1 - min(1, id.Index)
	_, ok := h.specs[other]
	return ok
}

// Observed calls f with each pool that this router observes.
func (h *Host) Observed(f func(id PoolID, o *Observer)) {
	for id, o := range h.observers {
		if h.First(id).Instance == h.self {
			f(id, o)
		}
	}
}

// Others returns the other pools of a pool's model.
func (h *Host) Others(id PoolID) []PoolID {
	var others []PoolID
	for other := range h.specs {
		if other.Model == id.Model && other.Index != id.Index {
			others = append(others, other)
		}
	}
	return others
}

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

// ObserverSet holds the observers of one router process. Any router may be asked
// for any pool; observers are created on first use.
type ObserverSet struct {
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
	// dead has the incarnation of each router that refused a connection: that
	// incarnation is not running.
	dead map[string]uint64
}

// NewObserverSet returns the observers of the router self, without pools.
func NewObserverSet(self string) *ObserverSet {
	return &ObserverSet{
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
func (s *ObserverSet) SetView(now time.Time, view *membership.View, assignment *Assignment) []PoolID {
	var former []PoolID
	for id := range s.observers {
		if s.First(id).Instance == s.self {
			former = append(former, id)
		}
	}
	s.view, s.assignment = view, assignment
	s.updateRouters()
	s.updateIsolation(now)
	return slices.DeleteFunc(former, func(id PoolID) bool { return s.First(id).Instance == s.self })
}

// InstancesListed records that the view contains the platform's list of instances.
// Before that, a router that sees no other one can't know that it is alone, and
// grants nothing.
func (s *ObserverSet) InstancesListed(now time.Time) {
	s.hasInstanceList = true
	s.updateIsolation(now)
}

// updateIsolation stops the observers from granting while this router sees at most
// half of the routers that it saw within Lease and that are not known to be dead
// or leaving: a partition may then separate it from the others.
func (s *ObserverSet) updateIsolation(now time.Time) {
	for _, router := range s.view.Routers {
		s.lastSeen[router.Instance] = now
		if router.Leaving {
			delete(s.lastSeen, router.Instance)
		}
	}
	known := 0
	for instance, seen := range s.lastSeen {
		if now.Sub(seen) > Lease {
			delete(s.lastSeen, instance)
			continue
		}
		if !s.IsDead(instance) {
			known++
		}
	}
	isStarting := len(s.view.Routers) <= 1 && !s.hasInstanceList
	for _, o := range s.observers {
		o.isIsolated = isStarting || 2*len(s.view.Routers) <= known
	}
}

// Disconnected records that a router's process probably terminated, so its
// requests may no longer be running.
func (s *ObserverSet) Disconnected(instance string) {
	for _, o := range s.observers {
		o.Disconnected(instance)
	}
}

// SetDead records that no process listens at a router's address, so that observers
// don't wait for its registration. It holds until the view has the router's next
// incarnation or the router registers.
func (s *ObserverSet) SetDead(instance string) {
	router, _ := s.view.Find(instance)
	s.dead[instance] = router.Incarnation
	s.updateRouters()
}

func (s *ObserverSet) updateRouters() {
	names := s.liveNames()
	for _, o := range s.observers {
		o.SetRouters(names)
	}
}

func (s *ObserverSet) liveNames() []string {
	names := make([]string, 0, len(s.view.Routers))
	for _, router := range s.view.Routers {
		if !s.IsDead(router.Instance) {
			names = append(names, router.Instance)
		}
	}
	return names
}

// SetSpecs replaces the configuration of the pools.
func (s *ObserverSet) SetSpecs(now time.Time, specs map[PoolID]Spec) {
	s.specs = specs
	for id, o := range s.observers {
		spec, ok := specs[id]
		if !ok {
			delete(s.observers, id)
			continue
		}
		o.SetOptions(spec.Options)
		o.SetEngines(now, spec.Engines, spec.ModelEngines)
	}
}

// Observer returns the observer of a pool, or nil if the pool does not exist.
func (s *ObserverSet) Observer(now time.Time, id PoolID) *Observer {
	if o, ok := s.observers[id]; ok {
		return o
	}
	spec, ok := s.specs[id]
	if !ok {
		return nil
	}
	o := NewObserver(id, spec.Options)
	o.SetEngines(now, spec.Engines, spec.ModelEngines)
	o.SetRouters(s.liveNames())
	s.observers[id] = o
	s.updateIsolation(now)
	return o
}

// UnregisteredRouters returns the routers whose registration a pool's observer
// waits for, if that is this router.
func (s *ObserverSet) UnregisteredRouters(id PoolID) []string {
	o, ok := s.observers[id]
	if !ok || s.First(id).Instance != s.self {
		return nil
	}
	return o.UnregisteredRouters()
}

// First returns the first-ranked observer of the pool.
func (s *ObserverSet) First(id PoolID) membership.Router {
	return s.assignment.First(id)
}

// RecordHandover records that the former observer of a pool handed it over to this
// router, whose view may not show that yet.
func (s *ObserverSet) RecordHandover(now time.Time, id PoolID) {
	s.handedOverAt[id] = now
}

// IsDead reports whether a router is known not to be running.
func (s *ObserverSet) IsDead(instance string) bool {
	incarnation, isDead := s.dead[instance]
	if !isDead {
		return false
	}
	router, _ := s.view.Find(instance)
	return router.Incarnation <= incarnation
}

// Reserve decides on a request. A router that doesn't rank first redirects to the
// one that does, unless the sender could not reach that router.
func (s *ObserverSet) Reserve(now time.Time, request *Request) Decision {
	first := s.First(request.Pool)
	isHandedOver := now.Sub(s.handedOverAt[request.Pool]) < redirectTTL
	if !isHandedOver && !request.IsFailover && first.Instance != "" && first.Instance != s.self {
		return Decision{Verdict: Redirected, Observer: first.Instance, Address: first.PeerAddress}
	}
	o := s.Observer(now, request.Pool)
	if o == nil {
		return Decision{Verdict: RefusedNoEngine, RetryAfter: RetryBound}
	}
	return o.Reserve(now, request)
}

// Register replaces the grants of a router with those in the registration.
func (s *ObserverSet) Register(now time.Time, registration Registration) {
	if _, wasDead := s.dead[registration.Router]; wasDead {
		delete(s.dead, registration.Router)
		s.updateRouters()
	}
	if o := s.Observer(now, registration.Pool); o != nil {
		o.Register(now, registration)
	}
}

// Release ends grants. It reports whether the router is registered here.
func (s *ObserverSet) Release(now time.Time, release Release) bool {
	o, ok := s.observers[release.Pool]
	return ok && o.Release(now, release)
}

// SetTotal records the load of another pool of a model.
func (s *ObserverSet) SetTotal(now time.Time, total Total) {
	for id, o := range s.observers {
		if id.Model == total.Pool.Model {
			o.SetOtherTotal(now, total)
		}
	}
}

// Tick updates the observers and returns the totals to send to the observers of
// the other pools of the same models.
func (s *ObserverSet) Tick(now time.Time) []Total {
	s.updateIsolation(now)
	var totals []Total
	for id, o := range s.observers {
		o.Tick(now)
		if s.First(id).Instance == s.self && s.isSplit(id) && o.isTotalDue(now) {
			totals = append(totals, o.Total(now))
		}
	}
	return totals
}

// isSplit reports whether the pool's model has other pools.
func (s *ObserverSet) isSplit(id PoolID) bool {
	other := id
	other.Index = 1 - min(1, id.Index)
	_, ok := s.specs[other]
	return ok
}

// Observed calls f with each pool that this router observes.
func (s *ObserverSet) Observed(f func(id PoolID, o *Observer)) {
	for id, o := range s.observers {
		if s.First(id).Instance == s.self {
			f(id, o)
		}
	}
}

// Others returns the other pools of a pool's model.
func (s *ObserverSet) Others(id PoolID) []PoolID {
	var others []PoolID
	for other := range s.specs {
		if other.Model == id.Model && other.Index != id.Index {
			others = append(others, other)
		}
	}
	return others
}

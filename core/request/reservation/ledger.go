package reservation

import (
	"slices"
	"time"

	"gentianhead/core/process/membership"
)

// Times for which a router that is gone is not asked. The time doubles with each
// failure in a row.
const (
	MinAvoid = 3 * time.Second
	MaxAvoid = 30 * time.Second
)

// avoidance is how long a router is not asked.
type avoidance struct {
	until time.Time
	next  time.Duration
}

// redirectTime is how long a redirection is followed.
const redirectTime = 5 * time.Second

// Ledger is what one router has in flight, by pool. It decides which observer
// to ask and knows with which one the router is registered.
type Ledger struct {
	router      string
	incarnation uint64
	seq         uint64
	view        *membership.View
	assignment  *Assignment
	pools       map[PoolID]*poolLedger
	avoided     map[string]avoidance
}

type poolLedger struct {
	// redirect is another router to ask first.
	redirect   membership.Router
	redirected time.Time
	observer   membership.Router
	isFailover bool
	grants     []Grant
	pending    []uint64
	ended      []uint64
	failed     string
	heard      time.Time
}

// Target is the router to ask next.
type Target struct {
	Router membership.Router
	// MustRegister says that the router is not registered there yet.
	MustRegister bool
	// IsFailover goes into the Request.
	IsFailover bool
}

// NewLedger returns an empty ledger of a router's process.
func NewLedger(router string, incarnation uint64) *Ledger {
	return &Ledger{
		router:      router,
		incarnation: incarnation,
		view:        &membership.View{},
		assignment:  &Assignment{},
		pools:       make(map[PoolID]*poolLedger),
		avoided:     make(map[string]avoidance),
	}
}

// SetView replaces the routers that are believed live, and what they observe.
func (l *Ledger) SetView(view *membership.View, assignment *Assignment) {
	for _, router := range view.Routers {
		if former, ok := l.view.Find(router.Instance); ok && former.Incarnation != router.Incarnation {
			l.Reached(router.Instance)
		}
	}
	l.view, l.assignment = view, assignment
}

func (l *Ledger) pool(id PoolID) *poolLedger {
	p, ok := l.pools[id]
	if !ok {
		p = &poolLedger{}
		l.pools[id] = p
	}
	return p
}

// Target returns the router to ask for a pool, or false when all that could be
// asked are gone. A router stays with its observer until that names another one
// or is gone: views that differ for a while and answers that stay out move nobody.
func (l *Ledger) Target(now time.Time, id PoolID) (Target, bool) {
	p := l.pool(id)
	if p.observer.Instance != "" && !l.isRedirected(now, p) {
		return Target{Router: p.observer, IsFailover: p.isFailover}, true
	}
	if l.isRedirected(now, p) {
		return Target{Router: p.redirect, MustRegister: p.observer.Instance != p.redirect.Instance}, true
	}
	for place := range MaxObservers {
		router, ok := l.assignment.At(id, place)
		if !ok || l.isAvoided(now, router.Instance) {
			continue
		}
		return Target{Router: router, MustRegister: p.observer.Instance != router.Instance, IsFailover: place > 0}, true
	}
	return Target{}, false
}

func (l *Ledger) isRedirected(now time.Time, p *poolLedger) bool {
	return p.redirect.Instance != "" && now.Sub(p.redirected) < redirectTime && !l.isAvoided(now, p.redirect.Instance)
}

func (l *Ledger) isAvoided(now time.Time, instance string) bool {
	a, ok := l.avoided[instance]
	return ok && now.Before(a.until)
}

// Gone notes that a router does not run, or is not in the view and does not answer.
func (l *Ledger) Gone(now time.Time, instance string) {
	if l.isAvoided(now, instance) {
		return
	}
	a := l.avoided[instance]
	a.next = min(MaxAvoid, max(MinAvoid, a.next))
	a.until = now.Add(a.next)
	a.next *= 2
	l.avoided[instance] = a
}

// Reached notes that a router answered.
func (l *Ledger) Reached(instance string) {
	delete(l.avoided, instance)
}

// Redirect notes that another router observes the pool.
func (l *Ledger) Redirect(now time.Time, id PoolID, to membership.Router) {
	p := l.pool(id)
	p.redirect, p.redirected = to, now
}

// Begin fills in who asks. The request is pending until Granted or End.
func (l *Ledger) Begin(request *Request) {
	l.seq++
	request.Router, request.Incarnation, request.Seq = l.router, l.incarnation, l.seq
	p := l.pool(request.Pool)
	p.pending = append(p.pending, request.Seq)
}

// Registration returns what to tell an observer before it is asked. The former
// observer, if it names one, is to be sent Leave.
func (l *Ledger) Registration(now time.Time, id PoolID, target Target) (registration Registration, former membership.Router) {
	p := l.pool(id)
	if p.observer.Instance != target.Router.Instance {
		former = p.observer
	}
	p.observer, p.isFailover, p.heard = target.Router, target.IsFailover, now
	return Registration{
		Pool:        id,
		Router:      l.router,
		Incarnation: l.incarnation,
		Grants:      slices.Clone(p.grants),
		Pending:     slices.Clone(p.pending),
	}, former
}

// Leave returns the message that ends the registration with a former observer.
func (l *Ledger) Leave(id PoolID) Release {
	return Release{Pool: id, Router: l.router, Incarnation: l.incarnation, IsLeaving: true}
}

// Observer returns the router with which this one is registered for a pool, or
// the zero Router.
func (l *Ledger) Observer(id PoolID) membership.Router {
	return l.pool(id).observer
}

// Renewal returns an empty release, which shows whether an observer answers.
func (l *Ledger) Renewal(id PoolID) Release {
	return Release{Pool: id, Router: l.router, Incarnation: l.incarnation}
}

// Unregister notes that the observer does not know this router.
func (l *Ledger) Unregister(id PoolID, observer string) {
	if p := l.pool(id); p.observer.Instance == observer {
		p.observer = membership.Router{}
	}
}

// Granted notes a grant. It returns false when the router has moved to another
// observer meanwhile, which does not count the grant: it must not be used.
func (l *Ledger) Granted(now time.Time, request *Request, observer, engine string) bool {
	p := l.pool(request.Pool)
	if p.observer.Instance != observer {
		return false
	}
	p.pending = without(p.pending, request.Seq)
	p.heard = now
	p.grants = append(p.grants, Grant{Seq: request.Seq, Engine: engine, Account: request.Account, Weight: request.Weight})
	return true
}

// End notes that a request left its engine, was refused, or that it is not
// known whether it was granted. failed names an engine that refused it as not
// run, or is empty.
func (l *Ledger) End(id PoolID, seq uint64, failed string) {
	p := l.pool(id)
	p.pending = without(p.pending, seq)
	p.grants = slices.DeleteFunc(p.grants, func(g Grant) bool { return g.Seq == seq })
	p.ended = append(p.ended, seq)
	if failed != "" {
		p.failed = failed
	}
}

// Refused notes that a request was certainly not granted.
func (l *Ledger) Refused(request *Request) {
	p := l.pool(request.Pool)
	p.pending = without(p.pending, request.Seq)
}

func without(seqs []uint64, seq uint64) []uint64 {
	return slices.DeleteFunc(seqs, func(s uint64) bool { return s == seq })
}

// TakeRelease returns what the observer of the pool has to be told now, and
// whether there is anything: ended grants, or a renewal that is due.
func (l *Ledger) TakeRelease(now time.Time, id PoolID) (Release, bool) {
	p := l.pool(id)
	renew := RenewEvery(len(l.view.Routers))
	isDue := len(p.grants) > 0 && now.Sub(p.heard) >= renew
	if p.observer.Instance == "" || (len(p.ended) == 0 && !isDue) {
		return Release{}, false
	}
	release := Release{Pool: id, Router: l.router, Incarnation: l.incarnation, Seqs: p.ended, Failed: p.failed}
	p.ended, p.failed, p.heard = nil, "", now
	return release, true
}

// PutBack returns a release that was not delivered, to be taken again.
func (l *Ledger) PutBack(release Release) {
	p := l.pool(release.Pool)
	p.ended = append(p.ended, release.Seqs...)
}

// Pools returns the pools that this router knows.
func (l *Ledger) Pools() []PoolID {
	ids := make([]PoolID, 0, len(l.pools))
	for id := range l.pools {
		ids = append(ids, id)
	}
	return ids
}

// InFlight returns how many requests this router has in flight in a pool.
func (l *Ledger) InFlight(id PoolID) int {
	return len(l.pool(id).grants)
}

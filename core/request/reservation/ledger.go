package reservation

import (
	"slices"
	"time"

	"gentianhead/core/process/membership"
)

// Bounds of the backoff for an unreachable router. The backoff doubles with each
// consecutive failure.
const (
	MinBackoff = 3 * time.Second
	MaxBackoff = 30 * time.Second
)

type backoff struct {
	until time.Time
	next  time.Duration
}

const redirectTTL = 5 * time.Second

// Ledger records the requests that one router has in flight, by pool. It selects
// the observer to ask and records where the router is registered.
type Ledger struct {
	router      string
	incarnation uint64
	seq         uint64
	view        *membership.View
	assignment  *Assignment
	pools       map[PoolID]*poolLedger
	backoffs    map[string]backoff
}

type poolLedger struct {
	// redirect overrides the assigned observer for redirectTTL.
	redirect     membership.Router
	redirectedAt time.Time
	observer     membership.Router
	isFailover   bool
	grants       []Grant
	pending      []uint64
	ended        []uint64
	failedEngine string
	lastContact  time.Time
}

// Target is the router to ask next.
type Target struct {
	Router membership.Router
	// MustRegister is set when this router is not registered there yet.
	MustRegister bool
	// IsFailover is copied into the Request.
	IsFailover bool
}

// NewLedger returns an empty ledger for one process of a router.
func NewLedger(router string, incarnation uint64) *Ledger {
	return &Ledger{
		router:      router,
		incarnation: incarnation,
		view:        &membership.View{},
		assignment:  &Assignment{},
		pools:       make(map[PoolID]*poolLedger),
		backoffs:    make(map[string]backoff),
	}
}

// SetView replaces the view and the assignment. A new incarnation of a router
// ends its backoff.
func (l *Ledger) SetView(view *membership.View, assignment *Assignment) {
	for _, router := range view.Routers {
		if former, ok := l.view.Find(router.Instance); ok && former.Incarnation != router.Incarnation {
			l.MarkReachable(router.Instance)
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

// Target returns the observer to ask for a pool, or false when all candidates are
// unreachable. A router keeps its observer until it is redirected or the observer is
// gone, so temporarily differing views and missing replies cause no moves.
func (l *Ledger) Target(now time.Time, id PoolID) (Target, bool) {
	p := l.pool(id)
	if p.observer.Instance != "" && !l.isRedirected(now, p) {
		return Target{Router: p.observer, IsFailover: p.isFailover}, true
	}
	if l.isRedirected(now, p) {
		return Target{Router: p.redirect, MustRegister: p.observer.Instance != p.redirect.Instance}, true
	}
	for rank := range MaxObservers {
		router, ok := l.assignment.At(id, rank)
		if !ok || l.isBackedOff(now, router.Instance) {
			continue
		}
		return Target{Router: router, MustRegister: p.observer.Instance != router.Instance, IsFailover: rank > 0}, true
	}
	return Target{}, false
}

func (l *Ledger) isRedirected(now time.Time, p *poolLedger) bool {
	return p.redirect.Instance != "" && now.Sub(p.redirectedAt) < redirectTTL && !l.isBackedOff(now, p.redirect.Instance)
}

func (l *Ledger) isBackedOff(now time.Time, instance string) bool {
	b, ok := l.backoffs[instance]
	return ok && now.Before(b.until)
}

// MarkUnreachable starts or extends the backoff of a router that is not running, or
// that is missing from the view and does not reply.
func (l *Ledger) MarkUnreachable(now time.Time, instance string) {
	if l.isBackedOff(now, instance) {
		return
	}
	b := l.backoffs[instance]
	b.next = min(MaxBackoff, max(MinBackoff, b.next))
	b.until = now.Add(b.next)
	b.next *= 2
	l.backoffs[instance] = b
}

// MarkReachable ends the backoff of a router that replied.
func (l *Ledger) MarkReachable(instance string) {
	delete(l.backoffs, instance)
}

// Redirect records that another router observes the pool.
func (l *Ledger) Redirect(now time.Time, id PoolID, to membership.Router) {
	p := l.pool(id)
	p.redirect, p.redirectedAt = to, now
}

// Begin sets the router, incarnation and sequence number of a request. The
// request is pending until Granted, Refused or End.
func (l *Ledger) Begin(request *Request) {
	l.seq++
	request.Router, request.Incarnation, request.Seq = l.router, l.incarnation, l.seq
	p := l.pool(request.Pool)
	p.pending = append(p.pending, request.Seq)
}

// Registration returns the message to send to an observer before the first
// request. The former observer, if not zero, should be sent Leave.
func (l *Ledger) Registration(now time.Time, id PoolID, target Target) (registration Registration, former membership.Router) {
	p := l.pool(id)
	if p.observer.Instance != target.Router.Instance {
		former = p.observer
	}
	p.observer, p.isFailover, p.lastContact = target.Router, target.IsFailover, now
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

// Observer returns the observer with which this router is registered for a pool,
// or the zero Router.
func (l *Ledger) Observer(id PoolID) membership.Router {
	return l.pool(id).observer
}

// Renewal returns an empty release, which probes whether an observer replies.
func (l *Ledger) Renewal(id PoolID) Release {
	return Release{Pool: id, Router: l.router, Incarnation: l.incarnation}
}

// Unregister records that this router is not registered with the observer.
func (l *Ledger) Unregister(id PoolID, observer string) {
	if p := l.pool(id); p.observer.Instance == observer {
		p.observer = membership.Router{}
	}
}

// Granted records a grant. It returns false if the router has since moved to
// another observer: that one does not count the grant, so it must not be used.
func (l *Ledger) Granted(now time.Time, request *Request, observer, engine string) bool {
	p := l.pool(request.Pool)
	if p.observer.Instance != observer {
		return false
	}
	p.pending = without(p.pending, request.Seq)
	p.lastContact = now
	p.grants = append(p.grants, Grant{Seq: request.Seq, Engine: engine, Account: request.Account, Weight: request.Weight})
	return true
}

// End queues the release of a request that finished, was refused by its engine, or
// may have been granted without a reply. failedEngine is the engine that refused
// it without running it, or empty.
func (l *Ledger) End(id PoolID, seq uint64, failedEngine string) {
	p := l.pool(id)
	p.pending = without(p.pending, seq)
	p.grants = slices.DeleteFunc(p.grants, func(g Grant) bool { return g.Seq == seq })
	p.ended = append(p.ended, seq)
	if failedEngine != "" {
		p.failedEngine = failedEngine
	}
}

// Refused removes a request that was certainly not granted.
func (l *Ledger) Refused(request *Request) {
	p := l.pool(request.Pool)
	p.pending = without(p.pending, request.Seq)
}

func without(seqs []uint64, seq uint64) []uint64 {
	return slices.DeleteFunc(seqs, func(s uint64) bool { return s == seq })
}

// NextRelease returns the next release for the pool's observer, and whether there
// is one: ended grants, or a renewal that is due.
func (l *Ledger) NextRelease(now time.Time, id PoolID) (Release, bool) {
	p := l.pool(id)
	renew := RenewEvery(len(l.view.Routers))
	isDue := len(p.grants) > 0 && now.Sub(p.lastContact) >= renew
	if p.observer.Instance == "" || (len(p.ended) == 0 && !isDue) {
		return Release{}, false
	}
	release := Release{Pool: id, Router: l.router, Incarnation: l.incarnation, Seqs: p.ended, Failed: p.failedEngine}
	p.ended, p.failedEngine, p.lastContact = nil, "", now
	return release, true
}

// RequeueRelease requeues the sequence numbers of a release without a reply.
func (l *Ledger) RequeueRelease(release Release) {
	p := l.pool(release.Pool)
	p.ended = append(p.ended, release.Seqs...)
}

// Pools returns the pools in the ledger.
func (l *Ledger) Pools() []PoolID {
	ids := make([]PoolID, 0, len(l.pools))
	for id := range l.pools {
		ids = append(ids, id)
	}
	return ids
}

// InFlight returns the number of requests that this router has in flight in a pool.
func (l *Ledger) InFlight(id PoolID) int {
	return len(l.pool(id).grants)
}

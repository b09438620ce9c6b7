package routing

import (
	"time"

	"gentianhead/core/process/membership"
	"gentianhead/core/request/admission"
	"gentianhead/core/request/recent"
	"gentianhead/core/request/reservation"
	"gentianhead/core/request/retry"
)

const (
	// maxAsks is the maximum number of grant requests before a refusal.
	maxAsks = 4
	// maxWaits is the maximum number of ticks to wait for a new observer to serve.
	maxWaits = 4
	// maxSpills is the maximum number of other pools to try when one is at the bound.
	maxSpills = 2
	// chatsPerGeneration is the minimum number of chats kept per router.
	chatsPerGeneration = 16384
)

// Node is the routing core of one router.
type Node struct {
	self             string
	view             *membership.View
	config           Config
	members          map[string][]reservation.Member
	specs            map[reservation.PoolID]reservation.Spec
	ids              []reservation.PoolID
	ledger           *reservation.Ledger
	observers        *reservation.ObserverSet
	limiter          *admission.Limiter
	accountAllocator *admission.Allocator
	budget           *retry.Budget
	chats            *recent.Map[uint64, string]

	// ticket and lastCallID are the numbers last issued.
	ticket   Ticket
	requests map[Ticket]*request
	// waiting requests are retried at the next tick.
	waiting    []*request
	lastCallID CallID
	calls      map[CallID]pendingCall
	// hasPendingRelease marks pools with a release that has no reply yet; these send no
	// other release.
	hasPendingRelease map[reservation.PoolID]bool
	probedAt          map[reservation.PoolID]time.Time
	missingInvitedAt  time.Time
	ready             Ready
}

// request is one request between Place and Done.
type request struct {
	ticket   Ticket
	reserve  reservation.Request
	asks     int
	spills   int
	waits    int
	attempts int
	engine   string
}

// pendingCall is a call without a reply yet.
type pendingCall struct {
	instance string
	message  Message
	request  *request
}

// New returns the node of a router process, without a configuration. incarnation
// increases with each start of the process.
func New(self string, incarnation uint64) *Node {
	return &Node{
		self:              self,
		view:              &membership.View{},
		ledger:            reservation.NewLedger(self, incarnation),
		observers:         reservation.NewObserverSet(self),
		limiter:           admission.NewLimiter(),
		accountAllocator:  admission.NewAllocator(),
		budget:            retry.NewBudget(),
		chats:             recent.NewMap[uint64, string](chatsPerGeneration),
		requests:          make(map[Ticket]*request),
		calls:             make(map[CallID]pendingCall),
		hasPendingRelease: make(map[reservation.PoolID]bool),
		probedAt:          make(map[reservation.PoolID]time.Time),
	}
}

// SetView replaces the view of routers considered live and registers with new
// observers.
func (n *Node) SetView(now time.Time, view *membership.View) {
	n.view = view
	n.assign(now)
	n.limiter.SetRouters(len(view.Routers))
	n.accountAllocator.SetRouters(len(view.Routers))
	n.registerAll(now)
}

// assign distributes the pools over the view and invites routers to the new
// observers of pools that this router observed.
func (n *Node) assign(now time.Time) {
	assignment := reservation.Assign(n.view, n.ids)
	former := n.observers.SetView(now, n.view, assignment)
	n.ledger.SetView(n.view, assignment)
	for _, id := range former {
		n.invite(now, id, n.observers.First(id), "")
	}
}

// InstancesListed records that the view contains the platform's list of instances.
func (n *Node) InstancesListed(now time.Time) {
	n.observers.InstancesListed(now)
}

// Disconnected records that a router's process probably terminated because its
// connection was closed. It sends a probe to find out.
func (n *Node) Disconnected(now time.Time, instance string) {
	n.observers.Disconnected(instance)
	router, isLive := n.view.Find(instance)
	if !isLive || len(n.ids) == 0 {
		return
	}
	probe := n.ledger.Renewal(n.ids[0])
	n.send(now, router, &probe, nil)
}

// SetConfig replaces the configuration.
func (n *Node) SetConfig(now time.Time, config Config) {
	n.config = config
	specs, members := config.specs()
	n.specs, n.members = specs, members
	n.ids = n.ids[:0]
	for id := range specs {
		n.ids = append(n.ids, id)
	}
	n.observers.SetSpecs(now, specs)
	n.assign(now)
	n.registerAll(now)
}

// Ready returns the actions since its last call.
func (n *Node) Ready() Ready {
	ready := n.ready
	n.ready = Ready{}
	return ready
}

// Place starts a request. Its Placement follows in Ready, possibly after other routers replied.
func (n *Node) Place(now time.Time, ask PlacementRequest) Ticket {
	n.ticket++
	ticket := n.ticket
	if refusal := n.Admit(now, ask.Account); refusal != nil {
		n.refuse(ticket, *refusal)
		return ticket
	}
	members, known := n.members[ask.Model]
	if !known {
		n.refuse(ticket, Refusal{Reason: NoEngine, RetryAfter: reservation.RetryBound})
		return ticket
	}
	r := &request{ticket: ticket, reserve: reservation.Request{
		Pool:    reservation.PoolID{Model: ask.Model, Index: reservation.PoolOf(poolKey(ask), members)},
		Chat:    ask.Chat,
		Prefix:  ask.Prefix,
		Account: ask.Account,
		Weight:  n.config.Accounts[ask.Account].Weight,
		Hint:    n.chats.Get(ask.Chat),

		Excluded: ask.Excluded,
	}}
	n.requests[ticket] = r
	n.ask(now, r)
	return ticket
}

// poolKey keeps chats that share a prefix in one pool.
func poolKey(ask PlacementRequest) uint64 {
	if ask.Prefix != 0 {
		return ask.Prefix
	}
	return ask.Chat
}

// Done ends a request whose placement named an engine.
func (n *Node) Done(now time.Time, ticket Ticket) {
	r, ok := n.requests[ticket]
	if !ok {
		return
	}
	n.budget.RecordSuccess()
	n.end(now, r, "")
	delete(n.requests, ticket)
}

// Failed ends an attempt of a request. isNotRun means that the attempt certainly
// did not run and cannot run later; remaining is the time before the deadline. A
// Placement follows in Ready.
func (n *Node) Failed(now time.Time, ticket Ticket, isNotRun bool, remaining time.Duration) {
	r, ok := n.requests[ticket]
	if !ok {
		return
	}
	failed := ""
	if isNotRun {
		failed = r.engine
	}
	n.end(now, r, failed)
	reason := n.budget.Retry(now, retry.Failure{
		Account:   r.reserve.Account,
		Attempts:  r.attempts,
		IsNotRun:  isNotRun,
		Remaining: remaining,
	})
	if reason != retry.Allowed {
		delete(n.requests, ticket)
		n.refuse(ticket, Refusal{Reason: NoRetry, Retry: reason, RetryAfter: n.budget.Backoff(uint64(ticket))})
		return
	}
	r.reserve.Excluded = append(r.reserve.Excluded, r.engine)
	r.engine = ""
	r.asks = 0
	n.ask(now, r)
}

// Admit decides whether a request to a model or plain service is within its
// account's rate, and returns nil or the refusal.
func (n *Node) Admit(now time.Time, account string) *Refusal {
	if ok, after := n.limiter.Allow(now, account, n.config.Accounts[account].Limit); !ok {
		return &Refusal{Reason: AccountLimit, RetryAfter: after}
	}
	n.budget.RecordAttempt(now, account)
	return nil
}

// Retry decides whether a failed request to a plain service is retried, and
// returns nil or the refusal.
func (n *Node) Retry(now time.Time, failure retry.Failure) *Refusal {
	reason := n.budget.Retry(now, failure)
	if reason == retry.Allowed {
		return nil
	}
	// A new ticket number gives each refusal a different jitter.
	n.ticket++
	return &Refusal{Reason: NoRetry, Retry: reason, RetryAfter: n.budget.Backoff(uint64(n.ticket))}
}

// Cancel ends a request whose caller disconnected before it was placed.
func (n *Node) Cancel(now time.Time, ticket Ticket) {
	r, ok := n.requests[ticket]
	if !ok {
		return
	}
	n.end(now, r, "")
	delete(n.requests, ticket)
}

func (n *Node) end(now time.Time, r *request, failed string) {
	n.ledger.End(r.reserve.Pool, r.reserve.Seq, failed)
	n.release(now, r.reserve.Pool)
}

func (n *Node) refuse(ticket Ticket, refusal Refusal) {
	n.ready.Placements = append(n.ready.Placements, Placement{Ticket: ticket, Refusal: &refusal})
}

// Tick performs periodic work. Call it every reservation.TickInterval.
func (n *Node) Tick(now time.Time) {
	n.budget.Tick(now)
	n.accountAllocator.Tick(now)
	n.registerAll(now)
	for _, id := range n.ids {
		n.release(now, id)
	}
	n.retryWaiting(now)
	n.sendTotals(now)
	n.inviteMissing(now)
	for _, demand := range n.limiter.Demands(now, n.self) {
		n.send(now, admission.HomeRouter(n.view, demand.Account), &demand, nil)
	}
}

// sendTotals sends the loads of the pools observed here to the observers of the
// other pools of their models.
func (n *Node) sendTotals(now time.Time) {
	for _, total := range n.observers.Tick(now) {
		for _, other := range n.observers.Others(total.Pool) {
			if target, ok := n.ledger.Target(now, other); ok {
				n.send(now, target.Router, &total, nil)
			}
		}
	}
}

// Report records an engine's own load report: the number of requests in flight
// there and how many it runs concurrently.
func (n *Node) Report(engine string, inFlight, slots int) {
	n.observers.Observed(func(_ reservation.PoolID, o *reservation.Observer) {
		o.Report(engine, inFlight, slots)
	})
}

// Observed returns the engines whose load reports this router must read.
func (n *Node) Observed() []string {
	var engines []string
	n.observers.Observed(func(_ reservation.PoolID, o *reservation.Observer) {
		o.Loads(func(name string, _ int) { engines = append(engines, name) })
	})
	return engines
}

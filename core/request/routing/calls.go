package routing

import (
	"fmt"
	"time"

	"gentianhead/core/process/membership"
	"gentianhead/core/request/admission"
	"gentianhead/core/request/reservation"
)

// This file exchanges messages with other routers.

// send makes a call, or handles the message here when it is for this router.
func (n *Node) send(now time.Time, to membership.Router, message Message, r *request) {
	n.call++
	pending := pendingCall{instance: to.Instance, message: message, request: r}
	if to.Instance == n.self || to.Instance == "" {
		n.answered(now, pending, n.Deliver(now, message))
		return
	}
	n.calls[n.call] = pending
	n.ready.Calls = append(n.ready.Calls, Call{ID: n.call, Instance: to.Instance, Address: to.PeerAddress, Message: message})
}

// Deliver takes in another router's message and returns the reply.
func (n *Node) Deliver(now time.Time, message Message) Reply {
	switch m := message.(type) {
	case *reservation.Request:
		if m.IsFailover {
			n.probe(now, m.Pool)
		}
		decision := n.host.Reserve(now, m)
		return &decision
	case *reservation.Invitation:
		n.invited(now, m)
		return &Ack{IsRegistered: true}
	case *reservation.Registration:
		n.host.Register(now, *m)
		return &Ack{IsRegistered: true}
	case *reservation.Release:
		return &Ack{IsRegistered: n.host.Release(now, *m)}
	case *reservation.Total:
		n.host.SetTotal(now, *m)
		return &Ack{IsRegistered: true}
	case *admission.Demand:
		share := n.home.Step(now, *m, n.config.Accounts[m.Account].Limit)
		return &share
	}
	panic(fmt.Sprintf("routing: message of type %T", message))
}

// probeInterval is the least time between two probes of one router.
const probeInterval = 500 * time.Millisecond

// probe calls the router that comes first as observer of a pool, because others
// could not reach it.
func (n *Node) probe(now time.Time, id reservation.PoolID) {
	first := n.host.First(id)
	if first.Instance != n.self && !n.host.IsDead(first.Instance) {
		n.renew(now, id, first)
	}
}

// verify calls the observer that this router is registered with when the view
// has it no more: it may have ended, or only be missing from the view.
func (n *Node) verify(now time.Time, id reservation.PoolID, observer membership.Router) {
	if _, isLive := n.view.Find(observer.Instance); !isLive {
		n.renew(now, id, observer)
	}
}

// renew sends an empty release, at most one each probeInterval and pool.
func (n *Node) renew(now time.Time, id reservation.PoolID, to membership.Router) {
	if now.Sub(n.probed[id]) < probeInterval {
		return
	}
	n.probed[id] = now
	probe := n.ledger.Renewal(id)
	n.send(now, to, &probe, nil)
}

// leaveDead turns to other observers wherever this router was registered with
// one that does not run, and invites all where this router is the next.
func (n *Node) leaveDead(now time.Time, dead string) {
	n.ledger.Gone(now, dead)
	for _, id := range n.ids {
		n.ledger.Unregister(id, dead)
		target, ok := n.ledger.Target(now, id)
		if ok && n.host.First(id).Instance == dead && target.Router.Instance == n.self {
			n.invite(now, id, target.Router, dead)
		}
		n.register(now, id)
	}
}

// invite asks all routers to register with an observer.
func (n *Node) invite(now time.Time, id reservation.PoolID, observer membership.Router, dead string) {
	invitation := &reservation.Invitation{Pool: id, Observer: observer.Instance, Address: observer.PeerAddress, Dead: dead}
	n.invited(now, invitation)
	for _, router := range n.view.Routers {
		if router.Instance != n.self && router.Instance != dead {
			n.send(now, router, invitation, nil)
		}
	}
}

// missingInterval is the time between two invitations to routers that an
// observer waits for.
const missingInterval = 2 * time.Second

// inviteMissing invites the routers that the observers here wait for. An idle
// router would not learn by asking that it is registered with a former observer.
func (n *Node) inviteMissing(now time.Time) {
	if now.Sub(n.invitedMissing) < missingInterval {
		return
	}
	n.invitedMissing = now
	for _, id := range n.ids {
		for _, instance := range n.host.Missing(id) {
			router, isLive := n.view.Find(instance)
			if !isLive || instance == n.self {
				continue
			}
			self := n.host.First(id)
			n.send(now, router, &reservation.Invitation{Pool: id, Observer: self.Instance, Address: self.PeerAddress, IsWaiting: true}, nil)
		}
	}
}

// follow registers with an observer that waits for this router, unless this
// router's view names another one.
func (n *Node) follow(now time.Time, m *reservation.Invitation) {
	if n.host.First(m.Pool).Instance != m.Observer {
		return
	}
	n.ledger.Unregister(m.Pool, m.Observer)
	n.ledger.Redirect(now, m.Pool, membership.Router{Instance: m.Observer, PeerAddress: m.Address})
	n.register(now, m.Pool)
}

// invited follows an invitation.
func (n *Node) invited(now time.Time, m *reservation.Invitation) {
	if m.IsWaiting {
		n.follow(now, m)
		return
	}
	if m.Dead != "" {
		n.abandon(now, m.Pool, m.Dead, true)
		return
	}
	if m.Observer == n.self {
		n.host.Appoint(now, m.Pool)
	}
	n.ledger.Redirect(now, m.Pool, membership.Router{Instance: m.Observer, PeerAddress: m.Address})
	n.register(now, m.Pool)
}

// Answered takes in the reply to a call.
func (n *Node) Answered(now time.Time, id CallID, reply Reply) {
	pending, ok := n.calls[id]
	if !ok {
		return
	}
	delete(n.calls, id)
	n.answered(now, pending, reply)
}

func (n *Node) answered(now time.Time, pending pendingCall, reply Reply) {
	n.ledger.Reached(pending.instance)
	switch m := pending.message.(type) {
	case *reservation.Request:
		n.decided(now, pending, m, *reply.(*reservation.Decision))
	case *reservation.Release:
		n.releasing[m.Pool] = false
		if !m.IsLeaving && !reply.(*Ack).IsRegistered {
			n.ledger.Unregister(m.Pool, pending.instance)
			return
		}
		n.release(now, m.Pool)
	case *admission.Demand:
		n.limiter.SetShare(now, *reply.(*admission.Share))
	}
}

// Unanswered takes in that a call got no reply. isDead says that no process
// listens at the router's address. The call may have arrived all the same.
func (n *Node) Unanswered(now time.Time, id CallID, isDead bool) {
	pending, ok := n.calls[id]
	if !ok {
		return
	}
	delete(n.calls, id)
	if isDead && !n.host.IsDead(pending.instance) {
		n.host.SetDead(pending.instance)
		n.leaveDead(now, pending.instance)
	}
	isGone := isDead || !n.isLive(pending.instance)
	switch m := pending.message.(type) {
	case *reservation.Request:
		n.ledger.End(m.Pool, m.Seq, "")
		n.unanswered(now, pending.request, m.Pool, pending.instance, isGone)
	case *reservation.Registration:
		n.ledger.Unregister(m.Pool, pending.instance)
		n.abandon(now, m.Pool, pending.instance, isGone)
	case *reservation.Release:
		n.releasing[m.Pool] = false
		if !m.IsLeaving {
			n.ledger.PutBack(*m)
			n.abandon(now, m.Pool, pending.instance, isGone)
		}
	}
}

// unanswered gives a request up whose observer may be alive, since another
// observer would not know the whole load, or turns to the next observer.
func (n *Node) unanswered(now time.Time, r *request, id reservation.PoolID, observer string, isGone bool) {
	n.abandon(now, id, observer, isGone)
	switch {
	case n.requests[r.ticket] != r:
	case isGone:
		n.ask(now, r)
	default:
		delete(n.requests, r.ticket)
		n.refuse(r.ticket, Refusal{Reason: NoObserver, RetryAfter: reservation.RetryBound})
	}
}

func (n *Node) isLive(instance string) bool {
	_, isLive := n.view.Find(instance)
	return isLive && !n.host.IsDead(instance)
}

// abandon turns to another observer when this one is gone.
func (n *Node) abandon(now time.Time, id reservation.PoolID, instance string, isGone bool) {
	if !isGone {
		return
	}
	n.ledger.Gone(now, instance)
	n.ledger.Unregister(id, instance)
	n.register(now, id)
}

// registerAll registers wherever this router is not registered yet.
func (n *Node) registerAll(now time.Time) {
	for _, id := range n.ids {
		n.register(now, id)
	}
}

func (n *Node) register(now time.Time, id reservation.PoolID) {
	target, ok := n.ledger.Target(now, id)
	if !ok {
		return
	}
	if !target.MustRegister {
		n.verify(now, id, target.Router)
		return
	}
	registration, former := n.ledger.Registration(now, id, target)
	n.send(now, target.Router, &registration, nil)
	if former.Instance != "" {
		leave := n.ledger.Leave(id)
		n.send(now, former, &leave, nil)
	}
}

// ask asks the observer of the request's pool for a grant.
func (n *Node) ask(now time.Time, r *request) {
	r.asks++
	n.register(now, r.reserve.Pool)
	target, ok := n.ledger.Target(now, r.reserve.Pool)
	if !ok || r.asks > maxAsks {
		delete(n.requests, r.ticket)
		n.refuse(r.ticket, Refusal{Reason: NoObserver, RetryAfter: reservation.RetryBound})
		return
	}
	r.reserve.IsFailover = target.IsFailover
	n.ledger.Begin(&r.reserve)
	message := r.reserve
	n.send(now, target.Router, &message, r)
}

// decided takes in the observer's decision on a request.
func (n *Node) decided(now time.Time, pending pendingCall, m *reservation.Request, decision reservation.Decision) {
	r := pending.request
	if n.requests[r.ticket] != r {
		n.ledger.End(m.Pool, m.Seq, "")
		n.release(now, m.Pool)
		return
	}
	switch decision.Verdict {
	case reservation.Granted:
		if n.ledger.Granted(now, m, pending.instance, decision.Engine) {
			n.place(r, decision.Engine)
			return
		}
	case reservation.Redirected:
		n.ledger.Redirect(now, m.Pool, membership.Router{Instance: decision.Observer, PeerAddress: decision.Address})
	case reservation.Unregistered:
		n.ledger.Unregister(m.Pool, pending.instance)
	case reservation.NotServing:
		n.ledger.Refused(m)
		n.wait(r, decision)
		return
	default:
		n.ledger.Refused(m)
		if decision.Verdict != reservation.RefusedShare && n.spill(now, r) {
			return
		}
		delete(n.requests, r.ticket)
		n.refuse(r.ticket, refusalOf(decision))
		return
	}
	n.ledger.Refused(m)
	n.ask(now, r)
}

// spill asks the next pool of the model, and reports whether there is one.
func (n *Node) spill(now time.Time, r *request) bool {
	pools := reservation.PoolCount(len(n.members[r.reserve.Pool.Model]))
	if r.spills >= min(maxSpills, pools-1) {
		return false
	}
	r.spills++
	r.asks = 0
	r.reserve.Pool.Index = (r.reserve.Pool.Index + 1) % pools
	n.ask(now, r)
	return true
}

func (n *Node) place(r *request, engine string) {
	r.engine = engine
	r.attempts++
	if r.reserve.Chat != 0 {
		n.chats.Put(r.reserve.Chat, engine)
	}
	n.ready.Placements = append(n.ready.Placements, Placement{Ticket: r.ticket, Engine: engine})
}

// wait keeps a request until the next ticks, since a new observer of its pool is
// about to serve, or refuses it.
func (n *Node) wait(r *request, decision reservation.Decision) {
	if r.waits >= maxWaits {
		delete(n.requests, r.ticket)
		n.refuse(r.ticket, Refusal{Reason: NoObserver, RetryAfter: decision.RetryAfter})
		return
	}
	r.waits++
	n.waiting = append(n.waiting, r)
}

// askWaiting asks again for the requests that wait.
func (n *Node) askWaiting(now time.Time) {
	waiting := n.waiting
	n.waiting = nil
	for _, r := range waiting {
		if n.requests[r.ticket] == r {
			r.asks = 0
			n.ask(now, r)
		}
	}
}

func refusalOf(decision reservation.Decision) Refusal {
	reasons := map[reservation.Verdict]Reason{
		reservation.RefusedBound: LoadBound,
		reservation.RefusedShare: AccountShare,
		reservation.RefusedEmpty: NoEngine,
	}
	return Refusal{Reason: reasons[decision.Verdict], RetryAfter: decision.RetryAfter}
}

// release tells the observer of a pool what ended, unless an earlier release is
// on its way: then what ends meanwhile goes together.
func (n *Node) release(now time.Time, id reservation.PoolID) {
	if n.releasing[id] {
		return
	}
	release, ok := n.ledger.TakeRelease(now, id)
	if !ok {
		return
	}
	n.releasing[id] = true
	n.send(now, n.ledger.Observer(id), &release, nil)
}

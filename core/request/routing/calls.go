package routing

import (
	"fmt"
	"slices"
	"time"

	"gentianhead/core/process/membership"
	"gentianhead/core/request/admission"
	"gentianhead/core/request/reservation"
)

// send queues a call, or handles a message to this router itself.
func (n *Node) send(now time.Time, to membership.Router, message Message, r *request) {
	n.lastCallID++
	pending := pendingCall{instance: to.Instance, message: message, request: r}
	if to.Instance == n.self || to.Instance == "" {
		n.handleReply(now, pending, n.HandleMessage(now, message))
		return
	}
	n.calls[n.lastCallID] = pending
	n.ready.Calls = append(n.ready.Calls, Call{ID: n.lastCallID, Instance: to.Instance, Address: to.PeerAddress, Message: message})
}

// HandleMessage handles another router's message and returns the reply.
func (n *Node) HandleMessage(now time.Time, message Message) Reply {
	switch m := message.(type) {
	case *reservation.Request:
		if m.IsFailover {
			n.probe(now, m.Pool)
		}
		decision := n.observers.Reserve(now, m)
		return &decision
	case *reservation.Invitation:
		n.handleInvitation(now, m)
		return &Ack{IsRegistered: true}
	case *reservation.Registration:
		n.observers.Register(now, *m)
		return &Ack{IsRegistered: true}
	case *reservation.Release:
		return &Ack{IsRegistered: n.observers.Release(now, *m)}
	case *reservation.Total:
		n.observers.SetTotal(now, *m)
		return &Ack{IsRegistered: true}
	case *admission.Demand:
		share := n.accountAllocator.Allocate(now, *m, n.config.Accounts[m.Account].Limit)
		return &share
	}
	panic(fmt.Sprintf("routing: message of type %T", message))
}

// probeInterval is the minimum time between two probes for one pool.
const probeInterval = 500 * time.Millisecond

// probe calls the first-ranked observer of a pool after another router could not
// reach it.
func (n *Node) probe(now time.Time, id reservation.PoolID) {
	first := n.observers.First(id)
	if first.Instance != n.self && !n.observers.IsDead(first.Instance) {
		n.sendProbe(now, id, first)
	}
}

// verifyObserver probes the observer that this router is registered with if the
// view no longer has it: it may have terminated or only be missing from the view.
func (n *Node) verifyObserver(now time.Time, id reservation.PoolID, observer membership.Router) {
	if _, isLive := n.view.Find(observer.Instance); !isLive {
		n.sendProbe(now, id, observer)
	}
}

// sendProbe sends an empty release, at most one per pool and probeInterval.
func (n *Node) sendProbe(now time.Time, id reservation.PoolID, to membership.Router) {
	if now.Sub(n.probedAt[id]) < probeInterval {
		return
	}
	n.probedAt[id] = now
	probe := n.ledger.Renewal(id)
	n.send(now, to, &probe, nil)
}

// replaceDeadObserver registers with other observers in place of one that is not
// running, and invites all routers to the pools for which this router ranks next.
func (n *Node) replaceDeadObserver(now time.Time, dead string) {
	n.ledger.MarkUnreachable(now, dead)
	for _, id := range n.ids {
		n.ledger.Unregister(id, dead)
		target, ok := n.ledger.Target(now, id)
		if ok && n.observers.First(id).Instance == dead && target.Router.Instance == n.self {
			n.invite(now, id, target.Router, dead)
		}
		n.register(now, id)
	}
}

// invite asks all routers to register with an observer.
func (n *Node) invite(now time.Time, id reservation.PoolID, observer membership.Router, dead string) {
	invitation := &reservation.Invitation{Pool: id, Observer: observer.Instance, Address: observer.PeerAddress, Dead: dead}
	n.handleInvitation(now, invitation)
	for _, router := range n.view.Routers {
		if router.Instance != n.self && router.Instance != dead {
			n.send(now, router, invitation, nil)
		}
	}
}

// missingInviteInterval is the minimum time between two runs of inviteMissing.
const missingInviteInterval = 2 * time.Second

// inviteMissing invites the routers whose registration the observers here wait
// for. An idle router sends no requests, so no reply would tell it that it is
// registered with a former observer.
func (n *Node) inviteMissing(now time.Time) {
	if now.Sub(n.missingInvitedAt) < missingInviteInterval {
		return
	}
	n.missingInvitedAt = now
	for _, id := range n.ids {
		for _, instance := range n.observers.UnregisteredRouters(id) {
			router, isLive := n.view.Find(instance)
			if !isLive || instance == n.self {
				continue
			}
			self := n.observers.First(id)
			n.send(now, router, &reservation.Invitation{Pool: id, Observer: self.Instance, Address: self.PeerAddress, IsWaiting: true}, nil)
		}
	}
}

// registerWithWaiting registers with an observer that waits for this router,
// unless another one ranks first in this router's view.
func (n *Node) registerWithWaiting(now time.Time, m *reservation.Invitation) {
	if n.observers.First(m.Pool).Instance != m.Observer {
		return
	}
	n.ledger.Unregister(m.Pool, m.Observer)
	n.ledger.Redirect(now, m.Pool, membership.Router{Instance: m.Observer, PeerAddress: m.Address})
	n.register(now, m.Pool)
}

func (n *Node) handleInvitation(now time.Time, m *reservation.Invitation) {
	if m.IsWaiting {
		n.registerWithWaiting(now, m)
		return
	}
	if m.Dead != "" {
		n.leaveIfGone(now, m.Pool, m.Dead, true)
		return
	}
	if m.Observer == n.self {
		n.observers.RecordHandover(now, m.Pool)
	}
	n.ledger.Redirect(now, m.Pool, membership.Router{Instance: m.Observer, PeerAddress: m.Address})
	n.register(now, m.Pool)
}

// CallReplied handles the reply to a call.
func (n *Node) CallReplied(now time.Time, id CallID, reply Reply) {
	pending, ok := n.calls[id]
	if !ok {
		return
	}
	delete(n.calls, id)
	n.handleReply(now, pending, reply)
}

func (n *Node) handleReply(now time.Time, pending pendingCall, reply Reply) {
	n.ledger.MarkReachable(pending.instance)
	switch m := pending.message.(type) {
	case *reservation.Request:
		n.handleDecision(now, pending, m, *reply.(*reservation.Decision))
	case *reservation.Release:
		n.hasPendingRelease[m.Pool] = false
		if !m.IsLeaving && !reply.(*Ack).IsRegistered {
			n.ledger.Unregister(m.Pool, pending.instance)
			return
		}
		n.release(now, m.Pool)
	case *admission.Demand:
		n.limiter.SetShare(now, *reply.(*admission.Share))
	}
}

// CallFailed handles a call without a reply. isDead means that no process listens
// at the router's address. Either way, the call is treated as possibly delivered.
func (n *Node) CallFailed(now time.Time, id CallID, isDead bool) {
	pending, ok := n.calls[id]
	if !ok {
		return
	}
	delete(n.calls, id)
	if isDead && !n.observers.IsDead(pending.instance) {
		n.observers.SetDead(pending.instance)
		n.replaceDeadObserver(now, pending.instance)
	}
	isGone := isDead || !n.isLive(pending.instance)
	switch m := pending.message.(type) {
	case *reservation.Request:
		n.ledger.End(m.Pool, m.Seq, "")
		n.handleMissingReply(now, pending.request, m.Pool, pending.instance, isGone)
	case *reservation.Registration:
		n.ledger.Unregister(m.Pool, pending.instance)
		n.leaveIfGone(now, m.Pool, pending.instance, isGone)
	case *reservation.Release:
		n.hasPendingRelease[m.Pool] = false
		if !m.IsLeaving {
			n.ledger.RequeueRelease(*m)
			n.leaveIfGone(now, m.Pool, pending.instance, isGone)
		}
	}
}

// handleMissingReply retries a request with the next observer if its observer is gone.
// Otherwise it refuses the request, since another observer would not count the
// whole load.
func (n *Node) handleMissingReply(now time.Time, r *request, id reservation.PoolID, observer string, isGone bool) {
	n.leaveIfGone(now, id, observer, isGone)
	switch {
	case n.requests[r.ticket] != r: // The request ended before the call failed.
	case isGone:
		n.ask(now, r)
	default:
		delete(n.requests, r.ticket)
		n.refuse(r.ticket, Refusal{Reason: NoObserver, RetryAfter: reservation.RetryBound})
	}
}

func (n *Node) isLive(instance string) bool {
	_, isLive := n.view.Find(instance)
	return isLive && !n.observers.IsDead(instance)
}

// leaveIfGone registers with another observer if this one is gone.
func (n *Node) leaveIfGone(now time.Time, id reservation.PoolID, instance string, isGone bool) {
	if !isGone {
		return
	}
	n.ledger.MarkUnreachable(now, instance)
	n.ledger.Unregister(id, instance)
	n.register(now, id)
}

// registerAll registers this router for each pool where it is not registered yet.
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
		n.verifyObserver(now, id, target.Router)
		return
	}
	registration, former := n.ledger.Registration(now, id, target)
	n.send(now, target.Router, &registration, nil)
	if former.Instance != "" {
		leave := n.ledger.Leave(id)
		n.send(now, former, &leave, nil)
	}
}

// ask requests a grant from the observer of the request's pool.
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
	message.Excluded = n.inPool(r.reserve.Pool, r.reserve.Excluded)
	n.send(now, target.Router, &message, r)
}

// inPool returns the engines that are in a pool. A large model may have hundreds of engines at
// their limits.
func (n *Node) inPool(pool reservation.PoolID, engines []string) []string {
	members := n.specs[pool].Engines
	return slices.DeleteFunc(slices.Clone(engines), func(engine string) bool { return !slices.Contains(members, engine) })
}

func (n *Node) handleDecision(now time.Time, pending pendingCall, m *reservation.Request, decision reservation.Decision) {
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

// spill tries the next pool of the model, and reports whether there is one.
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

// wait queues a request for the next tick, since a new observer of its pool is
// about to serve. It refuses the request after maxWaits ticks.
func (n *Node) wait(r *request, decision reservation.Decision) {
	if r.waits >= maxWaits {
		delete(n.requests, r.ticket)
		n.refuse(r.ticket, Refusal{Reason: NoObserver, RetryAfter: decision.RetryAfter})
		return
	}
	r.waits++
	n.waiting = append(n.waiting, r)
}

func (n *Node) retryWaiting(now time.Time) {
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
		reservation.RefusedBound:    LoadBound,
		reservation.RefusedShare:    AccountShare,
		reservation.RefusedNoEngine: NoEngine,
	}
	return Refusal{Reason: reasons[decision.Verdict], RetryAfter: decision.RetryAfter}
}

// release sends ended grants to the observer of a pool. While an earlier release
// has no reply, they are collected for the next one.
func (n *Node) release(now time.Time, id reservation.PoolID) {
	if n.hasPendingRelease[id] {
		return
	}
	release, ok := n.ledger.NextRelease(now, id)
	if !ok {
		return
	}
	n.hasPendingRelease[id] = true
	n.send(now, n.ledger.Observer(id), &release, nil)
}

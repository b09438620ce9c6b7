package control

import (
	"context"
	"sync/atomic"
	"time"

	"gentianhead/core/process/isolation"
	"gentianhead/core/process/membership"
	"gentianhead/core/process/withdrawal"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/peer"
)

// This file exchanges heartbeats with peers.

// Limits of the exchange of heartbeats.
const (
	// marksAreNew is how long after a change heartbeats carry all marks.
	marksAreNew = 3 * time.Second
	// sweepInterval is the least time between two sweeps that ask routers which
	// revision they have in force while an operator waits for it.
	sweepInterval = time.Second
	// sweepCalls bounds the calls of one sweep.
	sweepCalls = 64
)

// gossip is what heartbeats carry beside the state of the cores.
type gossip struct {
	// message is what this router answers to heartbeats. Peer connections read it.
	message atomic.Pointer[peer.Heartbeat]
	// marks is what it answers to a peer with other marks.
	marks atomic.Pointer[[]withdrawal.Mark]
	// pushed is the last revision that was pushed to peers.
	pushed       resource.Revision
	marksChanged time.Time
	// isStale says that message has to be made anew.
	isStale      bool
	isFleetAsked bool
	sweptAt      time.Time
}

// heartbeatReceived is a heartbeat that a peer sent of its own accord.
type heartbeatReceived struct {
	heartbeat peer.Heartbeat
	// answered are the rumors that the answer carried.
	answered []membership.Rumor
}

// probeEnded is the result of a heartbeat that this router sent.
type probeEnded struct {
	instance string
	sentAt   time.Time
	// isRandom says that the peer was picked at random from all.
	isRandom bool
	answer   *peer.Heartbeat
}

// tick lets time pass in the cores.
func (l *Loop) tick(ctx context.Context, now time.Time) {
	l.tickedAt.Store(int64(now.Sub(l.startedAt)))
	wasIsolated := l.isolation.IsIsolated()
	l.isolation.Step(isolation.Tick{At: now, InForce: l.config.InForce()})
	if isIsolated := l.isolation.IsIsolated(); isIsolated != wasIsolated {
		l.options.Log.Warn("Isolation changed.", "isolated", isIsolated)
		l.publish()
	}
	l.members.Step(membership.Tick{At: now})
	l.gossip.isStale = true
	l.stepWithdrawal(withdrawal.Tick{At: now})
	l.readDue(ctx, now)
	if l.gossip.isFleetAsked && now.Sub(l.gossip.sweptAt) >= sweepInterval {
		l.gossip.isFleetAsked = false
		l.gossip.sweptAt = now
		l.sweep(ctx, now)
	}
}

// sweep asks routers that are not known to have this router's revision in force.
func (l *Loop) sweep(ctx context.Context, now time.Time) {
	calls := 0
	for _, router := range l.members.View().Routers {
		isBehind := l.heads[router.Instance] < l.config.InForce()
		if isBehind && router.Instance != l.options.Self.Instance && calls < sweepCalls {
			calls++
			go l.probe(ctx, router, *l.gossip.message.Load(), now, false)
		}
	}
}

// carryOutMembers does what the membership core asks for.
func (l *Loop) carryOutMembers(ctx context.Context, now time.Time) {
	if revision := l.config.InForce(); revision > l.gossip.pushed {
		l.gossip.pushed = revision
		l.withdrawal.Step(withdrawal.Configured{Addresses: configuredAddresses(l.config.Snapshot())})
		l.publishHeartbeat(now)
		l.members.Step(membership.Urgent{At: now})
	}
	ready := l.members.Ready()
	if ready.View != nil {
		l.publish()
		l.forgetHeads(ready.View)
	}
	for _, router := range ready.Probe {
		l.send(ctx, router, now, true)
	}
	for _, router := range ready.Push {
		l.send(ctx, router, now, false)
	}
	l.members.Advance()
	if l.gossip.isStale {
		l.publishHeartbeat(now)
	}
}

func (l *Loop) send(ctx context.Context, router membership.Router, now time.Time, isRandom bool) {
	message := *l.gossip.message.Load()
	message.Rumors = l.members.MessageTo(router.Instance, message.Rumors)
	l.members.Sent(message.Rumors)
	go l.probe(ctx, router, message, now, isRandom)
}

func (l *Loop) forgetHeads(view *membership.View) {
	for instance := range l.heads {
		if _, ok := view.Find(instance); !ok {
			delete(l.heads, instance)
		}
	}
}

// publishHeartbeat sets what this router sends and answers.
func (l *Loop) publishHeartbeat(now time.Time) {
	marks := l.withdrawal.Marks(now)
	message := &peer.Heartbeat{
		Router:        l.members.Self(),
		Revision:      l.config.InForce(),
		Rumors:        l.members.Message(),
		WithdrawnHash: l.withdrawal.Set().Hash(),
	}
	if age := l.isolation.StoreAge(now); age >= 0 {
		message.StoreAgeMillis = age.Milliseconds() + 1
	}
	if now.Sub(l.gossip.marksChanged) < marksAreNew {
		message.Withdrawn = marks
	}
	l.gossip.isStale = false
	l.gossip.marks.Store(&marks)
	l.gossip.message.Store(message)
}

// probe sends a heartbeat and posts how that ended.
func (l *Loop) probe(ctx context.Context, router membership.Router, message peer.Heartbeat, sentAt time.Time, isRandom bool) {
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	ended := probeEnded{instance: router.Instance, sentAt: sentAt, isRandom: isRandom}
	var answer peer.Heartbeat
	err := l.options.Peers.Call(ctx, router.PeerAddress, peer.TypeHeartbeat, message, &answer)
	if err == nil {
		ended.answer = &answer
	} else {
		l.options.Log.Debug("Heartbeat failed.", "peer", router.Instance, "error", err)
	}
	l.Post(ended)
}

// answerHeartbeat takes note of a peer and returns this router's heartbeat. It
// runs on the peer's connection.
func (l *Loop) answerHeartbeat(heartbeat peer.Heartbeat) peer.Heartbeat {
	answer := *l.gossip.message.Load()
	if heartbeat.WithdrawnHash != answer.WithdrawnHash {
		answer.Withdrawn = *l.gossip.marks.Load()
	}
	l.Post(heartbeatReceived{heartbeat: heartbeat, answered: answer.Rumors})
	return answer
}

func (l *Loop) stepHeartbeat(e heartbeatReceived) {
	l.members.Sent(e.answered)
	l.gossip.isStale = true
	l.learn(e.heartbeat, false)
}

func (l *Loop) stepProbe(e probeEnded) {
	now := time.Now()
	if e.isRandom {
		l.isolation.Step(isolationEvent(e))
	}
	if e.answer == nil {
		l.members.Step(membership.ProbeFailed{At: now, SentAt: e.sentAt, Instance: e.instance})
		return
	}
	l.learn(*e.answer, true)
}

func isolationEvent(e probeEnded) isolation.ProbeEnded {
	event := isolation.ProbeEnded{SentAt: e.sentAt, StoreAge: -1}
	if e.answer != nil {
		event.IsAnswered = true
		event.Revision = e.answer.Revision
		if e.answer.StoreAgeMillis > 0 {
			event.StoreAge = time.Duration(e.answer.StoreAgeMillis) * time.Millisecond
		}
	}
	return event
}

// Leave makes entry answers and heartbeats say that this router leaves.
func (l *Loop) Leave(ctx context.Context) {
	done := make(chan struct{})
	select {
	case l.events <- leaveAsked{done: done}:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

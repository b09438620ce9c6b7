package control

import (
	"context"
	"time"

	"gentianhead/core/process/gossip"
	"gentianhead/core/process/membership"
	"gentianhead/core/version/config"
	"gentianhead/fleet/connection/peer"
)

// This file exchanges heartbeats with peers.

// Limits of a sweep.
const (
	// sweepInterval is the least time between two sweeps.
	sweepInterval = time.Second
	// sweepCalls bounds the calls of one sweep.
	sweepCalls = 64
)

// sweep asks routers which revision they have in force while an operator waits
// for it. Heartbeats alone reach each router of a large fleet only now and then.
type sweep struct {
	isAsked bool
	at      time.Time
}

// tick lets time pass.
func (l *Loop) tick(ctx context.Context, now time.Time) {
	l.tickedAt.Store(int64(now.Sub(l.startedAt)))
	l.gossip.Step(gossip.Tick{At: now, InForce: l.config.InForce()})
	l.readDue(ctx, now)
	if l.sweep.isAsked && now.Sub(l.sweep.at) >= sweepInterval {
		l.sweep = sweep{at: now}
		l.askRouters(ctx, now)
	}
}

// askRouters sends a heartbeat to routers that are not known to have this
// router's revision in force.
func (l *Loop) askRouters(ctx context.Context, now time.Time) {
	calls := 0
	for _, router := range l.gossip.View().Routers {
		isBehind := l.heads[router.Instance] < l.config.InForce()
		if isBehind && router.Instance != l.options.Self.Instance && calls < sweepCalls {
			calls++
			question := l.gossip.Message().Answer(gossip.Heartbeat{})
			go l.send(ctx, gossip.Send{To: router, Heartbeat: question}, now)
		}
	}
}

// carryOutGossip does what the gossip core asks for.
func (l *Loop) carryOutGossip(ctx context.Context, now time.Time) {
	if revision := l.config.InForce(); revision > l.announced {
		l.announced = revision
		l.gossip.Step(gossip.InForce{At: now, Revision: revision, Addresses: configuredAddresses(l.config.Snapshot())})
	}
	ready := l.gossip.Ready()
	l.message.Store(l.gossip.Message())
	if ready.IsChanged {
		l.noteChange()
		l.publish()
	}
	if l.isListRead {
		l.isListRead = false
		l.routing.listed()
	}
	for _, send := range ready.Send {
		go l.send(ctx, send, now)
	}
	l.gossip.Advance(ready)
}

// noteChange logs what traffic will notice and forgets routers that are gone.
func (l *Loop) noteChange() {
	state := l.State()
	if isIsolated := l.gossip.IsIsolated(); isIsolated != state.IsIsolated {
		l.options.Log.Warn("Isolation changed.", "isolated", isIsolated)
	}
	if l.gossip.Withdrawn() != state.Withdrawn {
		l.options.Log.Info("Withdrawn endpoints changed.", "count", l.gossip.Withdrawn().Len())
	}
	view := l.gossip.View()
	for instance := range l.heads {
		if _, ok := view.Find(instance); !ok {
			delete(l.heads, instance)
		}
	}
}

// send sends a heartbeat and posts how that ended.
func (l *Loop) send(ctx context.Context, send gossip.Send, sentAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	ended := gossip.Sent{SentAt: sentAt, Send: send}
	var answer gossip.Heartbeat
	err := l.options.Peers.Call(ctx, send.To.PeerAddress, peer.TypeHeartbeat, send.Heartbeat, &answer)
	if err == nil {
		ended.Answer = &answer
	} else {
		l.options.Log.Debug("Heartbeat failed.", "peer", send.To.Instance, "error", err)
	}
	ended.At = time.Now()
	l.Post(ended)
}

// answerHeartbeat takes note of a peer and returns this router's heartbeat. It
// runs on the peer's connection.
func (l *Loop) answerHeartbeat(heartbeat gossip.Heartbeat) gossip.Heartbeat {
	answer := l.message.Load().Answer(heartbeat)
	l.Post(gossip.Received{At: time.Now(), Heartbeat: heartbeat, Answered: answer})
	return answer
}

// notePeer takes note of the revision in force on a peer.
func (l *Loop) notePeer(heartbeat gossip.Heartbeat) {
	l.heads[heartbeat.Router.Instance] = heartbeat.Revision
	l.config.Step(config.PeerHead{Instance: heartbeat.Router.Instance, Revision: heartbeat.Revision})
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

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

const (
	// pollInterval is the minimum time between polls.
	pollInterval = time.Second
	maxPollCalls = 64
)

// revisionPoll polls routers for their active revision while an operator waits for it.
// In a large fleet regular heartbeats reach each router only occasionally.
type revisionPoll struct {
	isRequested bool
	at          time.Time
}

// tick advances the gossip core and starts the calls that are due.
func (l *Loop) tick(ctx context.Context, now time.Time) {
	l.tickedAt.Store(int64(now.Sub(l.startedAt)))
	l.gossip.Step(gossip.Tick{At: now, InForce: l.config.InForce()})
	l.startDueReads(ctx, now)
	if l.revisionPoll.isRequested && now.Sub(l.revisionPoll.at) >= pollInterval {
		l.revisionPoll = revisionPoll{at: now}
		l.pollRouters(ctx, now)
	}
}

// pollRouters sends a heartbeat to routers that haven't reported this router's
// active revision.
func (l *Loop) pollRouters(ctx context.Context, now time.Time) {
	calls := 0
	for _, router := range l.gossip.View().Routers {
		isBehind := l.revisions[router.Instance] < l.config.InForce()
		if isBehind && router.Instance != l.options.Self.Instance && calls < maxPollCalls {
			calls++
			heartbeat := l.gossip.Message().Answer(gossip.Heartbeat{})
			go l.send(ctx, gossip.Send{To: router, Heartbeat: heartbeat}, now)
		}
	}
}

// handleGossipReady performs the actions that the gossip core requests.
func (l *Loop) handleGossipReady(ctx context.Context, now time.Time) {
	if revision := l.config.InForce(); revision > l.announced {
		l.announced = revision
		l.gossip.Step(gossip.InForce{At: now, Revision: revision, Addresses: configuredAddresses(l.config.Snapshot())})
	}
	ready := l.gossip.Ready()
	l.message.Store(l.gossip.Message())
	if ready.IsChanged {
		l.handleGossipChange()
		l.publish()
	}
	if l.isListRead {
		l.isListRead = false
		l.routing.onListRead()
	}
	for _, send := range ready.Send {
		go l.send(ctx, send, now)
	}
	l.gossip.Advance(ready)
}

// handleGossipChange logs changes that affect request handling and removes the revisions
// of routers that left the view.
func (l *Loop) handleGossipChange() {
	state := l.State()
	if isIsolated := l.gossip.IsIsolated(); isIsolated != state.IsIsolated {
		l.options.Log.Warn("Isolation changed.", "isolated", isIsolated)
	}
	if l.gossip.Withdrawn() != state.Withdrawn {
		l.options.Log.Info("Withdrawn endpoints changed.", "count", l.gossip.Withdrawn().Len())
	}
	view := l.gossip.View()
	for instance := range l.revisions {
		if _, ok := view.Find(instance); !ok {
			delete(l.revisions, instance)
		}
	}
}

// send sends a heartbeat and posts the result.
func (l *Loop) send(ctx context.Context, send gossip.Send, sentAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	ended := gossip.Sent{SentAt: sentAt, Send: send}
	l.stateCrashes(&send.Heartbeat)
	send.Heartbeat.Rates = l.statedRates()
	var answer gossip.Heartbeat
	err := l.options.Peers.Call(ctx, send.To.PeerAddress, peer.TypeHeartbeat, send.Heartbeat, &answer)
	if err == nil {
		ended.Answer = &answer
		l.adoptCrashes(answer)
		l.adoptRates(answer)
	} else {
		l.options.Log.Debug("Heartbeat failed.", "peer", send.To.Instance, "error", err)
	}
	ended.At = time.Now()
	l.Post(ended)
}

// handleHeartbeat posts a peer's heartbeat and returns this router's. It runs on
// the peer's connection.
func (l *Loop) handleHeartbeat(heartbeat gossip.Heartbeat) gossip.Heartbeat {
	answer := l.message.Load().Answer(heartbeat)
	l.Post(gossip.Received{At: time.Now(), Heartbeat: heartbeat, Answered: answer})
	l.adoptCrashes(heartbeat)
	l.adoptRates(heartbeat)
	l.stateCrashes(&answer)
	answer.Rates = l.statedRates()
	return answer
}

// recordRevision records the active revision of a peer.
func (l *Loop) recordRevision(heartbeat gossip.Heartbeat) {
	l.revisions[heartbeat.Router.Instance] = heartbeat.Revision
	l.config.Step(config.PeerHead{Instance: heartbeat.Router.Instance, Revision: heartbeat.Revision})
}

// Leave announces in entry responses and heartbeats that this router is leaving.
func (l *Loop) Leave(ctx context.Context) {
	done := make(chan struct{})
	select {
	case l.events <- leaveRequested{done: done}:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

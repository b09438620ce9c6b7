package control

import (
	"time"

	"gentianhead/core/process/membership"
	"gentianhead/core/process/withdrawal"
	"gentianhead/core/version/config"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/engine"
	"gentianhead/fleet/connection/peer"
)

// This file takes in what peers and endpoints say, and admits requests.

// learn hands a peer's heartbeat to the cores.
func (l *Loop) learn(heartbeat peer.Heartbeat, isAnswer bool) {
	now := time.Now()
	l.heads[heartbeat.Router.Instance] = heartbeat.Revision
	l.config.Step(config.PeerHead{Instance: heartbeat.Router.Instance, Revision: heartbeat.Revision})
	l.members.Step(membership.Heartbeat{At: now, Router: heartbeat.Router, Rumors: heartbeat.Rumors, IsAnswer: isAnswer})
	if len(heartbeat.Withdrawn) > 0 {
		l.stepWithdrawal(withdrawal.Heard{At: now, Marks: heartbeat.Withdrawn})
	}
}

// stepWithdrawal has newly withdrawn endpoints pushed to peers.
func (l *Loop) stepWithdrawal(event withdrawal.Event) {
	now := time.Now()
	before := l.withdrawal.Set()
	if l.withdrawal.Step(event) {
		l.options.Log.Info("Endpoint withdrawn.")
		l.gossip.marksChanged = now
		l.publishHeartbeat(now)
		l.members.Step(membership.Urgent{At: now})
	}
	if l.withdrawal.Set() != before {
		l.publish()
	}
}

// configuredAddresses returns the addresses of all endpoints.
func configuredAddresses(snapshot *resource.Snapshot) []string {
	var addresses []string
	for _, object := range snapshot.List(resource.KindEndpoint) {
		addresses = append(addresses, withdrawal.AddressOf(object.Endpoint.URL))
	}
	return addresses
}

// admittedAddresses returns the addresses of endpoints that are configured and
// not withdrawn.
func admittedAddresses(snapshot *resource.Snapshot, withdrawn *withdrawal.Set) map[string]bool {
	admitted := make(map[string]bool)
	for _, object := range snapshot.List(resource.KindEndpoint) {
		address := withdrawal.AddressOf(object.Endpoint.URL)
		if !object.Endpoint.Withdrawn && !withdrawn.Has(address) {
			admitted[address] = true
		}
	}
	return admitted
}

// IsIsolated reports whether the router must refuse new work. A router whose
// control goroutine has not run for GapLimit has just come back from a pause, or
// is as good as paused. It may be called from any goroutine.
func (l *Loop) IsIsolated() bool {
	return l.State().IsIsolated || l.isPaused()
}

// isPaused compares clocks, so it holds from the first instruction after a pause.
func (l *Loop) isPaused() bool {
	return time.Since(l.startedAt)-time.Duration(l.tickedAt.Load()) > membership.GapLimit
}

// Admit implements engine.Gate.
func (l *Loop) Admit(address string) error {
	if l.IsIsolated() {
		return engine.ErrIsolated
	}
	if !l.State().admitted[address] {
		return engine.ErrWithdrawn
	}
	return nil
}

// Refused implements engine.Gate.
func (l *Loop) Refused(address string) {
	l.Post(withdrawal.Refused{At: time.Now(), Address: address})
}

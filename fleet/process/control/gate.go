package control

import (
	"time"

	"gentianhead/core/process/gossip"
	"gentianhead/core/process/membership"
	"gentianhead/core/process/withdrawal"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/engine"
)

// This file decides which endpoints may receive requests.

var _ engine.Gate = (*Loop)(nil)

// configuredAddresses returns the addresses of all endpoints.
func configuredAddresses(snapshot *resource.Snapshot) []string {
	var addresses []string
	for _, object := range snapshot.List(resource.KindEndpoint) {
		addresses = append(addresses, withdrawal.AddressOf(object.Endpoint.URL))
	}
	return addresses
}

// isInService reports whether an endpoint is withdrawn neither in the
// configuration nor in withdrawn.
func isInService(endpoint *resource.Endpoint, withdrawn *withdrawal.Set) bool {
	return !endpoint.Withdrawn && !withdrawn.Has(withdrawal.AddressOf(endpoint.URL))
}

// admittedAddresses returns the addresses of endpoints that are configured and
// not withdrawn.
func admittedAddresses(snapshot *resource.Snapshot, withdrawn *withdrawal.Set) map[string]bool {
	admitted := make(map[string]bool)
	for _, object := range snapshot.List(resource.KindEndpoint) {
		if isInService(object.Endpoint, withdrawn) {
			admitted[withdrawal.AddressOf(object.Endpoint.URL)] = true
		}
	}
	return admitted
}

// Instance returns the name of this router.
func (l *Loop) Instance() string {
	return l.options.Self.Instance
}

// IsIsolated reports whether the router must refuse new work: it lost contact,
// or its control goroutine has not run for MaxTickGap, as after a pause of the
// process. It may be called from any goroutine.
func (l *Loop) IsIsolated() bool {
	return l.State().IsIsolated || l.isPaused()
}

// isPaused reports whether the control goroutine is paused. It compares clocks, so it
// is correct from the first instruction after a pause.
func (l *Loop) isPaused() bool {
	return time.Since(l.startedAt)-time.Duration(l.tickedAt.Load()) > membership.MaxTickGap
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
	l.Post(gossip.Refused{At: time.Now(), Address: address})
}

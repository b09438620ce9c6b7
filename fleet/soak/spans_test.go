package soak

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

const (
	// drainDelay is how long a withdrawn endpoint may still receive new requests.
	drainDelay = 2 * time.Second
	// expiryDelay is how long an entry that expired during a store outage stays
	// absent after the outage.
	expiryDelay = 1500 * time.Millisecond
)

// intervals are the periods in which a component had a fault.
type intervals struct {
	mu   sync.Mutex
	list []interval
}

type interval struct{ from, to time.Time }

func (s *intervals) add(from time.Time, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, interval{from, from.Add(length)})
}

// isFaultFree reports whether no fault overlaps from-quietPeriod to to.
func (s *intervals) isFaultFree(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.list, func(d interval) bool { return d.from.Before(to) && d.to.After(from.Add(-quietPeriod)) })
}

// drain is a withdrawal of an endpoint.
type drain struct {
	endpoint *platformtest.Endpoint
	interval
}

// reserve locks an endpoint's entry for a change. It returns false while another
// change is in progress.
func (h *harness) reserve(endpoint *platformtest.Endpoint, length time.Duration) bool {
	if time.Now().Before(h.reservedUntil[endpoint]) {
		return false
	}
	h.reservedUntil[endpoint] = time.Now().Add(length)
	return true
}

// withdraw marks an endpoint as draining for the given time.
func (h *harness) withdraw(number int, length time.Duration) string {
	endpoint := h.endpoints[number]
	now := time.Now()
	if !h.reserve(endpoint, length) {
		return "nothing"
	}
	h.store.Put(platform.TableEndpoints, endpoint.ID, endpoint.Entry("pool", "draining"))
	h.drains = append(h.drains, drain{endpoint, interval{time.Now(), now.Add(length)}})
	time.AfterFunc(length, func() { h.store.Put(platform.TableEndpoints, endpoint.ID, endpoint.Entry("pool", "ready")) })
	return "drain " + endpoint.ID
}

// expireDuringOutage makes the store unresponsive and deletes an endpoint's entry,
// which is added again after the outage.
func (h *harness) expireDuringOutage(number int, length time.Duration) string {
	endpoint := h.endpoints[number]
	if !h.reserve(endpoint, length+expiryDelay) {
		return "nothing"
	}
	h.storeFaults.add(time.Now(), length+expiryDelay)
	h.store.SetFault(platformtest.Silent)
	h.store.Delete(platform.TableEndpoints, endpoint.ID)
	time.AfterFunc(length, func() { h.store.SetFault("") })
	time.AfterFunc(length+expiryDelay, func() { h.store.Put(platform.TableEndpoints, endpoint.ID, endpoint.Entry("pool", "ready")) })
	return "expire entry of " + endpoint.ID
}

// checkDrains checks that withdrawn endpoints received no new requests from
// routers. Runs near a fault of the router, the store or the link are ignored.
func (h *harness) checkDrains() {
	routerOf := make(map[string]*process)
	for _, a := range h.recorder.attempts {
		routerOf[a.id] = a.router
	}
	for _, d := range h.drains {
		link := h.linkFaults[slices.Index(h.endpoints, d.endpoint)]
		for _, run := range d.endpoint.Runs() {
			if run.At.Before(d.from.Add(drainDelay)) || run.At.After(d.to) {
				continue
			}
			id := run.Header.Get("Gentianhead-Attempt-Id")
			router := routerOf[id]
			if router != nil && router.faults.isFaultFree(d.from, run.At) && h.storeFaults.isFaultFree(d.from, run.At) && link.isFaultFree(d.from, run.At) {
				h.t.Errorf("%s ran at %s %v after the withdrawal, sent by %s", id, d.endpoint.ID, run.At.Sub(d.from), router.name)
			}
		}
	}
}

// reloadSettings lowers RetrySlack to 40 in the router's settings and sends SIGHUP to reload them.
func (h *harness) reloadSettings(router *process) string {
	router.reload(h.t, func(settings string) string { return strings.Replace(settings, "RetrySlack=5", "RetrySlack=4", 1) })
	return "settings of " + router.name
}

func intFromEnv(t *testing.T, variable string, fallback int) int {
	text, isSet := os.LookupEnv(variable)
	if !isSet {
		return fallback
	}
	value, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return value
}

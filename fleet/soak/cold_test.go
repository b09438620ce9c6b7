package soak

import (
	"fmt"
	"time"

	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

const (
	// coldPerSecond is the rate of the pool for cold endpoints, and mostCold the largest whole
	// number of requests that the bound allows within any second, from all routers, also those
	// with a fault.
	coldPerSecond = 2.0
	mostCold      = int(1.5*coldPerSecond + 5)
	// coldEvery is the time from the start of one cold endpoint to that of the next, and
	// coldTime how long each is cold.
	coldEvery = 4 * time.Second
	coldTime  = 3500 * time.Millisecond
)

// startCold starts cold endpoints of the pool until stop is closed. Each crashes when it gets
// more than mostCold requests within a second while it is cold. Routers of a previous release
// don't know of the limit.
func (h *harness) startCold(stop <-chan struct{}) {
	for _, router := range h.routers {
		if router.program != currentProgram {
			return
		}
	}
	for number := 0; ; number++ {
		endpoint := platformtest.NewEndpoint(fmt.Sprint("cold-", number))
		h.t.Cleanup(endpoint.Close)
		endpoint.Events, endpoint.Pause = events, 20*time.Millisecond
		endpoint.SetCold(coldTime, mostCold, number%2 == 1)
		h.mu.Lock()
		h.cold = append(h.cold, endpoint)
		h.mu.Unlock()
		h.store.Put(platform.TableEndpoints, endpoint.ID, endpoint.Entry("pool", "ready"))
		select {
		case <-stop:
			return
		case <-time.After(coldEvery):
		}
	}
}

// checkCold checks that no cold endpoint crashed, and that they were used.
func (h *harness) checkCold() {
	used := 0
	for _, endpoint := range h.cold {
		if endpoint.CrashedOn() != "" {
			h.t.Errorf("%s got %d requests within a second while it was cold, %d allowed", endpoint.ID, endpoint.HighestCold(), mostCold)
		}
		if endpoint.HighestCold() > 0 {
			used++
		}
		h.t.Logf("%s: at most %d requests within a second while it was cold", endpoint.ID, endpoint.HighestCold())
	}
	if len(h.cold) > 0 && used == 0 {
		h.t.Error("no cold endpoint got a request")
	}
}

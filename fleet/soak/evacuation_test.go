package soak

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianhead/platform"
)

// evacuationsEvery is the interval of seeds with evacuations. Bounds.ConfigMs, activationDelay,
// bounds the age of the view of the table that requests them.
const evacuationsEvery = 5

// evacuation is a time in which a zone was evacuated.
type evacuation struct {
	zone string
	interval
}

// moveToZones moves two endpoints of the pool to zones of their own.
func (h *harness) moveToZones(seed uint64) {
	if seed%evacuationsEvery != evacuationsEvery-1 {
		return
	}
	for number, zone := range map[int]string{1: "zone-2", 3: "zone-3"} {
		h.endpoints[number].Zone = zone
		h.store.Put(platform.TableEndpoints, h.endpoints[number].ID, h.endpoints[number].Entry("pool", "ready"))
	}
}

// evacuate evacuates zones until stop is closed: with one endpoint each, and one without.
func (h *harness) evacuate(seed uint64, stop <-chan struct{}) {
	if h.endpoints[1].Zone == "" {
		return
	}
	random := rand.New(rand.NewPCG(seed, 4))
	busyUntil := make(map[string]time.Time)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+random.IntN(1500)) * time.Millisecond):
		}
		zone := []string{"zone-2", "zone-3", "nowhere"}[random.IntN(3)]
		if time.Now().Before(busyUntil[zone]) {
			continue
		}
		length := activationDelay + time.Duration(random.IntN(3500))*time.Millisecond
		h.store.Evacuate(zone)
		now := time.Now()
		busyUntil[zone] = now.Add(length + time.Second)
		h.evacuations = append(h.evacuations, evacuation{zone, interval{now, now.Add(length)}})
		time.AfterFunc(length, func() { h.store.EndEvacuation(zone) })
	}
}

// checkEvacuations checks that routers in touch with the store sent nothing to evacuated zones.
func (h *harness) checkEvacuations() {
	routerOf := make(map[string]*process)
	for _, a := range h.recorder.attempts {
		routerOf[a.id] = a.router
	}
	for _, e := range h.evacuations {
		for number, endpoint := range h.endpoints {
			if cmp.Or(endpoint.Zone, "zone-1") != e.zone {
				continue
			}
			for _, run := range endpoint.Runs() {
				router := routerOf[run.Header.Get("Gentianhead-Attempt-Id")]
				isLate := run.At.After(e.from.Add(activationDelay)) && run.At.Before(e.to)
				if isLate && router != nil && router.program == currentProgram && router.faults.isFaultFree(e.from, run.At) &&
					h.storeFaults.isFaultFree(e.from, run.At) && h.linkFaults[number].isFaultFree(e.from, run.At) {
					h.t.Errorf("%s got a request from %s %v after %s was evacuated", endpoint.ID, router.name, run.At.Sub(e.from), e.zone)
				}
			}
		}
	}
}

// Guards against a router that wakes from a pause and sends callers to one that was killed
// meanwhile, whose last beacons waited at its socket.
func TestDirectoryAfterPause(t *testing.T) {
	h := newHarness(t, 11)
	paused, lost := h.routers[0], h.routers[1]
	named := func() []string {
		response, err := (&http.Client{Timeout: time.Second}).Get("http://" + paused.directory + platform.ResolvePath + "?Name=a.example")
		if err != nil {
			return nil
		}
		defer response.Body.Close()
		var answer struct{ Addresses []string }
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
		return answer.Addresses
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(named()) == len(h.routers) {
			return poll.Success()
		}
		return poll.Continue("not all routers are named")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	paused.signal(syscall.SIGSTOP)
	<-time.After(300 * time.Millisecond)
	lost.kill()
	<-time.After(8 * time.Second)
	paused.signal(syscall.SIGCONT)
	for range 60 {
		assert.Assert(t, !slices.Contains(named(), lost.callers))
		<-time.After(50 * time.Millisecond)
	}
	assert.Equal(t, len(named()), len(h.routers)-1)
}

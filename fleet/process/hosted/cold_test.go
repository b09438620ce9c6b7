package hosted

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

// coldConfiguration is configuration with a rate for cold endpoints of the plain service.
func coldConfiguration(version int, perSecond float64) map[string]any {
	changed := configuration(version, "first")
	changed["Services"] = []map[string]any{{"Name": "plain", "ColdStartS": 20, "ColdPerS": perSecond}}
	return changed
}

// Guards against a cold endpoint that crashes since all routers together send it more than it
// stands, whether it starts cold or becomes so under load, and against one that gets nothing.
func TestColdEndpointsSurviveLoad(t *testing.T) {
	const (
		perSecond = 1.0
		// most is the largest whole number of requests that the bound allows in a second.
		most     = 6
		coldTime = 6 * time.Second
		// knownAfter is the time in which all routers learn that an endpoint is cold.
		knownAfter = time.Second
		pause      = 8 * time.Millisecond
	)
	f := newFleet(t, 3)
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, coldConfiguration(2, perSecond))
	for number := range f.routers {
		f.eventually("version in force", func() bool {
			table := f.routers[number].control.current.Load().table
			return table != nil && table.Version == 2 && f.status(number, "first", fmt.Sprint("ready-", number)) == http.StatusOK
		})
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	refused, number := 0, 0
	load := func(length time.Duration) {
		for startedAt := time.Now(); time.Since(startedAt) < length; time.Sleep(pause) {
			number++
			router, id := number%len(f.routers), fmt.Sprint(number)
			group.Go(func() {
				// Repeats of one request prefer one endpoint.
				if f.statusAt(router, "/orders/"+id, "first", id) != http.StatusOK {
					mu.Lock()
					refused++
					mu.Unlock()
				}
			})
		}
	}
	starting := platformtest.NewEndpoint("e-2")
	t.Cleanup(starting.Close)
	starting.SetCold(coldTime, most, false)
	f.store.Put(platform.TableEndpoints, starting.ID, starting.Entry("plain", "ready"))
	load(coldTime - time.Second)
	assert.Equal(t, starting.CrashedOn(), "")
	highest := starting.HighestCold()
	assert.Assert(t, highest > 0 && highest <= most, "%d requests in a second", highest)
	load(2 * time.Second)
	afterwards := starting.RequestCount()

	entry := starting.Entry("plain", "ready")
	entry["ColdRemainingMs"] = coldTime.Milliseconds()
	f.store.Put(platform.TableEndpoints, starting.ID, entry)
	load(knownAfter)
	starting.SetCold(coldTime-knownAfter, most, true)
	load(coldTime - 2*knownAfter)
	group.Wait()
	assert.Equal(t, starting.CrashedOn(), "")
	t.Logf("at most %d and %d requests in a second, %d of %d refused", highest, starting.HighestCold(), refused, number)
	assert.Assert(t, starting.HighestCold() > 0 && starting.HighestCold() <= most)
	assert.Assert(t, afterwards > 2*most, "a warm endpoint gets its usual share")
	assert.Equal(t, refused, 0, "the other endpoint has room")
}

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
		coldTime = 5 * time.Second
		pause    = 8 * time.Millisecond
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
	announce := func(id string, coldTime time.Duration) *platformtest.Endpoint {
		endpoint := platformtest.NewEndpoint(id)
		t.Cleanup(endpoint.Close)
		endpoint.SetCold(coldTime, most, false)
		f.store.Put(platform.TableEndpoints, id, endpoint.Entry("plain", "ready"))
		return endpoint
	}
	starting := announce("e-2", coldTime)
	load(coldTime - time.Second)
	assert.Equal(t, starting.CrashedOn(), "")
	highest, before := starting.HighestCold(), starting.RequestCount()
	assert.Assert(t, highest > 0 && highest <= most, "%d requests in a second", highest)
	f.eventually("a warm endpoint gets its usual share", func() bool {
		load(100 * time.Millisecond)
		return starting.RequestCount() > before+4*most
	})

	entry := starting.Entry("plain", "ready")
	entry["ColdRemainingMs"] = (2 * coldTime).Milliseconds()
	f.store.Put(platform.TableEndpoints, starting.ID, entry)
	announce("e-3", 0)
	for number := range f.routers {
		f.eventually("all entries known", func() bool { return f.routers[number].control.current.Load().endpointCount == 3 })
	}
	group.Wait()
	starting.SetCold(coldTime, most, true)
	load(coldTime)
	group.Wait()
	assert.Equal(t, starting.CrashedOn(), "")
	t.Logf("at most %d and %d requests in a second, %d of %d refused", highest, starting.HighestCold(), refused, number)
	assert.Assert(t, starting.HighestCold() > 0 && starting.HighestCold() <= most)
	assert.Equal(t, refused, 0, "the other endpoints have room")
}

package hosted

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/platform"
)

// Guards against refusing, from SIGTERM on, all requests of a route that few have used lately
// because their time limit, not their answers, is longer than the grace period.
func TestStopServesShortAnswersOfQuietRoute(t *testing.T) {
	f := newFleet(t, 1)
	c := stopConfiguration()
	for _, route := range c["RouteTable"].([]map[string]any) {
		route["TimeoutMs"] = 15000
	}
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, c)
	f.eventually("route configured", func() bool {
		table := f.routers[0].control.current.Load().table
		if table == nil {
			return false
		}
		route, found := table.Match(hostName, "/orders/1")
		return found && route.Timeout == 15*time.Second
	})
	for range 5 {
		assert.Equal(t, f.status(0, "first", "before"), http.StatusOK)
	}
	f.stops[0]()
	<-time.After(200 * time.Millisecond)
	answer := <-f.hold("held", len("order"))
	assert.NilError(t, answer.err)
	assert.Equal(t, answer.status, http.StatusOK, answer.body)
}

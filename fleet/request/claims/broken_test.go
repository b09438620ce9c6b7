package claims

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"gentianhead/core/request/claim"
	"gentianhead/core/request/outcome"
	"gentianhead/fleet/connection/engine"
	"gentianhead/platform/platformtest"
)

// Guards against an at-most-once request that is recorded as answered or not run because of an
// answer with a broken head, and against a fence that is believed because of one.
func TestBrokenHeadLeavesOutcomeUnknown(t *testing.T) {
	for _, fault := range platformtest.HeadFaults() {
		for _, status := range []string{"200 OK", "410 Gone", "412 Precondition Failed"} {
			runs := new(atomic.Int64)
			server := platformtest.NewRawServer(func(r *http.Request) (string, bool) {
				if r.URL.Path != FencePath {
					runs.Add(1)
				}
				return fault.Apply(fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: 15\r\n\r\n{\"accepted\": 0}", status, engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))), true
			})
			m, _ := newTestManager(t, newFakeTable())
			request := newTestRequest(http.MethodPost, "http://"+server.Address, "key", []byte("order"))
			request.IsFenced = true
			result := m.Do(t.Context(), request)
			what := fmt.Sprintf("%s, %s", fault.Name, status)
			assert.Equal(t, result.Outcome, outcome.Unknown, what)
			assert.Equal(t, runs.Load(), int64(1), what)
			fenced := m.newRun(t.Context(), request, nil).fence(claim.Fence{EndpointURL: "http://" + server.Address, Fencing: 2})
			assert.DeepEqual(t, fenced, claim.FenceFailed{})
			server.Close()
		}
	}
}

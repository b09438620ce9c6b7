package relay_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"gentianhead/platform/platformtest"
)

// promises are the statuses that promise that a request hasn't run and never will.
var promises = []int{http.StatusBadRequest, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Guards against an earlier refusal that an endpoint writes once more and that is taken for
// the answer to the next request on the connection, which runs.
func TestRepeatedRefusalIsNoAnswer(t *testing.T) {
	for _, fault := range platformtest.RepeatedFaults {
		for _, path := range []string{pathSafe, pathUnsafe, pathStream, pathResume} {
			for _, callers := range []int{1, 4} {
				t.Run(fmt.Sprint(fault, path, callers), func(t *testing.T) {
					f := newFixture(t, 2)
					f.faults(fault, fault)
					statuses := make(map[string]int)
					var mu sync.Mutex
					var wg sync.WaitGroup
					for caller := range callers {
						wg.Go(func() {
							for number := range 12 {
								id := fmt.Sprint("attempt-", caller, "-", number)
								send := f.postStream
								if path == pathSafe || path == pathUnsafe {
									send = func(path string, headers ...string) answer {
										return f.sendRequest(http.MethodPost, path, "body", headers...)
									}
								}
								got := send(path+"1", "Gentianhead-Attempt-Id", id)
								mu.Lock()
								statuses[id] = got.status
								mu.Unlock()
							}
						})
					}
					wg.Wait()
					runs := make(map[string]int)
					for _, run := range f.runs() {
						runs[run.Header.Get("Gentianhead-Attempt-Id")]++
					}
					for id, status := range statuses {
						assert.Assert(t, runs[id] == 0 || !slices.Contains(promises, status), "%s ran %d times and was answered %d", id, runs[id], status)
						assert.Assert(t, path != pathUnsafe && path != pathStream || runs[id] <= 1, "%s ran %d times", id, runs[id])
					}
				})
			}
		}
	}
}

// Guards against a request without an id that gets the answer to another on its connection.
func TestRequestWithoutIDGetsOwnAnswer(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.DoubledRefusal, platformtest.RepeatedRefusalNoID, platformtest.DuplicateResponse} {
		f := newFixture(t, 1)
		f.faults(fault)
		for range 12 {
			before := len(f.runs())
			request := f.newRequest(http.MethodPost, pathSafe+"1", "body")
			request.Header.Del("Gentianhead-Attempt-Id")
			response, err := http.DefaultTransport.RoundTrip(request)
			assert.NilError(t, err)
			_ = response.Body.Close()
			hasRun := len(f.runs()) > before
			assert.Assert(t, hasRun || slices.Contains(promises, response.StatusCode), "%s: status %d", fault, response.StatusCode)
			assert.Assert(t, !hasRun || !slices.Contains(promises, response.StatusCode), "%s: status %d", fault, response.StatusCode)
		}
	}
}

// Guards against a connection on which each answer is taken for that of the request after it.
func TestConnectionOfForeignAnswerClosed(t *testing.T) {
	f := newFixture(t, 1)
	f.faults(platformtest.RepeatedRefusal)
	assert.Equal(t, f.sendRequest(http.MethodGet, pathSafe+"1", "", "Gentianhead-Attempt-Id", "a").status, http.StatusServiceUnavailable)
	assert.Equal(t, f.sendRequest(http.MethodGet, pathSafe+"1", "", "Gentianhead-Attempt-Id", "b").status, http.StatusBadGateway)
	f.faults("")
	for number := range 5 {
		got := f.sendRequest(http.MethodGet, pathSafe+"1", "", "Gentianhead-Attempt-Id", fmt.Sprint("c-", number))
		assert.Equal(t, got.status, http.StatusOK)
	}
}

// Guards against a switch to another protocol that is forwarded as an answer.
func TestSwitchingProtocolsIsNoAnswer(t *testing.T) {
	for _, path := range []string{pathSafe, pathUnsafe} {
		f := newFixture(t, 1)
		f.faults(platformtest.Switching)
		got := f.sendRequest(http.MethodPost, path+"1", "body")
		assert.Equal(t, got.status, http.StatusBadGateway, path)
	}
}

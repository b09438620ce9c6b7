package relay

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/request/balance"
	"gentianhead/core/request/retry"
	"gentianhead/core/version/routetable"
	"gentianhead/fleet/process/memory"
	"gentianhead/platform"
)

var testEvent = "data: " + strings.Repeat("x", 100) + "\n\n"

// inUse lets what a handler creates escape to the heap, as it does in ServeHTTP.
var inUse sync.Map

// eventSource returns one event from each read.
type eventSource struct{ left int }

// Read implements io.Reader.
func (s *eventSource) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	s.left--
	return copy(p, testEvent), nil
}

// BenchmarkForwardStream measures what a stream of 40 events costs whose caller keeps up.
func BenchmarkForwardStream(b *testing.B) {
	balancer := NewBalancer(2, 10*time.Second, retry.FleetLimits{Ratio: 1, Slack: 100, Window: 10 * time.Second}, slog.New(slog.DiscardHandler))
	r := New(Options{Dialect: platform.Dialect{}, Balancer: balancer, Log: slog.New(slog.DiscardHandler), HeldMemory: 1 << 20})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		response := &http.Response{
			StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}},
			Body: io.NopCloser(&eventSource{left: 40}), ContentLength: -1, TransferEncoding: []string{"chunked"},
		}
		c := &call{w: w, r: request, route: &routetable.Route{Kind: routetable.Stream}, holder: memory.HolderOf(request.Context())}
		placement := &balance.Placement{}
		inUse.Store(0, c)
		inUse.Store(1, placement)
		inUse.Store(2, response)
		result := r.forwardStream(request.Context(), c, placement, response)
		assert.Check(b, result.failure == nil)
	}))
	defer server.Close()
	b.ReportAllocs()
	for b.Loop() {
		response, err := http.Get(server.URL)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(b, err)
		_ = response.Body.Close()
	}
}

package relay

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/request/balance"
	"gentianhead/core/request/retry"
	"gentianhead/core/version/routetable"
	"gentianhead/fleet/process/memory"
	"gentianhead/platform"
)

// eventSource returns one event from each read.
type eventSource struct{ left int }

// Read implements io.Reader.
func (s *eventSource) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	s.left--
	return copy(p, "data: "+strings.Repeat("x", 100)+"\n\n"), nil
}

// BenchmarkForwardStream measures what a stream of 40 events costs whose caller keeps up.
func BenchmarkForwardStream(b *testing.B) {
	balancer := NewBalancer(2, 10*time.Second, retry.FleetLimits{Ratio: 1, Slack: 100, Window: 10 * time.Second}, slog.New(slog.DiscardHandler))
	r := New(Options{Dialect: platform.Dialect{}, Balancer: balancer, Log: slog.New(slog.DiscardHandler)})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		response := &http.Response{
			StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}},
			Body: io.NopCloser(&eventSource{left: 40}), ContentLength: -1, TransferEncoding: []string{"chunked"},
		}
		c := &call{w: w, r: request, route: &routetable.Route{Kind: routetable.Stream}, holder: memory.HolderOf(request.Context())}
		result := r.forwardStream(request.Context(), c, &balance.Placement{}, response)
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

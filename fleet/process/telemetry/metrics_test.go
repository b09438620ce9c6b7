package telemetry

import (
	"expvar"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMetricsHandlerTextFormat(t *testing.T) {
	h := NewHistogram("test_seconds")
	h.Record(100 * time.Millisecond)
	h.Record(time.Hour)
	expvar.NewInt("test.count").Add(3)
	expvar.NewMap("test_map").Add("a \"b\"", 2)
	recorder := httptest.NewRecorder()
	MetricsHandler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	text := recorder.Body.String()
	for _, line := range []string{
		"gentianhead_test_count 3\n",
		`gentianhead_test_map{key="a \"b\""} 2` + "\n",
		"gentianhead_test_seconds_count 2\n",
		`gentianhead_test_seconds{quantile="0.5"} 0.1`,
	} {
		assert.Assert(t, strings.Contains(text, line), "%s in\n%s", line, text)
	}
}

// blockedWriter blocks in Write until it is released.
type blockedWriter struct{ released chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}

// Guards against requests blocked by log output that nobody reads.
func TestAsyncWriterBlockedOutput(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
	a := NewAsyncWriter(w)
	before := linesDropped.Value()
	for range 2 * maxQueuedLines {
		_, err := a.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, linesDropped.Value()-before >= maxQueuedLines-1)
	close(w.released)
	a.Close()
}

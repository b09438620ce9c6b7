package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"gentianhead/core/request/outcome"
)

// Metrics of the requests that callers sent; docs/operators/observing.md names them.
var (
	requestCounts = expvar.NewMap("gateway.requests")
	inFlight      = expvar.NewInt("gateway.inFlight")
	latencies     = newLatencyWindow()
)

func init() {
	expvar.Publish("gateway.latencyMillis", expvar.Func(func() any { return latencies.report(time.Now()) }))
}

const (
	// latencyWindowTime is how long latencies are collected before the window moves.
	latencyWindowTime = time.Minute
	// maxLatency is the longest latency that is told from longer ones.
	maxLatency = time.Hour
	// latencyDigits is the precision of latencies in decimal digits.
	latencyDigits = 2
)

// latencyWindow collects the latencies of the last one to two window times. It
// is safe for concurrent use.
type latencyWindow struct {
	mu       sync.Mutex
	begun    time.Time
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func newLatencyWindow() *latencyWindow {
	return &latencyWindow{current: newHistogram(), previous: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
}

func (w *latencyWindow) record(now time.Time, latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.move(now)
	_ = w.current.RecordValue(max(min(latency, maxLatency).Microseconds(), 1))
}

func (w *latencyWindow) move(now time.Time) {
	if now.Sub(w.begun) < latencyWindowTime {
		return
	}
	if now.Sub(w.begun) >= 2*latencyWindowTime {
		w.current.Reset()
	}
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
	w.begun = now
}

// latencyReport shows latencies in milliseconds.
type latencyReport struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func (w *latencyWindow) report(now time.Time) latencyReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.move(now)
	all := newHistogram()
	all.Merge(w.previous)
	all.Merge(w.current)
	const microsPerMilli = 1000
	at := func(percentile float64) float64 {
		return float64(all.ValueAtQuantile(percentile)) / microsPerMilli
	}
	return latencyReport{Count: all.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: at(100)}
}

// finish records how a request ended in metrics, trace and log. problem is nil
// when the whole answer was passed on.
func (g *Gateway) finish(x *exchange, span trace.Span, problem *outcome.Problem, begun time.Time) {
	took := time.Since(begun)
	latencies.record(begun.Add(took), took)
	result, code := outcome.Completed, outcome.Code("")
	label := string(outcome.Completed)
	if problem != nil {
		result, code = problem.Outcome, problem.Code
		label = string(result) + "." + string(code)
	}
	requestCounts.Add(label, 1)
	span.SetAttributes(attribute.String("outcome", string(result)), attribute.String("problem.code", string(code)))
	g.options.Log.Info("Request ended.", "request", x.id, "account", x.account, "path", x.r.URL.Path,
		"outcome", result, "code", code, "took", took)
}

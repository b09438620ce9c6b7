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

// Metrics of callers' requests; docs/operators/observing.md documents them.
var (
	requestCounts = expvar.NewMap("gateway.requests")
	inFlight      = expvar.NewInt("gateway.inFlight")
	latencies     = newLatencyWindow()

	// limitedEndpoints is the number of endpoints that state a request rate, ownedLimits that
	// of those to which this router may send requests, and unreadableRates counts statements
	// without a meaning.
	limitedEndpoints = expvar.NewInt("gateway.limitedEndpoints")
	ownedLimits      = expvar.NewInt("gateway.ownedLimits")
	unreadableRates  = expvar.NewInt("gateway.unreadableRates")
)

func init() {
	expvar.Publish("gateway.latencyMillis", expvar.Func(func() any { return latencies.report(time.Now()) }))
}

const (
	// latencyWindowDuration is how long latencies are collected before rotation.
	latencyWindowDuration = time.Minute
	// maxLatency is the highest recorded latency; longer ones are capped to it.
	maxLatency = time.Hour
	// latencyDigits is the precision of latencies in significant decimal digits.
	latencyDigits = 2
)

// latencyWindow collects the latencies of the last one to two
// latencyWindowDurations. It is safe for concurrent use.
type latencyWindow struct {
	mu        sync.Mutex
	startedAt time.Time
	current   *hdrhistogram.Histogram
	previous  *hdrhistogram.Histogram
}

func newLatencyWindow() *latencyWindow {
	return &latencyWindow{current: newHistogram(), previous: newHistogram()}
}

// newHistogram returns a histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
}

func (w *latencyWindow) record(now time.Time, latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate(now)
	_ = w.current.RecordValue(max(min(latency, maxLatency).Microseconds(), 1))
}

func (w *latencyWindow) rotate(now time.Time) {
	if now.Sub(w.startedAt) < latencyWindowDuration {
		return
	}
	if now.Sub(w.startedAt) >= 2*latencyWindowDuration {
		w.current.Reset()
	}
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
	w.startedAt = now
}

// latencyReport contains latencies in milliseconds.
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
	w.rotate(now)
	all := newHistogram()
	all.Merge(w.previous)
	all.Merge(w.current)
	const microsPerMilli = 1000
	at := func(percentile float64) float64 {
		return float64(all.ValueAtQuantile(percentile)) / microsPerMilli
	}
	return latencyReport{Count: all.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: at(100)}
}

// finish records the result of a request in metrics, trace and log. problem is
// nil if the complete answer was forwarded.
func (g *Gateway) finish(x *exchange, span trace.Span, problem *outcome.Problem, start time.Time) {
	took := time.Since(start)
	latencies.record(start.Add(took), took)
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

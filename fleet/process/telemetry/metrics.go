package telemetry

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDuration is the largest value of a histogram.
	maxDuration = 10 * time.Minute
	// significantDigits is the precision of a histogram in decimal digits.
	significantDigits = 2
)

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Histogram records durations. It is safe for concurrent use.
type Histogram struct {
	mu    sync.Mutex
	times *hdrhistogram.Histogram
	sum   time.Duration
}

// NewHistogram returns a histogram and publishes it in expvar as name.
func NewHistogram(name string) *Histogram {
	h := &Histogram{times: hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)}
	expvar.Publish(name, h)
	return h
}

// Record adds a duration; quantiles count values above ten minutes as ten minutes.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sum += d
	_ = h.times.RecordValue(min(max(d, 0), maxDuration).Microseconds())
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, `{"count":%d,"sum":%g`, h.times.TotalCount(), h.sum.Seconds())
	for _, q := range quantiles {
		fmt.Fprintf(&b, `,"%g":%g`, q, h.quantile(q))
	}
	b.WriteString("}")
	return b.String()
}

// quantile returns a quantile in seconds.
func (h *Histogram) quantile(q float64) float64 {
	return (time.Duration(h.times.ValueAtQuantile(100*q)) * time.Microsecond).Seconds()
}

func (h *Histogram) writeText(w io.Writer, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, h.quantile(q))
	}
	fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, h.sum.Seconds(), name, h.times.TotalCount())
}

// MetricsHandler serves the process's expvar metrics in the Prometheus text format.
// Entries of a map get the label "key"; functions must return a float64.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		expvar.Do(func(kv expvar.KeyValue) { writeVar(w, kv) })
	})
}

func writeVar(w io.Writer, kv expvar.KeyValue) {
	name := metricPrefix + strings.ReplaceAll(kv.Key, ".", "_")
	switch v := kv.Value.(type) {
	case *expvar.Int, *expvar.Float:
		fmt.Fprintf(w, "%s %s\n", name, v.String())
	case *expvar.Map:
		v.Do(func(entry expvar.KeyValue) {
			fmt.Fprintf(w, "%s{key=%s} %s\n", name, strconv.Quote(entry.Key), entry.Value.String())
		})
	case *Histogram:
		v.writeText(w, name)
	case expvar.Func:
		if number, ok := v.Value().(float64); ok {
			fmt.Fprintf(w, "%s %g\n", name, number)
		}
	}
}

const metricPrefix = "gentianhead_"

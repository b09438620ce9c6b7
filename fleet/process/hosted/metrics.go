package hosted

import (
	"expvar"
	"net"
	"net/http"
	"runtime/metrics"
	"strconv"
	"sync/atomic"

	"gentianhead/core/process/staleness"
	"gentianhead/fleet/process/boottime"
	"gentianhead/fleet/process/serving"
	"gentianhead/fleet/process/telemetry"
)

// metricsPort is the port of the metrics endpoint. It must match deploy/system.toml.
const metricsPort = 9464

// metricsSource is the control loop that the metrics read from.
var metricsSource atomic.Pointer[control]

// poolSource holds the callers' connections that the metrics read from.
var poolSource atomic.Pointer[serving.Pool]

// newsSent counts the news of crashes that was sent before the next round of beacons.
var newsSent = expvar.NewInt("control_crash_news_sent")

func init() {
	for name, read := range map[string]func(*control) float64{
		"control_version": func(c *control) float64 {
			if table := c.current.Load().table; table != nil {
				return float64(table.Version)
			}
			return 0
		},
		"control_newest_version": func(c *control) float64 { return float64(c.current.Load().newestVersion) },
		"control_confirmation_age_seconds": func(c *control) float64 {
			age, _ := c.current.Load().lease.Age(boottime.Now())
			return age.Seconds()
		},
		"control_configuration_age_seconds": func(c *control) float64 { return c.sync.age(staleness.Configuration).Seconds() },
		"control_entries_age_seconds":       func(c *control) float64 { return c.sync.age(staleness.Endpoints).Seconds() },
		"control_store_era":                 func(c *control) float64 { return float64(c.current.Load().era) },
		"control_is_ready":                  func(c *control) float64 { return boolToFloat(c.current.Load().isReady(boottime.Now())) },
		"control_is_watcher":                func(c *control) float64 { return boolToFloat(c.sync.isWatcher.Load()) },
		"control_live_routers":              func(c *control) float64 { return float64(len(c.current.Load().live) + 1) },
		"control_endpoints":                 func(c *control) float64 { return float64(c.current.Load().endpointCount) },
		"control_evacuated_zones":           func(c *control) float64 { return float64(len(c.current.Load().evacuated)) },
		"control_events_waiting":            func(c *control) float64 { return float64(len(c.events)) },
		"control_events_dropped":            func(c *control) float64 { return float64(c.dropped.Load()) },
	} {
		expvar.Publish(name, expvar.Func(func() any {
			if c := metricsSource.Load(); c != nil {
				return read(c)
			}
			return 0.0
		}))
	}
	for name, read := range map[string]func(*serving.Pool) int64{
		"serving_connections":  func(p *serving.Pool) int64 { return int64(p.Conns()) },
		"serving_memory_bytes": (*serving.Pool).Memory,
	} {
		expvar.Publish(name, expvar.Func(func() any {
			if p := poolSource.Load(); p != nil {
				return read(p)
			}
			return 0
		}))
	}
	for name, sample := range map[string]string{
		"runtime_heap_bytes": "/memory/classes/heap/objects:bytes",
		"runtime_goroutines": "/sched/goroutines:goroutines",
		"runtime_gc_cycles":  "/gc/cycles/total:gc-cycles",
	} {
		expvar.Publish(name, expvar.Func(func() any { return readRuntimeMetric(sample) }))
	}
}

func readRuntimeMetric(name string) float64 {
	samples := []metrics.Sample{{Name: name}}
	metrics.Read(samples)
	if samples[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return float64(samples[0].Value.Uint64())
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// serveMetrics serves metrics on this machine's address. A listen error is only
// logged, since a router without metrics can still serve callers.
func (r *Router) serveMetrics() *http.Server {
	server := &http.Server{Handler: telemetry.MetricsHandler(), ReadHeaderTimeout: headerTimeout}
	address := net.JoinHostPort(r.settings.Peers.Addr().String(), strconv.Itoa(metricsPort))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		r.log.Warn("The metrics listener can't be opened.", "address", address, "error", err)
		return server
	}
	go func() { _ = server.Serve(listener) }()
	return server
}

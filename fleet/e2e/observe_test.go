package e2e

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

const (
	traceID     = "0af7651916cd43dd8448eb211c80319c"
	traceparent = "00-" + traceID + "-b7ad6b7169203331-01"
)

// spanCollector receives spans over OTLP/HTTP.
type spanCollector struct {
	mu    sync.Mutex
	spans []*trace.Span
}

func (c *spanCollector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var request collector.ExportTraceServiceRequest
	if err := proto.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, resource := range request.ResourceSpans {
		for _, scope := range resource.ScopeSpans {
			c.spans = append(c.spans, scope.Spans...)
		}
	}
}

// names returns the names of the spans of one trace.
func (c *spanCollector) names(id string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, span := range c.spans {
		if fmt.Sprintf("%x", span.TraceId) == id {
			names = append(names, span.Name)
		}
	}
	return names
}

// Guards against losing the caller's trace context, and against requests missing
// from the metrics.
func TestRequestTracedAndCounted(t *testing.T) {
	t.Parallel()
	spans := &spanCollector{}
	server := httptest.NewServer(spans)
	defer server.Close()
	f := &fleet{platform: startStandin(t, "platform")}
	r := startRouter(t, "router-1", f.platform.url(), routerOptions{
		extra:    fmt.Sprintf("traces: {otlpEndpoint: %q}\n", server.URL+"/v1/traces"),
		shutdown: "{announce: 100ms, entryLife: 100ms, grace: 20s}",
	})
	engine := startStandin(t, "engine", "-name", "engine-1", "-tokens", "6", "-token-delay", "1ms")
	r.awaitReady(t)
	r.apply(t, "kind: model\nname: m\nmodel: {}\n---\nkind: client-account\nname: a\nclientAccount: {tokenSha256: "+accountDigest+"}\n"+
		fmt.Sprintf("---\nkind: endpoint\nname: engine-1\nendpoint: {url: %q, zone: zone-1, models: [m]}\n", engine.url()))

	engine.setFaults(t, map[string]any{"truncateAfter": 3})
	got := r.send(t.Context(), http.MethodPost, chatPath, chatBody(true), "Traceparent", traceparent)
	assert.Assert(t, got.isWholeChat(6, true), string(got.body))
	refused := r.send(t.Context(), http.MethodPost, chatPath, "{")
	assert.Equal(t, refused.status, http.StatusBadRequest)

	seen := engine.runs(t)[0].Traceparent
	assert.Assert(t, strings.HasPrefix(seen, "00-"+traceID) && seen != traceparent, "the engine received %s", seen)
	for _, want := range []string{"gateway POST", "endpoint engine-1", "endpoint resume"} {
		eventually(t, "span "+want, func() bool {
			return strings.Contains(strings.Join(spans.names(traceID), "\n"), want)
		})
	}

	var vars struct {
		Requests map[string]int `json:"gateway.requests"`
		InFlight *int           `json:"gateway.inFlight"`
		Latency  struct {
			Count int
			P50   float64
			P99   float64
			Max   float64
		} `json:"gateway.latencyMillis"`
		Revision int  `json:"control.revision"`
		Dropped  *int `json:"control.eventsDropped"`
		Sent     *int `json:"peer.sentBytes"`
		Resumes  int  `json:"engine.resumes"`
	}
	getJSON(t, "http://"+r.operators+"/debug/vars", &vars)
	assert.Equal(t, vars.Requests["completed"], 1)
	assert.Equal(t, vars.Requests["not-run.bad-request"], 1)
	assert.Equal(t, *vars.InFlight, 0)
	assert.Equal(t, vars.Latency.Count, 2)
	assert.Assert(t, vars.Latency.P50 <= vars.Latency.P99 && vars.Latency.P99 <= vars.Latency.Max && vars.Latency.Max > 0)
	assert.Equal(t, vars.Revision, 3)
	assert.Assert(t, vars.Dropped != nil && vars.Sent != nil)
	assert.Equal(t, vars.Resumes, 1)
	assert.Assert(t, strings.Contains(r.logs.String(), `msg="gateway: Request ended."`))
}

package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/version/routetable"
)

// Guards against a time limit for one write that ends an answer whose next bytes come later than
// that: the end of a stream, or the rest of a large response.
func TestAnswerEndsLongAfterItsLastBytes(t *testing.T) {
	f := newFixture(t, 1)
	large := strings.Repeat("x", 300<<10)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Gentianhead-Attempt-Id", r.Header.Get("Gentianhead-Attempt-Id"))
		w.Header().Set("Gentianhead-Server-Signature", "signed")
		answer := large
		if r.URL.Path == pathStream {
			w.Header().Set("Content-Type", "text/event-stream")
			answer = "id: 1\ndata: x\n\n"
		}
		_, _ = io.WriteString(w, answer)
		_ = http.NewResponseController(w).Flush()
		<-time.After(11 * time.Second)
	}))
	t.Cleanup(engine.Close)
	f.view.Apply(0, []endpoints.Entry{{ID: "slow", Service: "other", Address: engine.Listener.Addr().String(), Slots: 8}}, nil)
	f.balancer.SetView(f.view.View())
	targets := []routetable.Target{{Service: "other", Weight: 1}}
	var routes []routetable.Route
	for prefix, kind := range map[string]routetable.Kind{pathStream: routetable.Stream, pathSafe: routetable.AtMostOnce} {
		routes = append(routes, routetable.Route{Name: prefix, Host: "a.example", Prefix: prefix, Kind: kind, Targets: targets, Timeout: 20 * time.Second, TargetLatency: 15 * time.Second, MaxAttempts: 1})
	}
	table, err := routetable.New(routetable.Spec{Version: 2, Routes: routes, Services: []routetable.Service{{Name: "other"}}})
	assert.NilError(t, err)
	f.state.Table = table
	f.balancer.SetTable(table)
	for _, path := range []string{pathStream, pathSafe} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			request, err := http.NewRequest(http.MethodPost, f.url+path, nil)
			assert.NilError(t, err)
			request.Host = "a.example"
			request.Header.Set("Gentianhead-Attempt-Id", "late-"+fmt.Sprint(len(path)))
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			assert.Check(t, err == nil, "status %d, %d bytes, then %v", response.StatusCode, len(body), err)
		})
	}
}

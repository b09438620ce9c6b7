package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// caller caches the router addresses from /v1/entry until they expire.
type caller struct {
	fleet  *fleet
	chat   string
	client *http.Client

	addresses []string
	expires   time.Time
}

// address returns the first cached address; it fetches new ones after they expired.
func (c *caller) address(t *testing.T) string {
	if time.Now().After(c.expires) {
		c.fetchEntry(t)
	}
	return c.addresses[0]
}

func (c *caller) fetchEntry(t *testing.T) {
	for _, r := range slices.Backward(c.fleet.routers) {
		requestedAt := time.Now()
		answer := r.send(t.Context(), http.MethodGet, "/v1/entry?chat="+c.chat, "")
		if answer.err != nil {
			continue
		}
		var entry struct {
			Addresses   []string
			KeepSeconds float64
		}
		assert.NilError(t, json.Unmarshal(answer.body, &entry))
		c.addresses = entry.Addresses
		c.expires = requestedAt.Add(time.Duration(entry.KeepSeconds * float64(time.Second)))
		return
	}
	t.Error("no router responded")
}

// Guards against a stop that cuts off requests of callers with cached addresses
// and kept-alive connections.
func TestStopUnderStreamingLoad(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 1, "-tokens", "6", "-token-delay", "20ms")
	leaving := f.routers[0]
	var stopping atomic.Bool
	var responses, fromLeaving, afterSignal atomic.Int64
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var wg sync.WaitGroup
	for i := range 24 {
		c := &caller{fleet: f, chat: fmt.Sprintf("chat-%d", i), client: &http.Client{Transport: &http.Transport{}}}
		stream := i%3 != 0
		wg.Go(func() {
			defer c.client.CloseIdleConnections()
			for ctx.Err() == nil {
				address := c.address(t)
				got := sendTo(t.Context(), c.client, address, http.MethodPost, chatPath, chatBody(stream))
				if !got.isWholeChat(6, stream) {
					t.Errorf("%s: incomplete response from %s: status %d, error %v, body %s", c.chat, address, got.status, got.err, got.body)
					return
				}
				responses.Add(1)
				if address == leaving.callers {
					fromLeaving.Add(1)
					if stopping.Load() {
						afterSignal.Add(1)
					}
				}
			}
		})
	}
	eventually(t, "load on the router that will leave", func() bool { return fromLeaving.Load() > 20 || t.Failed() })
	stopping.Store(true)
	leaving.signal(syscall.SIGTERM)
	assert.Equal(t, leaving.exitCode(t), 0)
	before := responses.Load()
	eventually(t, "load on the router that stays", func() bool { return responses.Load() > before+50 || t.Failed() })
	stop()
	wg.Wait()
	assert.Assert(t, afterSignal.Load() > 0, "the leaving router served nothing after the signal")
	t.Logf("%d responses, %d from the leaving router, %d of them after the signal", responses.Load(), fromLeaving.Load(), afterSignal.Load())
}

// Guards against /v1/entry responses that list a leaving router, and against
// refusing requests on its kept-alive connections.
func TestStopEntryOmitsRouter(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 1)
	leaving, staying := f.routers[0], f.routers[1]
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	first := sendTo(t.Context(), client, leaving.callers, http.MethodGet, "/v1/services/s/price", "")
	assert.Equal(t, first.status, http.StatusOK)

	leaving.signal(syscall.SIGTERM)
	eventually(t, "readyz returns 503", func() bool {
		return leaving.send(t.Context(), http.MethodGet, "/readyz", "").status == http.StatusServiceUnavailable
	})
	eventually(t, "the other router omits it from entry responses", func() bool {
		for i := range 20 {
			answer := staying.send(t.Context(), http.MethodGet, fmt.Sprintf("/v1/entry?chat=%d", i), "")
			if strings.Contains(string(answer.body), leaving.callers) {
				return false
			}
		}
		return true
	})
	own := leaving.send(t.Context(), http.MethodGet, "/v1/entry?chat=1", "")
	assert.Assert(t, !strings.Contains(string(own.body), leaving.callers), string(own.body))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+leaving.callers+"/v1/services/s/price", nil)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+accountToken)
	served, err := client.Do(request)
	assert.NilError(t, err)
	served.Body.Close()
	assert.Equal(t, served.StatusCode, http.StatusOK)
	assert.Assert(t, served.Close, "the connection stays open")
	assert.Equal(t, leaving.exitCode(t), 0)
}

// startSlowStream starts a long stream and returns a channel with its response.
func startSlowStream(t *testing.T, f *fleet, r *router) <-chan answer {
	t.Helper()
	answers := make(chan answer, 1)
	go func() { answers <- r.send(t.Context(), http.MethodPost, chatPath, chatBody(true)) }()
	eventually(t, "the engine runs the chat", func() bool { return f.engines[0].inFlight(t) == 1 })
	return answers
}

// Guards against ending a stream like a complete one, or leaving the engine
// running, when the grace time is over.
func TestStopGraceExceeded(t *testing.T) {
	t.Parallel()
	f := &fleet{platform: startStandin(t, "platform")}
	f.routers = []*router{startRouter(t, "router-1", f.platform.url(), routerOptions{extra: "limits: {bodyBytes: 1048576}\n", shutdown: "{announce: 100ms, entryLife: 100ms, grace: 500ms}"})}
	f.engines = []*standin{startStandin(t, "engine", "-name", "engine-1", "-tokens", "100000", "-token-delay", "5ms")}
	f.routers[0].awaitReady(t)
	f.routers[0].apply(t, "kind: model\nname: m\nmodel: {}\n---\nkind: client-account\nname: a\nclientAccount: {tokenSha256: "+accountDigest+"}\n"+
		fmt.Sprintf("---\nkind: endpoint\nname: engine-1\nendpoint: {url: %q, zone: zone-1, models: [m]}\n", f.engines[0].url()))
	answers := startSlowStream(t, f, f.routers[0])
	f.routers[0].signal(syscall.SIGTERM)
	got := <-answers
	assert.Assert(t, got.err != nil, "the cut-off stream ended without an error")
	assert.Assert(t, strings.Contains(string(got.body), `"code":"stopping"`), "the stream has no stopping error event")
	assert.Equal(t, f.routers[0].exitCode(t), 1)
	assert.Assert(t, strings.Contains(f.routers[0].logs.String(), "Requests are cut off."))
	eventually(t, "the engine cancels the chat", func() bool { return f.engines[0].cancelled(t) == 1 })
}

// Guards against a second signal that has no effect, or ends streams without an error event.
func TestStopSecondSignal(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1, "-tokens", "100000", "-token-delay", "5ms")
	answers := startSlowStream(t, f, f.routers[0])
	f.routers[0].signal(syscall.SIGTERM)
	eventually(t, "the router is leaving", func() bool { return strings.Contains(f.routers[0].logs.String(), "Leaving.") })
	f.routers[0].signal(syscall.SIGTERM)
	got := <-answers
	assert.Assert(t, strings.Contains(string(got.body), `"code":"stopping"`), "the stream has no stopping error event")
	assert.Equal(t, f.routers[0].exitCode(t), 1)
}

// Guards against a signal during startup that is ignored or reported as a failure.
func TestStopDuringStart(t *testing.T) {
	t.Parallel()
	platform := startStandin(t, "platform")
	for _, delay := range []time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond} {
		r := startRouter(t, "router-1", platform.url(), routerOptions{})
		<-time.After(delay)
		r.signal(syscall.SIGTERM)
		code := r.exitCode(t)
		// Until the process handles signals, SIGTERM kills it; no port is open then.
		isEarly := code == -1 && !strings.Contains(r.logs.String(), "Serving.")
		assert.Assert(t, code == 0 || isEarly, "after %v: exit code %d", delay, code)
	}
}

// Guards against a stop that hangs or cuts off streams without the platform and peers.
func TestStopWithoutPlatformAndPeers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 1, "-tokens", "200", "-token-delay", "20ms")
	answers := startSlowStream(t, f, f.routers[0])
	f.platform.signal(syscall.SIGKILL)
	f.routers[1].signal(syscall.SIGSTOP)
	f.routers[0].signal(syscall.SIGTERM)
	got := <-answers
	assert.Assert(t, got.isWholeChat(200, true), "%v", got.err)
	assert.Equal(t, f.routers[0].exitCode(t), 0)
}

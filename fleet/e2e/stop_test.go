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

// caller keeps entry answers for as long as they may be kept, as callers should.
type caller struct {
	fleet  *fleet
	chat   string
	client *http.Client

	addresses []string
	expires   time.Time
}

// address returns the first address of a kept entry answer, or asks for one.
func (c *caller) address(t *testing.T) string {
	if time.Now().After(c.expires) {
		c.askEntry(t)
	}
	return c.addresses[0]
}

func (c *caller) askEntry(t *testing.T) {
	for _, r := range slices.Backward(c.fleet.routers) {
		asked := time.Now()
		answer := r.ask(t.Context(), http.MethodGet, "/v1/entry?chat="+c.chat, "")
		if answer.err != nil {
			continue
		}
		var entry struct {
			Addresses   []string
			KeepSeconds float64
		}
		assert.NilError(t, json.Unmarshal(answer.body, &entry))
		c.addresses = entry.Addresses
		c.expires = asked.Add(time.Duration(entry.KeepSeconds * float64(time.Second)))
		return
	}
	t.Error("no router answers")
}

// TestStopUnderStreamingLoadCutsOffNothing stops a router while callers that
// keep entry answers stream from it, and while connections are kept alive.
func TestStopUnderStreamingLoadCutsOffNothing(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 1, "-tokens", "6", "-token-delay", "20ms")
	leaving := f.routers[0]
	var stopping atomic.Bool
	var asked, askedLeaving, afterSignal atomic.Int64
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
				got := askAt(t.Context(), c.client, address, http.MethodPost, chatPath, chatText(stream))
				if !got.isWholeChat(6, stream) {
					t.Errorf("%s of %s: %d %v %s", c.chat, address, got.status, got.err, got.body)
					return
				}
				asked.Add(1)
				if address == leaving.callers {
					askedLeaving.Add(1)
					if stopping.Load() {
						afterSignal.Add(1)
					}
				}
			}
		})
	}
	eventually(t, "load on the router that will leave", func() bool { return askedLeaving.Load() > 20 || t.Failed() })
	stopping.Store(true)
	leaving.signal(syscall.SIGTERM)
	assert.Equal(t, leaving.exitCode(t), 0)
	before := asked.Load()
	eventually(t, "load on the router that stays", func() bool { return asked.Load() > before+50 || t.Failed() })
	stop()
	wg.Wait()
	assert.Assert(t, afterSignal.Load() > 0, "the leaving router served nothing after the signal")
	t.Logf("%d answers, %d from the leaving router, %d of them after the signal", asked.Load(), askedLeaving.Load(), afterSignal.Load())
}

func TestLeavingRouterIsNamedNowhereAndStillServes(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 1)
	leaving, staying := f.routers[0], f.routers[1]
	kept := &http.Client{Transport: &http.Transport{}}
	defer kept.CloseIdleConnections()
	first := askAt(t.Context(), kept, leaving.callers, http.MethodGet, "/v1/services/s/price", "")
	assert.Equal(t, first.status, http.StatusOK)

	leaving.signal(syscall.SIGTERM)
	eventually(t, "readyz says 503", func() bool {
		return leaving.ask(t.Context(), http.MethodGet, "/readyz", "").status == http.StatusServiceUnavailable
	})
	eventually(t, "the other router does not name it", func() bool {
		for i := range 20 {
			answer := staying.ask(t.Context(), http.MethodGet, fmt.Sprintf("/v1/entry?chat=%d", i), "")
			if strings.Contains(string(answer.body), leaving.callers) {
				return false
			}
		}
		return true
	})
	own := leaving.ask(t.Context(), http.MethodGet, "/v1/entry?chat=1", "")
	assert.Assert(t, !strings.Contains(string(own.body), leaving.callers), string(own.body))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+leaving.callers+"/v1/services/s/price", nil)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+accountToken)
	served, err := kept.Do(request)
	assert.NilError(t, err)
	served.Body.Close()
	assert.Equal(t, served.StatusCode, http.StatusOK)
	assert.Assert(t, served.Close, "the connection is kept")
	assert.Equal(t, leaving.exitCode(t), 0)
}

// slowStream starts a stream that takes long and returns its answer.
func slowStream(t *testing.T, f *fleet, r *router) <-chan answer {
	t.Helper()
	answers := make(chan answer, 1)
	go func() { answers <- r.ask(t.Context(), http.MethodPost, chatPath, chatText(true)) }()
	eventually(t, "the engine works", func() bool { return f.engines[0].inFlight(t) == 1 })
	return answers
}

func TestStreamBeyondTheGraceTimeEndsWithAProblem(t *testing.T) {
	t.Parallel()
	f := &fleet{platform: startStandin(t, "platform")}
	f.routers = []*router{startRouter(t, "router-1", f.platform.url(), routerOptions{extra: "limits: {bodyBytes: 1048576}\n", shutdown: "{announce: 100ms, entryLife: 100ms, grace: 500ms}"})}
	f.engines = []*standin{startStandin(t, "engine", "-name", "engine-1", "-tokens", "100000", "-token-delay", "5ms")}
	f.routers[0].awaitReady(t)
	f.routers[0].apply(t, "kind: model\nname: m\nmodel: {}\n---\nkind: client-account\nname: a\nclientAccount: {tokenSha256: "+accountDigest+"}\n"+
		fmt.Sprintf("---\nkind: endpoint\nname: engine-1\nendpoint: {url: %q, zone: zone-1, models: [m]}\n", f.engines[0].url()))
	answers := slowStream(t, f, f.routers[0])
	f.routers[0].signal(syscall.SIGTERM)
	got := <-answers
	assert.Assert(t, got.err != nil, "passed off as whole")
	assert.Assert(t, strings.Contains(string(got.body), `"code":"stopping"`), "no clear end")
	assert.Equal(t, f.routers[0].exitCode(t), 1)
	assert.Assert(t, strings.Contains(f.routers[0].logs.String(), "Requests are cut off."))
	eventually(t, "the engine is told", func() bool { return f.engines[0].cancelled(t) == 1 })
}

func TestSecondSignalEndsAtOnceWithAProblem(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1, "-tokens", "100000", "-token-delay", "5ms")
	answers := slowStream(t, f, f.routers[0])
	f.routers[0].signal(syscall.SIGTERM)
	eventually(t, "the router leaves", func() bool { return strings.Contains(f.routers[0].logs.String(), "Leaving.") })
	f.routers[0].signal(syscall.SIGTERM)
	got := <-answers
	assert.Assert(t, strings.Contains(string(got.body), `"code":"stopping"`), "no clear end")
	assert.Equal(t, f.routers[0].exitCode(t), 1)
}

func TestStopDuringStart(t *testing.T) {
	t.Parallel()
	platform := startStandin(t, "platform")
	for _, delay := range []time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond} {
		r := startRouter(t, "router-1", platform.url(), routerOptions{})
		<-time.After(delay)
		r.signal(syscall.SIGTERM)
		code := r.exitCode(t)
		// Before the process handles signals, the runtime ends it; no port is open then.
		isEarly := code == -1 && !strings.Contains(r.logs.String(), "Serving.")
		assert.Assert(t, code == 0 || isEarly, "after %v: exit code %d", delay, code)
	}
}

func TestStopWhilePlatformAndPeersAreDown(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 1, "-tokens", "200", "-token-delay", "20ms")
	answers := slowStream(t, f, f.routers[0])
	f.platform.signal(syscall.SIGKILL)
	f.routers[1].signal(syscall.SIGSTOP)
	f.routers[0].signal(syscall.SIGTERM)
	got := <-answers
	assert.Assert(t, got.isWholeChat(200, true), "%v", got.err)
	assert.Equal(t, f.routers[0].exitCode(t), 0)
}

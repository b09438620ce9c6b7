package e2e

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/fleet/connection/instances"
	"gentianhead/platform"
)

// Limits from the project's targets, and the list's delay.
const (
	// maxWithdrawalTime bounds the time from a withdrawal to the last new request.
	maxWithdrawalTime = 2 * time.Second
	// maxIsolationTime bounds how long a router without contact serves requests.
	maxIsolationTime = 10 * time.Second
	// listDelay is how late the stand-in's instance list shows a change.
	listDelay = 2 * time.Second
	// maxPeerBytesPerSecond bounds the bytes per second that a router sends to its peers.
	maxPeerBytesPerSecond = 3500
)

// traffic sends chats to all routers continuously until it is stopped.
type traffic struct {
	stop chan struct{}
	wg   sync.WaitGroup
}

func (f *fleet) startTraffic(t *testing.T) *traffic {
	t.Helper()
	traffic := &traffic{stop: make(chan struct{})}
	for _, r := range f.routers {
		traffic.wg.Add(1)
		go func() {
			defer traffic.wg.Done()
			for i := 0; ; i++ {
				select {
				case <-traffic.stop:
					return
				case <-time.After(10 * time.Millisecond):
					r.send(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(false), "X-Chat-Id", fmt.Sprintf("%s-%d", r.instance, i))
				}
			}
		}()
	}
	return traffic
}

func (tr *traffic) end() {
	close(tr.stop)
	tr.wg.Wait()
}

// waitIdle waits until the engine received no new request for quiet, and returns
// the time from since to the last request.
func waitIdle(t *testing.T, engine *standin, since time.Time, quiet time.Duration) time.Duration {
	t.Helper()
	count, last := len(engine.runs(t)), since
	for deadline := time.Now().Add(waitTimeout); time.Since(last) < quiet; {
		assert.Assert(t, time.Now().Before(deadline), "the engine still receives requests after %v", time.Since(since))
		<-time.After(10 * time.Millisecond)
		if now := len(engine.runs(t)); now != count {
			count, last = now, time.Now()
		}
	}
	return last.Sub(since)
}

// register adds an endpoint to the platform's instance list.
func (f *fleet) register(t *testing.T, name, url string, leaving bool) {
	t.Helper()
	entry := instances.Instance{Name: name, Zone: "zone-1", Role: instances.RoleEndpoint, URL: url, Leaving: leaving}
	assert.NilError(t, f.instances().Register(t.Context(), entry))
}

func (f *fleet) deregister(t *testing.T, name string) {
	t.Helper()
	assert.NilError(t, f.instances().Remove(t.Context(), name))
}

func (f *fleet) instances() *instances.List {
	return instances.NewList(platform.NewStore(f.platform.url()).Table(instances.TableName))
}

func (f *fleet) withdrawByOperator(t *testing.T, name, url string) {
	t.Helper()
	output, err := f.routers[0].ctl(t, fmt.Sprintf("kind: endpoint\nname: %s\nendpoint: {url: %q, zone: zone-1, models: [m], withdrawn: true}\n", name, url), "apply")
	assert.NilError(t, err, output)
}

// Guards against routers that send new requests to an endpoint withdrawn by an
// operator or by the platform's list.
func TestEndpointWithdrawn(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 7} {
		for _, way := range []struct {
			name     string
			bound    time.Duration
			withdraw func(t *testing.T, f *fleet, name string, engine *standin)
		}{
			{"operator", maxWithdrawalTime, func(t *testing.T, f *fleet, name string, e *standin) { f.withdrawByOperator(t, name, e.url()) }},
			{"list, leaving", listDelay + maxWithdrawalTime, func(t *testing.T, f *fleet, name string, e *standin) { f.register(t, name, e.url(), true) }},
			{"list, gone", listDelay + maxWithdrawalTime, func(t *testing.T, f *fleet, name string, _ *standin) { f.deregister(t, name) }},
		} {
			if size == 7 && way.name == "list, gone" {
				continue // Propagates like "list, leaving".
			}
			t.Run(fmt.Sprintf("%d routers, %s", size, way.name), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, size, 3)
				for i, engine := range f.engines {
					f.register(t, fmt.Sprintf("engine-%d", i+1), engine.url(), false)
				}
				traffic := f.startTraffic(t)
				defer traffic.end()
				eventually(t, "the engine receives requests", func() bool { return len(f.engines[0].runs(t)) > 10 })
				<-time.After(listDelay + time.Second)
				since := time.Now()
				way.withdraw(t, f, "engine-1", f.engines[0])
				took := waitIdle(t, f.engines[0], since, 3*time.Second)
				t.Logf("last new request %v after the withdrawal", took)
				assert.Assert(t, took <= way.bound, "%v", took)
			})
		}
	}
}

// Guards against routers that keep sending requests to an endpoint that another
// router found withdrawn.
func TestEndpointRefusalReportedToPeers(t *testing.T) {
	for _, size := range []int{3, 7} {
		f := startFleet(t, size, 2)
		sendNewChat := func() int {
			return f.routers[0].send(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(false), "X-Chat-Id", fmt.Sprint(time.Now().UnixNano())).status
		}
		eventually(t, "the router serves chats", func() bool { return sendNewChat() == http.StatusOK })
		since := time.Now()
		f.engines[0].setFaults(t, map[string]any{"withdrawn": true})
		eventually(t, "the endpoint refuses a request of one router", func() bool {
			sendNewChat()
			return f.routers[0].withdrawnCount(t) > 0
		})
		eventually(t, "all routers consider the endpoint withdrawn", func() bool {
			for _, r := range f.routers {
				if r.withdrawnCount(t) == 0 {
					return false
				}
			}
			return true
		})
		took := time.Since(since)
		t.Logf("%d routers: all consider the endpoint withdrawn after %v", size, took)
		assert.Assert(t, took <= maxWithdrawalTime, "%v", took)
		// The endpoint accepts requests again, but routers send none until the withdrawn
		// mark expires.
		f.engines[0].setFaults(t, map[string]any{})
		before := len(f.engines[0].runs(t))
		for _, r := range f.routers {
			for i := range 20 {
				answer := r.send(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(false), "X-Chat-Id", fmt.Sprint(i))
				assert.Equal(t, answer.status, http.StatusOK, string(answer.body))
			}
		}
		assert.Equal(t, len(f.engines[0].runs(t)), before)
	}
}

func (r *router) withdrawnCount(t *testing.T) int {
	t.Helper()
	return r.vars(t).Withdrawn
}

// Guards against a router that resumes with an old view and sends requests to an
// endpoint withdrawn during the pause.
func TestEndpointWithdrawnDuringPause(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 2)
	paused := f.routers[2]
	traffic := f.startTraffic(t)
	defer traffic.end()
	eventually(t, "the engine receives requests", func() bool { return len(f.engines[0].runs(t)) > 10 })

	paused.signal(syscall.SIGSTOP)
	since := time.Now()
	f.withdrawByOperator(t, "engine-1", f.engines[0].url())
	took := waitIdle(t, f.engines[0], since, 5*time.Second)
	assert.Assert(t, took <= maxWithdrawalTime, "%v", took)
	before := len(f.engines[0].runs(t))
	paused.signal(syscall.SIGCONT)
	eventually(t, "the router serves again", func() bool {
		answer := paused.send(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(false))
		return answer.status == http.StatusOK
	})
	assert.Equal(t, len(f.engines[0].runs(t)), before, "requests after the pause")
}

// Guards against a router that keeps serving with an old view after it lost contact
// with the store and its peers.
func TestRouterIsolated(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 1)
	last := f.routers[2]
	f.platform.setFaults(t, map[string]any{"down": true})
	for _, r := range f.routers[:2] {
		r.signal(syscall.SIGSTOP)
	}
	since := time.Now()
	// It may refuse earlier if a paused router observes the engines' load.
	eventually(t, "the router refuses requests as isolated", func() bool {
		refused := last.send(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(false))
		if refused.status == http.StatusOK {
			return false
		}
		assert.Equal(t, refused.outcome(), "not-run", string(refused.body))
		assert.Assert(t, refused.header.Get("Retry-After") != "")
		return bytes.Contains(refused.body, []byte(`"isolated"`))
	})
	assert.Assert(t, time.Since(since) <= maxIsolationTime, "%v", time.Since(since))
	t.Logf("refused requests as isolated %v after it lost contact", time.Since(since))

	for _, r := range f.routers[:2] {
		r.signal(syscall.SIGCONT)
	}
	// With its peers back it serves requests although the store is still down.
	eventually(t, "the router serves again", func() bool {
		return last.send(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(false)).status == http.StatusOK
	})
}

// Guards against excessive traffic between routers.
func TestPeerTrafficSevenRouters(t *testing.T) {
	f := startFleet(t, 7, 1)
	before := make([]int64, len(f.routers))
	for i, r := range f.routers {
		before[i] = r.vars(t).SentBytes
	}
	began := time.Now()
	<-time.After(10 * time.Second)
	for i, r := range f.routers {
		rate := float64(r.vars(t).SentBytes-before[i]) / time.Since(began).Seconds()
		t.Logf("%s sends %.0f B/s to its peers, counted at the socket", r.instance, rate)
		assert.Assert(t, rate <= maxPeerBytesPerSecond)
	}
}

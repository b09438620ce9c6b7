package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tally counts completed responses, and refusals by problem code.
type tally struct {
	mu        sync.Mutex
	completed int
	codes     map[string]int
	// withoutRetryAfter counts refusals without a Retry-After of at least one second.
	withoutRetryAfter int
}

func (c *tally) add(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.err == nil && a.status == http.StatusOK {
		c.completed++
		return
	}
	var problem struct{ Code string }
	_ = json.Unmarshal(a.body, &problem)
	c.codes[problem.Code]++
	seconds, err := strconv.Atoi(a.header.Get("Retry-After"))
	if a.err == nil && (err != nil || seconds < 1) {
		c.withoutRetryAfter++
	}
}

// sendLoad sends requests to the routers in turn from concurrent callers, each the
// given number of times, without a delay after a refusal.
func (f *fleet) sendLoad(t *testing.T, callers, times int, routers []*router, counts *tally) {
	t.Helper()
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := range times {
				r := routers[(caller+i)%len(routers)]
				chat := fmt.Sprintf("chat-%d", caller)
				counts.add(r.send(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(false), "X-Chat-Id", chat))
			}
		})
	}
	wg.Wait()
}

// maxInFlight returns the peak number of requests in flight on each engine, and the sum.
func (f *fleet) maxInFlight(t *testing.T) (loads []int, sum int) {
	t.Helper()
	for _, e := range f.engines {
		var report struct{ MaxInFlight int }
		getJSON(t, e.url()+"/load", &report)
		loads = append(loads, report.MaxInFlight)
		sum += report.MaxInFlight
	}
	return loads, sum
}

// assertBound checks the engines' peak loads. At most callers requests were in
// flight at once, hence the mean load never exceeded callers/engines. The router
// allows bound times the mean, plus 1.
func (f *fleet) assertBound(t *testing.T, callers int) {
	t.Helper()
	loads, _ := f.maxInFlight(t)
	const bound = 1.25
	limit := bound*float64(callers)/float64(len(f.engines)) + 1
	for _, load := range loads {
		assert.Assert(t, float64(load) <= limit, "loads %v, limit %v", loads, limit)
	}
}

func newTally() *tally {
	return &tally{codes: make(map[string]int)}
}

// Guards against engines loaded beyond the load bound.
func TestLoadBound(t *testing.T) {
	f := startFleet(t, 3, 6, "-token-delay", "3ms")
	counts := newTally()
	const callers = 48
	f.sendLoad(t, callers, 20, f.routers, counts)
	f.assertBound(t, callers)
	assert.Equal(t, counts.withoutRetryAfter, 0)
	loads, _ := f.maxInFlight(t)
	t.Logf("completed %d, refused %v, highest loads %v", counts.completed, counts.codes, loads)
	assert.Equal(t, counts.completed, callers*20, "%v", counts.codes)
}

// Guards against exceeding the load bound when the router that observes the
// engines' load is killed.
func TestLoadBoundObserverKilled(t *testing.T) {
	f := startFleet(t, 4, 6, "-token-delay", "3ms")
	counts := newTally()
	const callers = 48
	var wg sync.WaitGroup
	// One of the three routers observes the engines. They are killed in turn, each
	// restarted before the next.
	wg.Go(func() { f.sendLoad(t, callers, 150, f.routers[3:], counts) })
	for _, r := range f.routers[:3] {
		r.signal(syscall.SIGKILL)
		r.exitCode(t)
		r.restart(t)
		r.awaitReady(t)
	}
	wg.Wait()
	f.assertBound(t, callers)
	assert.Equal(t, counts.withoutRetryAfter, 0)
	loads, _ := f.maxInFlight(t)
	t.Logf("completed %d, refused %v, highest loads %v", counts.completed, counts.codes, loads)
	assert.Assert(t, counts.completed > 0)
	eventually(t, "chats are served again", func() bool {
		return f.routers[3].send(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(false)).status == http.StatusOK
	})
}

// Guards against a client account that exceeds its rate limit or degrades the others.
func TestAccountLimitDuringSurge(t *testing.T) {
	f := startFleet(t, 3, 3, "-token-delay", "2ms")
	const limit = 20
	f.routers[0].apply(t, fmt.Sprintf("kind: client-account\nname: b\nclientAccount: {tokenSha256: %s, requestsPerSecond: %d}\n",
		"2af30f71b3458e856b9f9246406f417d39ee299a1bb2ef2e38d852dfdb573838", limit)) // SHA-256 of surge-account
	var surge, others tally
	surge.codes, others.codes = map[string]int{}, map[string]int{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	started := time.Now()
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			for ctx.Err() == nil {
				a := f.routers[i%3].send(ctx, http.MethodPost, "/v1/chat/completions", chatBody(false),
					"Authorization", "Bearer surge-account", "X-Chat-Id", strconv.Itoa(i))
				if ctx.Err() == nil {
					surge.add(a)
				}
			}
		})
	}
	f.sendLoad(t, 6, 40, f.routers, &others)
	cancel()
	wg.Wait()
	elapsed := time.Since(started).Seconds()
	t.Logf("surge: completed %d in %.1f s, refused %v; others: completed %d, refused %v",
		surge.completed, elapsed, surge.codes, others.completed, others.codes)
	assert.Equal(t, others.completed, 6*40, "%v", others.codes)
	assert.Assert(t, surge.codes["account-limit"] > 0, "%v", surge.codes)
	assert.Equal(t, surge.withoutRetryAfter, 0)
	// Each router allows one burst, of at most five requests plus two seconds of
	// its share.
	allowed := limit*elapsed + 3*5 + 2*limit
	assert.Assert(t, float64(surge.completed) <= allowed, "%d completed, %v allowed", surge.completed, allowed)
}

// Guards against failing a request that another engine could run.
func TestRequestNotRunRetried(t *testing.T) {
	f := startFleet(t, 2, 3)
	f.engines[0].setFaults(t, map[string]any{"withdrawn": true})
	f.engines[1].signal(syscall.SIGKILL)
	f.engines[1].exitCode(t)
	for i := range 4 {
		a := f.routers[i%2].send(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(false), "X-Chat-Id", strconv.Itoa(i))
		assert.Equal(t, a.status, http.StatusOK, string(a.body))
	}
	assert.Equal(t, len(f.engines[2].runs(t)), 4)
}

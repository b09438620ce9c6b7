package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"gentianhead/core/matrix"
)

// claimFleet is a fleet with one service whose endpoint checks fencing numbers
// and one whose endpoint ignores them.
type claimFleet struct {
	*fleet
	ignoring *standin
}

func startClaimFleet(t *testing.T, routers int) *claimFleet {
	t.Helper()
	f := &claimFleet{fleet: startFleet(t, routers, 0), ignoring: startStandin(t, "engine", "-name", "ignoring")}
	f.routers[0].apply(t, "kind: service\nname: ignoring\nservice: {nonIdempotent: [/once]}\n"+
		fmt.Sprintf("---\nkind: endpoint\nname: ignoring\nendpoint: {url: %q, zone: zone-1, services: [ignoring]}\n", f.ignoring.url()))
	return f
}

// target is one of the two services.
type target struct {
	name     string
	endpoint *standin
	path     string
}

// key makes keys unique per service: a key identifies one request of the account,
// whatever the service.
func (to target) key(key string) string {
	return to.endpoint.address + "-" + key
}

func (f *claimFleet) targets() []target {
	return []target{
		{"endpoint checks fencing", f.service, "/v1/services/s/once"},
		{"endpoint ignores fencing", f.ignoring, "/v1/services/ignoring/once"},
	}
}

// sendOnce sends a non-idempotent call.
func (r *router) sendOnce(t *testing.T, to target, key string, headers ...string) answer {
	t.Helper()
	key = to.key(key)
	return r.send(t.Context(), http.MethodPost, to.path, `{"order":1}`, append(headers, "Idempotency-Key", key)...)
}

func (r *router) retry(t *testing.T, to target, key string, headers ...string) answer {
	t.Helper()
	return r.sendOnce(t, to, key, append(headers, "Idempotency-Repeat", "true")...)
}

func (a answer) code() string {
	var problem struct{ Code string }
	_ = json.Unmarshal(a.body, &problem)
	return problem.Code
}

// isFinal reports whether retries of the key can't change the outcome.
func (a answer) isFinal() bool {
	return a.outcome() == "completed" || (a.outcome() != "" && a.header.Get("Retry-After") == "")
}

func runsOf(t *testing.T, to target, key string) int {
	t.Helper()
	count := 0
	for _, run := range to.endpoint.runs(t) {
		if run.Key == to.key(key) {
			count++
		}
	}
	return count
}

type platformCounters struct{ Begun, Commits, Reads int }

func (f *fleet) counters(t *testing.T) platformCounters {
	t.Helper()
	var counters platformCounters
	getJSON(t, f.platform.url()+"/counters", &counters)
	return counters
}

// Guards against running a repeated key again instead of returning the recorded
// response, and against accepting a key for another body.
func TestClaimRepeatedKey(t *testing.T) {
	f := startClaimFleet(t, 2)
	for _, to := range f.targets() {
		first := f.routers[0].sendOnce(t, to, "key-1")
		assert.Equal(t, first.outcome(), "completed", string(first.body))
		for _, r := range f.routers {
			retry := r.retry(t, to, "key-1")
			assert.Equal(t, string(retry.body), string(first.body))
			assert.Equal(t, retry.status, first.status)
		}
		assert.Equal(t, runsOf(t, to, "key-1"), 1)

		other := f.routers[1].send(t.Context(), http.MethodPost, to.path, `{"order":2}`, "Idempotency-Key", to.key("key-1"))
		assert.Equal(t, other.code(), "idempotency-key-reused")
		assert.Equal(t, other.outcome(), "not-run")
	}
}

// Guards against returning a recorded response to a call of another service.
func TestClaimKeyOfAnotherService(t *testing.T) {
	f := startClaimFleet(t, 1)
	first := f.routers[0].send(t.Context(), http.MethodPost, "/v1/services/s/once", "{}", "Idempotency-Key", "shared")
	assert.Equal(t, first.outcome(), "completed", string(first.body))
	second := f.routers[0].send(t.Context(), http.MethodPost, "/v1/services/ignoring/once", "{}", "Idempotency-Key", "shared")
	assert.Equal(t, second.code(), "idempotency-key-reused", string(second.body))
	assert.Equal(t, len(f.ignoring.runs(t)), 0)
}

// Guards against running a claimed call without the store, and against reporting
// a repeated key as not run when an earlier attempt may have run.
func TestClaimStoreDown(t *testing.T) {
	f := startClaimFleet(t, 1)
	to := f.targets()[1]
	f.platform.setFaults(t, map[string]any{"down": true})
	refused := f.routers[0].sendOnce(t, to, "key-1")
	assert.Equal(t, refused.outcome(), "not-run", string(refused.body))
	assert.Equal(t, refused.code(), "store-down")
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	repeated := f.routers[0].retry(t, to, "key-1")
	assert.Equal(t, repeated.outcome(), "unknown", string(repeated.body))
	unauthenticated := f.routers[0].retry(t, to, "key-1", "Authorization", "Bearer wrong")
	assert.Equal(t, unauthenticated.outcome(), "unknown", string(unauthenticated.body))
	other := f.routers[0].send(t.Context(), http.MethodGet, "/v1/services/s/price", "")
	assert.Equal(t, other.outcome(), "completed", string(other.body))

	f.platform.setFaults(t, map[string]any{})
	f.awaitFinal(t, 0, to, "key-1", "completed")
	assert.Equal(t, runsOf(t, to, "key-1"), 1)
}

// awaitFinal retries until the response is final, and checks its outcome.
func (f *claimFleet) awaitFinal(t *testing.T, router int, to target, key string, allowed ...string) answer {
	t.Helper()
	last := f.retryUntilFinal(t, f.routers[router], to, key)
	for _, outcome := range allowed {
		if last.outcome() == outcome {
			return last
		}
	}
	t.Fatalf("%s: outcome %q, allowed %v: %s", key, last.outcome(), allowed, last.body)
	return last
}

func (f *claimFleet) retryUntilFinal(t *testing.T, r *router, to target, key string) answer {
	t.Helper()
	var last answer
	eventually(t, "final response for "+key, func() bool {
		last = r.retry(t, to, key)
		return last.err == nil && last.isFinal()
	})
	return last
}

// Guards against losing a response, or running the call again, when the store fails
// after the call was sent.
func TestClaimStoreDownBeforeRecord(t *testing.T) {
	f := startClaimFleet(t, 2)
	for _, to := range f.targets() {
		to.endpoint.setFaults(t, map[string]any{"holdMillis": 500})
		answers := make(chan answer, 1)
		go func() { answers <- f.routers[0].sendOnce(t, to, "key-1") }()
		eventually(t, "the request runs", func() bool { return runsOf(t, to, "key-1") == 1 })
		f.platform.setFaults(t, map[string]any{"down": true})
		first := <-answers
		assert.Equal(t, first.outcome(), "completed", string(first.body))
		assert.Equal(t, f.routers[0].retry(t, to, "key-1").outcome(), "unknown")
		assert.Equal(t, f.routers[1].retry(t, to, "key-1").outcome(), "unknown")
		f.platform.setFaults(t, map[string]any{})
		last := f.awaitFinal(t, 1, to, "key-1", "completed")
		assert.Equal(t, string(last.body), string(first.body))
		assert.Equal(t, runsOf(t, to, "key-1"), 1)
		to.endpoint.setFaults(t, map[string]any{})
	}
}

// Guards against running a call twice when the store commits but its response is lost.
func TestClaimCommitResponseLost(t *testing.T) {
	f := startClaimFleet(t, 1)
	for _, to := range f.targets() {
		for lost := 1; lost <= 3; lost++ {
			key := fmt.Sprintf("lost-%d", lost)
			f.platform.setFaults(t, map[string]any{"loseAnswers": lost})
			first := f.routers[0].sendOnce(t, to, key)
			assert.Equal(t, first.outcome(), "completed", string(first.body))
			f.awaitFinal(t, 0, to, key, "completed")
			assert.Equal(t, runsOf(t, to, key), 1)
		}
	}
}

// Guards against running a call twice when a commit is applied late.
func TestClaimCommitDelayed(t *testing.T) {
	f := startClaimFleet(t, 2)
	for _, to := range f.targets() {
		for late := 1; late <= 6; late++ {
			key := fmt.Sprintf("late-%d", late)
			f.platform.setFaults(t, map[string]any{"lateCommits": late, "lateMillis": 200})
			first := f.routers[0].sendOnce(t, to, key)
			second := f.routers[1].retry(t, to, key)
			last := f.awaitFinal(t, 1, to, key, "completed", "not-run")
			f.checkOutcomes(t, to, key, first, second, last)
		}
	}
}

// checkOutcomes compares the reported outcomes with the runs at the endpoint.
func (f *claimFleet) checkOutcomes(t *testing.T, to target, key string, answers ...answer) {
	t.Helper()
	runs := runsOf(t, to, key)
	assert.Assert(t, runs <= 1, "%s ran %d times", key, runs)
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		if a.outcome() == "not-run" && a.isFinal() {
			assert.Equal(t, runs, 0, "%s was reported as not-run: %s", key, a.body)
		}
		if a.outcome() == "completed" {
			assert.Equal(t, runs, 1, "%s was reported as completed: %s", key, a.body)
		}
	}
}

// Guards against two routers that run the same key concurrently.
func TestClaimConcurrentRouters(t *testing.T) {
	f := startClaimFleet(t, 2)
	for _, to := range f.targets() {
		for i := range 20 {
			key := fmt.Sprintf("both-%d", i)
			answers := make(chan answer, 4)
			for n := range 4 {
				go func() { answers <- f.routers[n%2].retry(t, to, key) }()
			}
			all := []answer{<-answers, <-answers, <-answers, <-answers}
			all = append(all, f.awaitFinal(t, i%2, to, key, "completed"))
			f.checkOutcomes(t, to, key, all...)
		}
	}
}

// Guards against sending a call again to an endpoint that failed after it may have run it.
func TestClaimEndpointFaults(t *testing.T) {
	f := startClaimFleet(t, 2)
	m := matrix.New(t)
	for _, to := range f.targets() {
		for i, faults := range []map[string]any{
			{"dropAnswers": true},
			{"cutWhole": true},
			{"crossAnswers": true},
			{"refuseConnections": true},
			{"withdrawn": true},
			{"holdMillis": 3000},
		} {
			key := fmt.Sprintf("faulty-%d", i)
			to.endpoint.setFaults(t, faults)
			f.routers[0].sendOnce(t, to, fmt.Sprintf("before-%d", i))
			first := f.routers[0].sendOnce(t, to, key, "X-Deadline-Ms", "1500")
			to.endpoint.setFaults(t, map[string]any{})
			last := f.awaitFinal(t, 1, to, key, "completed", "not-run", "unknown")
			f.checkOutcomes(t, to, key, first, last)
			m.Record(matrix.Cell{Protocol: "claim e2e", Step: to.name, Fault: fmt.Sprint(faults)}, matrix.Held, 1,
				"first "+first.outcome()+", at the end "+last.outcome())
		}
	}
}

// window is a protocol step during which a fault is injected.
type window struct {
	name string
	// open sets the faults that prolong the step and returns a function that
	// reports whether the router has reached it.
	open func(f *claimFleet, t *testing.T, to target, key string) func() bool
}

var windows = []window{
	{"claim write under way", func(f *claimFleet, t *testing.T, _ target, _ string) func() bool {
		f.platform.setFaults(t, map[string]any{"delayCommitMillis": 1000})
		begun := f.counters(t).Begun
		return func() bool { return f.counters(t).Begun > begun }
	}},
	{"claim written, answer under way", func(f *claimFleet, t *testing.T, _ target, _ string) func() bool {
		f.platform.setFaults(t, map[string]any{"holdCommitMillis": 1000})
		commits := f.counters(t).Commits
		return func() bool { return f.counters(t).Commits > commits }
	}},
	{"request at the endpoint", func(_ *claimFleet, t *testing.T, to target, key string) func() bool {
		to.endpoint.setFaults(t, map[string]any{"holdMillis": 1000})
		return func() bool { return runsOf(t, to, key) == 1 }
	}},
	{"answer's write under way", func(f *claimFleet, t *testing.T, to target, key string) func() bool {
		return recordWindow(f, t, to, key, map[string]any{"delayCommitMillis": 1000})
	}},
	{"answer written, answer under way", func(f *claimFleet, t *testing.T, to target, key string) func() bool {
		return recordWindow(f, t, to, key, map[string]any{"holdCommitMillis": 1000})
	}},
}

// recordWindow prolongs the write of the response, which is the second commit.
func recordWindow(f *claimFleet, t *testing.T, to target, key string, faults map[string]any) func() bool {
	to.endpoint.setFaults(t, map[string]any{"holdMillis": 300})
	begun, isSet := f.counters(t).Begun, false
	return func() bool {
		if !isSet && runsOf(t, to, key) == 1 {
			f.platform.setFaults(t, faults)
			isSet = true
		}
		return f.counters(t).Begun >= begun+2
	}
}

// Guards against a second run or a wrong outcome when the router dies in any step.
func TestFaultsClaimRouterKilled(t *testing.T) {
	t.Parallel()
	forEachWindow(t, "killed", func(t *testing.T, f *claimFleet, _ target, _ string) []answer {
		f.routers[0].signal(syscall.SIGKILL)
		<-f.routers[0].done
		f.routers[0].restart(t)
		f.routers[0].awaitReady(t)
		return nil
	})
}

// Guards against a paused router that continues a call after another router
// took over its claim.
func TestFaultsClaimRouterPaused(t *testing.T) {
	t.Parallel()
	forEachWindow(t, "paused past the lease", func(t *testing.T, f *claimFleet, to target, key string) []answer {
		paused := f.routers[0]
		paused.signal(syscall.SIGSTOP)
		f.platform.setFaults(t, map[string]any{})
		to.endpoint.setFaults(t, map[string]any{})
		during := f.routers[1].retry(t, to, key)
		eventually(t, "the paused router is considered dead", func() bool {
			return f.routers[1].vars(t).LiveRouters == 1
		})
		after := f.routers[1].retry(t, to, key)
		paused.signal(syscall.SIGCONT)
		eventually(t, "the router is back", func() bool { return f.routers[1].vars(t).LiveRouters == 2 })
		// It refuses requests as isolated until its membership view is refreshed.
		paused.awaitReady(t)
		return []answer{during, after}
	})
}

// faultFunc injects a fault into router 1 while it processes a key, and returns
// the responses to other callers meanwhile.
type faultFunc func(t *testing.T, f *claimFleet, to target, key string) []answer

// forEachWindow injects a fault into router 1 in every step, and checks the
// responses of both routers.
func forEachWindow(t *testing.T, fault string, inject faultFunc) {
	m := matrix.New(t)
	for kind := range 2 {
		t.Run([]string{"checks fencing", "ignores fencing"}[kind], func(t *testing.T) {
			t.Parallel()
			f := startClaimFleet(t, 2)
			to := f.targets()[kind]
			for i, w := range windows {
				last := f.injectInWindow(t, to, w, fmt.Sprintf("window-%d", i), inject)
				m.Record(matrix.Cell{Protocol: "claim e2e", Step: w.name, Fault: fault}, matrix.Held, 1,
					to.name+", at the end "+last.outcome())
			}
		})
	}
}

func (f *claimFleet) injectInWindow(t *testing.T, to target, w window, key string, inject faultFunc) answer {
	t.Helper()
	hasReached := w.open(f, t, to, key)
	answers := make(chan answer, 1)
	go func() { answers <- f.routers[0].sendOnce(t, to, key) }()
	eventually(t, w.name, hasReached)
	responses := inject(t, f, to, key)
	f.platform.setFaults(t, map[string]any{})
	to.endpoint.setFaults(t, map[string]any{})
	responses = append(responses, <-answers)
	last := f.awaitFinal(t, 1, to, key, "completed", "not-run", "unknown")
	f.checkOutcomes(t, to, key, append(responses, last)...)
	return last
}

// Guards against settling a claim whose sender may still run, or settling it twice.
func TestClaimSettledByOperator(t *testing.T) {
	f := startClaimFleet(t, 1)
	to, r := f.targets()[1], f.routers[0]
	for _, settled := range []struct{ key, state, outcome string }{
		{"ran", "completed", "completed"}, {"lost", "not-run", "not-run"},
	} {
		to.endpoint.setFaults(t, map[string]any{"refuseConnections": settled.state == "not-run", "dropAnswers": true})
		assert.Equal(t, r.sendOnce(t, to, settled.key).outcome(), "unknown")
		listed, err := r.ctl(t, "", "claims", "a")
		assert.NilError(t, err, listed)
		assert.Assert(t, strings.Contains(listed, to.key(settled.key)+"  unknown"), listed)

		refused, err := r.ctl(t, "", "settle", "--operator", "clerk", "a", to.key(settled.key), "not-run")
		assert.Assert(t, err != nil, refused)
		output, err := r.ctl(t, "", "settle", "--operator", "clerk", "--sender-stopped", "a", to.key(settled.key), settled.state)
		assert.NilError(t, err, output)
		retry := r.retry(t, to, settled.key)
		assert.Equal(t, retry.outcome(), settled.outcome, string(retry.body))
		output, err = r.ctl(t, "", "settle", "--operator", "clerk", "--sender-stopped", "a", to.key(settled.key), "not-run")
		assert.Assert(t, err != nil, "settled twice: %s", output)
	}
}

// sendMany sends count new keys to each router and returns the responses.
func sendMany(t *testing.T, routers []*router, to target, prefix string, count int) map[string]answer {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := make(map[string]answer)
	for _, r := range routers {
		for worker := range 10 {
			wg.Go(func() {
				for i := range count / 10 {
					key := fmt.Sprintf("%s-%s-%d-%d", prefix, r.instance, worker, i)
					a := r.sendOnce(t, to, key)
					mu.Lock()
					answers[key] = a
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return answers
}

// Guards against lost or repeated calls when the router that commits for the
// others is killed under load.
func TestClaimCommitterKilled(t *testing.T) {
	f := startClaimFleet(t, 3)
	to := f.targets()[0]
	before := f.counters(t).Commits
	busy := sendMany(t, f.routers, to, "busy", 200)
	t.Logf("%d requests in %d transactions", len(busy), f.counters(t).Commits-before)
	var others []*router
	var committer *router
	for _, r := range f.routers {
		if r.vars(t).RelayedRows == 0 {
			committer = r
			continue
		}
		others = append(others, r)
	}
	assert.Equal(t, len(others), 2, "not exactly one router commits for the others")
	committer.signal(syscall.SIGKILL)
	for key, a := range sendMany(t, others, to, "after", 50) {
		busy[key] = a
	}
	for key, a := range busy {
		if a.outcome() != "completed" {
			last := f.retryUntilFinal(t, others[0], to, key)
			assert.Equal(t, last.outcome(), "completed", string(last.body))
		}
	}
	runs := make(map[string]int)
	for _, run := range to.endpoint.runs(t) {
		runs[run.Key]++
		assert.Equal(t, runs[run.Key], 1, run.Key)
	}
	assert.Equal(t, len(runs), len(busy))
}

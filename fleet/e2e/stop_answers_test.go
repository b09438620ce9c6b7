package e2e

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// timedService is a plain service in the test process. A path /take/1s/4096 is answered
// after a second with 4096 bytes; paths below /once are non-idempotent. Requests run to
// their end even if the connection is closed.
type timedService struct {
	*httptest.Server

	// ended is closed at the end of the test.
	ended <-chan struct{}

	mu sync.Mutex
	// runs counts the runs by the callers' request IDs.
	runs map[string]int
}

func startTimedService(t *testing.T) *timedService {
	t.Helper()
	s := &timedService{ended: t.Context().Done(), runs: make(map[string]int)}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(s.Close)
	return s
}

func (s *timedService) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs[r.Header.Get("X-Caller-Request-Id")]++
	s.mu.Unlock()
	segments := strings.Split(r.URL.Path, "/")
	takes, _ := time.ParseDuration(segments[2])
	size, _ := strconv.Atoi(segments[3])
	select {
	case <-time.After(takes):
	case <-s.ended:
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(bytes.Repeat([]byte("a"), size))
}

func (s *timedService) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// stopFleet is a fleet with short shutdown settings whose service "timed" is in the test
// process.
type stopFleet struct {
	*fleet
	timed *timedService
}

func startStopFleet(t *testing.T, routers int, options routerOptions, engineArgs ...string) *stopFleet {
	t.Helper()
	f := &stopFleet{fleet: &fleet{platform: startStandin(t, "platform")}, timed: startTimedService(t)}
	for i := range routers {
		f.routers = append(f.routers, startRouter(t, fmt.Sprintf("router-%d", i+1), f.platform.url(), options))
	}
	f.engines = []*standin{startStandin(t, "engine", append([]string{"-name", "engine-1"}, engineArgs...)...)}
	for _, r := range f.routers {
		r.awaitReady(t)
	}
	f.awaitMembers(t)
	f.routers[0].apply(t, "kind: model\nname: m\nmodel: {}\n"+
		"---\nkind: service\nname: timed\nservice: {nonIdempotent: [/once/*]}\n"+
		"---\nkind: client-account\nname: a\nclientAccount: {tokenSha256: "+accountDigest+"}\n"+
		fmt.Sprintf("---\nkind: endpoint\nname: engine-1\nendpoint: {url: %q, zone: zone-1, models: [m]}\n", f.engines[0].url())+
		fmt.Sprintf("---\nkind: endpoint\nname: timed-1\nendpoint: {url: %q, zone: zone-1, services: [timed]}\n", f.timed.URL))
	return f
}

// rawCall is a request on a connection of its own that was opened before.
type rawCall struct {
	id, path, body string
	headers        []string
	// sendAfter is when the request is sent, and readAfter when its answer is read after that.
	sendAfter, readAfter time.Duration
	// next is sent on the connection while the request is in progress.
	next string
	// withheld is the number of bytes of the body that are never sent, and sent the number of
	// bytes of the request that were sent before.
	withheld, sent int

	conn net.Conn
}

func (c *rawCall) open(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	c.conn = conn
}

func (c *rawCall) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n",
		c.path, accountToken, c.id, len(c.body))
	for i := 0; i < len(c.headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", c.headers[i], c.headers[i+1])
	}
	return b.String() + "\r\n" + c.body[:len(c.body)-c.withheld]
}

// pipelineDelay is when rawCall.next is sent: the router has read the first request by then.
const pipelineDelay = 50 * time.Millisecond

// do sends the request and reads its answer. Without an answer, header is nil.
func (c *rawCall) do() answer {
	<-time.After(c.sendAfter)
	if _, err := io.WriteString(c.conn, c.text()[c.sent:]); err != nil {
		return answer{err: err}
	}
	if c.next != "" {
		<-time.After(pipelineDelay)
		if _, err := io.WriteString(c.conn, c.next); err != nil {
			return answer{err: err}
		}
	}
	<-time.After(c.readAfter)
	_ = c.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err}
}

// isRefusedByStop reports whether an answer is a complete refusal of a router that stops.
func (a answer) isRefusedByStop() bool {
	return a.err == nil && a.status == http.StatusServiceUnavailable && a.code() == "stopping" && a.outcome() == "not-run" && a.header.Get("Retry-After") != ""
}

// stopVerdict is what became of a request around a stop.
type stopVerdict string

const (
	verdictWhole stopVerdict = "whole"
	// verdictRefused is a refusal of a request that wasn't run.
	verdictRefused stopVerdict = "refused"
	// verdictClosed is a connection that was closed before the router read the request.
	verdictClosed stopVerdict = "closed"
	verdictLost   stopVerdict = "lost"
)

// judge compares the answer of a call with what the service and the router tell of it.
func (f *stopFleet) judge(c *rawCall, got answer, logs string) stopVerdict {
	isChat := c.path == chatPath
	runs := f.timed.runsOf(c.id)
	switch {
	case got.isRefusedByStop() && runs == 0:
		return verdictRefused
	case got.header == nil && runs == 0 && !strings.Contains(logs, "request="+c.id+" "):
		return verdictClosed
	case got.err == nil && got.status == http.StatusOK && isChat && strings.HasSuffix(string(got.body), "data: [DONE]\n\n"):
		return verdictWhole
	case got.err == nil && got.status == http.StatusOK && !isChat && runs == 1:
		return verdictWhole
	}
	return verdictLost
}

// stopUnderCalls opens a connection for each call, stops the router, sends the calls and
// returns the verdicts once the process has ended. The calls' times begin with the signal.
func (f *stopFleet) stopUnderCalls(t *testing.T, r *router, calls []*rawCall) map[stopVerdict]int {
	t.Helper()
	for _, c := range calls {
		c.open(t, r.callers)
	}
	answers := make([]answer, len(calls))
	r.signal(syscall.SIGTERM)
	var wg sync.WaitGroup
	for i, c := range calls {
		wg.Go(func() { answers[i] = c.do() })
	}
	wg.Wait()
	code := r.exitCode(t)
	verdicts := make(map[stopVerdict]int)
	logs := r.logs.String()
	for i, c := range calls {
		verdict := f.judge(c, answers[i], logs)
		verdicts[verdict]++
		if verdict == verdictLost {
			t.Errorf("%s, sent %v after the signal, was run %d times: status %d, error %v, %d bytes: %.200s",
				c.id, c.sendAfter, f.timed.runsOf(c.id), answers[i].status, answers[i].err, len(answers[i].body), answers[i].body)
		}
	}
	t.Logf("verdicts: %v, exit code %d", verdicts, code)
	if verdicts[verdictLost] == 0 {
		assert.Equal(t, code, 0)
	}
	return verdicts
}

// shortStop ends requests 5 s after the signal: 1.2 s for the addresses and 3.8 s of grace.
const shortStop = "{announce: 100ms, entryLife: 100ms, grace: 3800ms}"

// timesAround are the moments after the signal at which a call is sent.
func timesAround(until time.Duration) []time.Duration {
	const interval = 350 * time.Millisecond
	var times []time.Duration
	for at := time.Duration(0); at <= until; at += interval {
		times = append(times, at)
	}
	return times
}

// Guards against requests that a router accepts late in its stop and cuts off at the end,
// though the endpoint ran them.
func TestStopRequestSentLate(t *testing.T) {
	t.Parallel()
	for _, takes := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(takes.String(), func(t *testing.T) {
			t.Parallel()
			f := startStopFleet(t, 1, routerOptions{shutdown: shortStop})
			path := fmt.Sprintf("/v1/services/timed/take/%v/100", takes)
			assert.Equal(t, f.routers[0].send(t.Context(), http.MethodPost, path, "").status, http.StatusOK)
			var calls []*rawCall
			for i, at := range timesAround(6 * time.Second) {
				call := &rawCall{id: fmt.Sprintf("call-%d", i), path: path, sendAfter: at}
				late := &rawCall{id: fmt.Sprintf("late-%d", i), path: path, sendAfter: at, readAfter: 2 * time.Second}
				next := &rawCall{id: fmt.Sprintf("next-%d", i), path: path, sendAfter: at}
				next.next = (&rawCall{id: fmt.Sprintf("second-%d", i), path: path}).text()
				calls = append(calls, call, late, next)
			}
			verdicts := f.stopUnderCalls(t, f.routers[0], calls)
			assert.Assert(t, verdicts[verdictWhole] > 0)
		})
	}
}

// Guards against streams that a router begins late in its stop and ends with an error.
func TestStopStreamStartedLate(t *testing.T) {
	t.Parallel()
	f := startStopFleet(t, 1, routerOptions{shutdown: shortStop}, "-tokens", "15", "-token-delay", "100ms")
	assert.Equal(t, f.routers[0].send(t.Context(), http.MethodPost, chatPath, chatBody(true)).status, http.StatusOK)
	var calls []*rawCall
	for i, at := range timesAround(6 * time.Second) {
		call := &rawCall{id: fmt.Sprintf("stream-%d", i), path: chatPath, body: chatBody(true), sendAfter: at}
		if i%2 == 1 {
			call.readAfter = 2 * time.Second
		}
		calls = append(calls, call)
	}
	verdicts := f.stopUnderCalls(t, f.routers[0], calls)
	assert.Assert(t, verdicts[verdictWhole] > 0)
}

// Guards against a reset that discards an answer which the caller hasn't read yet: the
// router closes a connection on which bytes of a second request have arrived.
func TestStopLargeAnswerReadLate(t *testing.T) {
	t.Parallel()
	f := startStopFleet(t, 1, routerOptions{shutdown: shortStop})
	const path = "/v1/services/timed/take/300ms/3000000"
	assert.Equal(t, f.routers[0].send(t.Context(), http.MethodPost, path, "").status, http.StatusOK)
	var calls []*rawCall
	for i := range 6 {
		call := &rawCall{id: fmt.Sprintf("call-%d", i), path: path, sendAfter: time.Duration(i) * 350 * time.Millisecond, readAfter: 1500 * time.Millisecond}
		if i%2 == 1 {
			call.next = (&rawCall{id: fmt.Sprintf("second-%d", i), path: path}).text()
		}
		calls = append(calls, call)
	}
	verdicts := f.stopUnderCalls(t, f.routers[0], calls)
	assert.Assert(t, verdicts[verdictWhole] > 0)
}

// Guards against a body that is still being read when the grace time ends: its caller gets
// no answer, and the stop waits for it.
func TestStopBodyIncomplete(t *testing.T) {
	t.Parallel()
	f := startStopFleet(t, 1, routerOptions{shutdown: "{announce: 100ms, entryLife: 100ms, grace: 500ms}"})
	call := &rawCall{id: "slow", path: "/v1/services/timed/take/1ms/10", body: strings.Repeat("b", 100_000), withheld: 1}
	call.open(t, f.routers[0].callers)
	answers := make(chan answer, 1)
	go func() { answers <- call.do() }()
	eventually(t, "the router reads the body", func() bool { return f.routers[0].inFlight(t) == 1 })
	f.routers[0].signal(syscall.SIGTERM)
	got := <-answers
	assert.Assert(t, got.isRefusedByStop(), "status %d, error %v: %s", got.status, got.err, got.body)
	f.routers[0].exitCode(t)
	assert.Equal(t, f.timed.runsOf(call.id), 0)
}

// inFlight returns the number of callers' requests that the router serves.
func (r *router) inFlight(t *testing.T) int {
	t.Helper()
	var vars struct {
		InFlight int `json:"gateway.inFlight"`
	}
	getJSON(t, "http://"+r.operators+"/debug/vars", &vars)
	return vars.InFlight
}

// Guards against a stop that waits for a caller that doesn't read its answer.
func TestStopAnswerNotRead(t *testing.T) {
	t.Parallel()
	f := startStopFleet(t, 1, routerOptions{shutdown: "{announce: 100ms, entryLife: 100ms, grace: 500ms}"})
	const path = "/v1/services/timed/take/1ms/12000000"
	call := &rawCall{id: "unread", path: path}
	call.open(t, f.routers[0].callers)
	_, err := io.WriteString(call.conn, call.text())
	assert.NilError(t, err)
	eventually(t, "the service answered", func() bool { return f.timed.runsOf(call.id) == 1 })
	f.routers[0].signal(syscall.SIGTERM)
	assert.Equal(t, f.routers[0].exitCode(t), 1)
}

// Guards against requests that a forced stop ends without an answer.
func TestStopForcedAnswersAll(t *testing.T) {
	t.Parallel()
	f := startStopFleet(t, 2, routerOptions{})
	const path = "/v1/services/timed/take/8s/10"
	plain := &rawCall{id: "plain", path: path}
	once := &rawCall{id: "once", path: "/v1/services/timed/once/8s/10", headers: []string{"Idempotency-Key", "k"}}
	slow := &rawCall{id: "slow", path: path, body: strings.Repeat("b", 100_000), withheld: 1}
	calls := []*rawCall{plain, once, slow}
	answers := make([]answer, len(calls))
	var wg sync.WaitGroup
	for i, c := range calls {
		c.open(t, f.routers[0].callers)
		wg.Go(func() { answers[i] = c.do() })
	}
	eventually(t, "the requests are in progress", func() bool {
		return f.routers[0].inFlight(t) == 3 && f.timed.runsOf("plain")+f.timed.runsOf("once") == 2
	})
	f.routers[0].signal(syscall.SIGTERM)
	eventually(t, "the router is leaving", func() bool { return strings.Contains(f.routers[0].logs.String(), "Leaving.") })
	f.routers[0].signal(syscall.SIGTERM)
	wg.Wait()
	// The log is complete once the process has ended.
	assert.Equal(t, f.routers[0].exitCode(t), 1)
	for i, c := range calls {
		assert.Equal(t, answers[i].code(), "stopping", "%s: status %d, error %v, %s", c.id, answers[i].status, answers[i].err, answers[i].body)
		assert.Assert(t, strings.Contains(f.routers[0].logs.String(), "request="+c.id+" "), "%s has no log line", c.id)
	}
	assert.Equal(t, answers[0].outcome(), "unknown")
	assert.Equal(t, answers[1].outcome(), "unknown")
	assert.Equal(t, answers[2].outcome(), "not-run")
	assert.Assert(t, strings.Contains(f.routers[0].logs.String(), `The outcome of a request is not recorded." request=once `))
	repeated := f.routers[1].send(t.Context(), http.MethodPost, once.path, "", append(once.headers, "Idempotency-Repeat", "true", "X-Deadline-Ms", "2000")...)
	assert.Equal(t, repeated.outcome(), "unknown", "%s", repeated.body)
	assert.Equal(t, f.timed.runsOf("once"), 1)
}

// Guards against a stop that cuts off an at-most-once request and doesn't record its answer.
func TestStopRecordsClaimCutOff(t *testing.T) {
	t.Parallel()
	f := startStopFleet(t, 2, routerOptions{shutdown: "{announce: 100ms, entryLife: 100ms, grace: 500ms}"})
	call := &rawCall{id: "once", path: "/v1/services/timed/once/4s/100", headers: []string{"Idempotency-Key", "k"}}
	call.open(t, f.routers[0].callers)
	answers := make(chan answer, 1)
	go func() { answers <- call.do() }()
	eventually(t, "the service runs the request", func() bool { return f.timed.runsOf(call.id) == 1 })
	f.routers[0].signal(syscall.SIGTERM)
	got := <-answers
	assert.Equal(t, got.code(), "stopping", "error %v: %s", got.err, got.body)
	assert.Equal(t, got.outcome(), "unknown")
	assert.Equal(t, f.routers[0].exitCode(t), 1)
	repeated := f.routers[1].send(t.Context(), http.MethodPost, call.path, "", append(call.headers, "Idempotency-Repeat", "true")...)
	assert.Equal(t, repeated.status, http.StatusOK, "%s", repeated.body)
	assert.Equal(t, len(repeated.body), 100)
	assert.Equal(t, f.timed.runsOf(call.id), 1)
}

// longStop serves for 3.1 s and ends requests 4.1 s after the signal.
const longStop = "{announce: 2s, entryLife: 100ms, grace: 1s}"

// measure sends as many requests as it takes to know how long they take.
func (f *stopFleet) measure(t *testing.T, r *router, path string, headers ...string) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			got := r.send(t.Context(), http.MethodPost, path, "", append(headers, "Idempotency-Key", fmt.Sprintf("measured-%d", i))...)
			assert.Check(t, got.status == http.StatusOK, "status %d, error %v: %s", got.status, got.err, got.body)
		})
	}
	wg.Wait()
}

// Guards against accepting a request that is likely to outlast the stop.
func TestStopRefusesLongRequest(t *testing.T) {
	t.Parallel()
	f := startStopFleet(t, 1, routerOptions{shutdown: longStop})
	const path = "/v1/services/timed/take/1300ms/100"
	f.measure(t, f.routers[0], path)
	var calls []*rawCall
	for i, at := range timesAround(4500 * time.Millisecond) {
		calls = append(calls, &rawCall{id: fmt.Sprintf("call-%d", i), path: path, sendAfter: at})
	}
	verdicts := f.stopUnderCalls(t, f.routers[0], calls)
	assert.Assert(t, verdicts[verdictWhole] > 0 && verdicts[verdictRefused] > 0)
}

// Guards against cutting off or dropping a request whose head began to arrive before idle
// connections were closed: it is refused, or served if its time limit allows.
func TestStopHeadArrivesLate(t *testing.T) {
	t.Parallel()
	f := startStopFleet(t, 1, routerOptions{shutdown: shortStop})
	const path = "/v1/services/timed/take/100ms/100"
	long := &rawCall{id: "long", path: path}
	short := &rawCall{id: "short", path: path, headers: []string{"X-Deadline-Ms", "2000"}}
	answers := make([]answer, 2)
	var wg sync.WaitGroup
	for _, c := range []*rawCall{long, short} {
		c.open(t, f.routers[0].callers)
		_, err := io.WriteString(c.conn, c.text()[:10])
		assert.NilError(t, err)
	}
	f.routers[0].signal(syscall.SIGTERM)
	eventually(t, "the router waits for requests", func() bool {
		return strings.Contains(f.routers[0].logs.String(), "Waiting for requests in flight.")
	})
	for i, c := range []*rawCall{long, short} {
		c.sent = 10
		wg.Go(func() { answers[i] = c.do() })
	}
	wg.Wait()
	assert.Equal(t, f.judge(long, answers[0], ""), verdictRefused, "%s", answers[0].body)
	assert.Equal(t, f.judge(short, answers[1], ""), verdictWhole, "%s", answers[1].body)
	assert.Equal(t, f.routers[0].exitCode(t), 0)
}

// Guards against cutting off answers that have arrived while the router was paused, since its
// grace time is over when it wakes, and against passing on requests that arrived meanwhile.
func TestStopRouterPaused(t *testing.T) {
	t.Parallel()
	f := startStopFleet(t, 1, routerOptions{shutdown: "{announce: 100ms, entryLife: 100ms, grace: 500ms}"})
	r := f.routers[0]
	calls := []*rawCall{
		{id: "before", path: "/v1/services/timed/take/1s/100"},
		{id: "meanwhile", path: "/v1/services/timed/take/100ms/100", sendAfter: time.Second},
	}
	answers := make([]answer, len(calls))
	var wg sync.WaitGroup
	for i, c := range calls {
		c.open(t, r.callers)
		wg.Go(func() { answers[i] = c.do() })
	}
	eventually(t, "the service runs the first", func() bool { return f.timed.runsOf("before") == 1 })
	r.signal(syscall.SIGTERM)
	eventually(t, "the router is leaving", func() bool { return strings.Contains(r.logs.String(), "Leaving.") })
	r.signal(syscall.SIGSTOP)
	<-time.After(2500 * time.Millisecond)
	r.signal(syscall.SIGCONT)
	wg.Wait()
	code := r.exitCode(t)
	logs := r.logs.String()
	assert.Equal(t, f.judge(calls[0], answers[0], logs), verdictWhole, "error %v: %s", answers[0].err, answers[0].body)
	verdict := f.judge(calls[1], answers[1], logs)
	isRefused := answers[1].outcome() == "not-run" && f.timed.runsOf("meanwhile") == 0
	assert.Assert(t, isRefused || verdict == verdictClosed, "%s, error %v: %s", verdict, answers[1].err, answers[1].body)
	assert.Equal(t, code, 0)
}

// Guards against at-most-once requests that a stop cuts off without a record, or refuses
// with a claim left behind: a repeat elsewhere would then not get the answer or not run.
func TestStopClaims(t *testing.T) {
	t.Parallel()
	f := startStopFleet(t, 2, routerOptions{shutdown: longStop})
	const path = "/v1/services/timed/once/1300ms/100"
	f.measure(t, f.routers[0], path)
	var calls []*rawCall
	for i, at := range timesAround(4500 * time.Millisecond) {
		calls = append(calls, &rawCall{id: fmt.Sprintf("once-%d", i), path: path, sendAfter: at, headers: []string{"Idempotency-Key", fmt.Sprintf("k%d", i)}})
	}
	verdicts := f.stopUnderCalls(t, f.routers[0], calls)
	assert.Assert(t, verdicts[verdictWhole] > 0 && verdicts[verdictRefused] > 0)
	var wg sync.WaitGroup
	for _, c := range calls {
		wg.Go(func() {
			runs := f.timed.runsOf(c.id)
			repeated := f.routers[1].send(t.Context(), http.MethodPost, path, "", append(c.headers, "X-Request-Id", c.id, "Idempotency-Repeat", "true")...)
			assert.Check(t, repeated.status == http.StatusOK, "%s, run %d times before: %s", c.id, runs, repeated.body)
			assert.Check(t, f.timed.runsOf(c.id) == 1, c.id)
		})
	}
	wg.Wait()
}

// Guards against lost answers when routers stop one after the other and their callers move
// to one that stops next.
func TestStopOneAfterTheOther(t *testing.T) {
	t.Parallel()
	f := startStopFleet(t, 3, routerOptions{})
	const path = "/v1/services/timed/take/400ms/100"
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var wg sync.WaitGroup
	for i := range 12 {
		c := &caller{fleet: f.fleet, chat: fmt.Sprintf("chat-%d", i), client: &http.Client{Transport: &http.Transport{}}}
		wg.Go(func() {
			defer c.client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				address := c.address(t)
				id := fmt.Sprintf("%s-%d", c.chat, n)
				got := sendTo(t.Context(), c.client, address, http.MethodPost, path, "", "X-Request-Id", id)
				if got.err != nil || got.status != http.StatusOK {
					t.Errorf("%s at %s was run %d times: status %d, error %v, %s", id, address, f.timed.runsOf(id), got.status, got.err, got.body)
					return
				}
			}
		})
	}
	for _, r := range f.routers[:2] {
		r.signal(syscall.SIGTERM)
		assert.Equal(t, r.exitCode(t), 0)
	}
	stop()
	wg.Wait()
}

// Guards against an operator's change that is cut off because no caller's request delays
// the stop.
func TestStopOperatorRequest(t *testing.T) {
	t.Parallel()
	f := startStopFleet(t, 1, routerOptions{shutdown: "{announce: 100ms, entryLife: 100ms, grace: 10s}"})
	r := f.routers[0]
	conn, err := net.Dial("tcp", r.operators)
	assert.NilError(t, err)
	defer conn.Close()
	const body = `{"kind":"model","name":"late","model":{}}`
	_, err = fmt.Fprintf(conn, "PUT /v1/resources/model/late HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", operatorToken, len(body), body[:10])
	assert.NilError(t, err)
	r.signal(syscall.SIGTERM)
	eventually(t, "the router waits for requests", func() bool { return strings.Contains(r.logs.String(), "Waiting for requests in flight.") })
	<-time.After(100 * time.Millisecond)
	_, err = io.WriteString(conn, body[10:])
	assert.NilError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	answered, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK, "%s", answered)
	assert.Equal(t, r.exitCode(t), 0)
}

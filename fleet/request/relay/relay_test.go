package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianhead/core/process/drain"
	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/freshness"
	"gentianhead/core/request/retry"
	"gentianhead/core/version/routetable"
	"gentianhead/fleet/connection/upstream"
	"gentianhead/fleet/process/boottime"
	"gentianhead/fleet/request/relay"
	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

// fixture is a relay with fake endpoints.
type fixture struct {
	t         *testing.T
	url       string
	relay     *relay.Relay
	state     relay.State
	endpoints []*platformtest.Endpoint
	balancer  *relay.Balancer
	view      *endpoints.Core
	// trustChanges counts the changes of trust in endpoints that the balancer logged.
	trustChanges *atomic.Int64
	// logged are the log lines of the relay.
	logged *logBuffer
	limits routetable.Limits
}

// logBuffer collects log lines.
type logBuffer struct {
	mu    sync.Mutex
	lines strings.Builder
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

// trustCounter is a log handler that counts changes of trust in endpoints.
type trustCounter struct {
	slog.Handler
	count *atomic.Int64
}

// Handle implements slog.Handler.
func (h trustCounter) Handle(_ context.Context, record slog.Record) error {
	if record.Message == "Trust in an endpoint changed." {
		h.count.Add(1)
	}
	return nil
}

// Enabled implements slog.Handler.
func (trustCounter) Enabled(context.Context, slog.Level) bool { return true }

// Path prefixes of the fixture's routes.
const (
	pathSafe     = "/safe/"
	pathUnsafe   = "/unsafe/"
	pathStream   = "/stream/"
	pathResume   = "/resume/"
	pathShort    = "/short/"
	secret       = "secret-of-mill"
	routeTimeout = 5 * time.Second
)

func newFixture(t *testing.T, count int) *fixture {
	t.Helper()
	return newFixtureWithMemory(t, count, 1<<20)
}

// newFixtureWithMemory returns a fixture that buffers bodies up to the number of bytes.
func newFixtureWithMemory(t *testing.T, count int, bodyMemory int64) *fixture {
	t.Helper()
	f := &fixture{t: t, view: endpoints.New(), trustChanges: new(atomic.Int64), logged: new(logBuffer), limits: routetable.Limits{BodyBytes: 1000}}
	log := slog.New(trustCounter{Handler: slog.DiscardHandler, count: f.trustChanges})
	f.balancer = relay.NewBalancer(2, 10*time.Second, retry.FleetLimits{Ratio: 1, Slack: 100, Window: 10 * time.Second}, log)
	var entries []endpoints.Entry
	for number := range count {
		endpoint := platformtest.NewEndpoint(fmt.Sprintf("e-%d", number))
		t.Cleanup(endpoint.Close)
		f.endpoints = append(f.endpoints, endpoint)
		entries = append(entries, endpoints.Entry{ID: endpoint.ID, Service: "pool", Address: endpoint.Address, Slots: 8})
	}
	f.view.StoreResponded(0)
	f.view.Apply(0, entries, nil)
	f.balancer.SetView(f.view.View())
	f.configure(secret)
	client := upstream.New()
	t.Cleanup(client.Close)
	f.relay = relay.New(relay.Options{
		State: func() relay.State { return f.state }, Dialect: platform.Dialect{}, Balancer: f.balancer,
		Upstream: client, Log: slog.New(slog.NewJSONHandler(f.logged, nil)), BodyMemory: bodyMemory,
	})
	server := httptest.NewServer(f.relay)
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// configure sets a route table with one account that has the secret.
func (f *fixture) configure(secret string) {
	f.t.Helper()
	targets := []routetable.Target{{Service: "pool", Weight: 1}}
	route := func(prefix string, kind routetable.Kind, attempts int) routetable.Route {
		return routetable.Route{
			Name: prefix, Host: "a.example", Prefix: prefix, Kind: kind, Targets: targets,
			Timeout: routeTimeout, TargetLatency: 2 * time.Second, MaxAttempts: attempts,
		}
	}
	resumable := route(pathResume, routetable.Stream, 3)
	resumable.IsResumable = true
	short := route(pathShort, routetable.AtMostOnce, 1)
	short.Timeout = 100 * time.Millisecond
	table, err := routetable.New(routetable.Spec{
		Version: 1,
		Routes: []routetable.Route{
			route(pathSafe, routetable.Idempotent, 3), route(pathUnsafe, routetable.AtMostOnce, 3),
			route(pathStream, routetable.Stream, 1), resumable, short,
		},
		Services: []routetable.Service{{Name: "pool"}},
		Accounts: []routetable.Credentials{{Account: routetable.Account{Name: "mill"}, Secrets: []string{secret}}},
		Limits:   f.limits,
	})
	assert.NilError(f.t, err)
	f.state = relay.State{Table: table, Lease: freshness.NewLease(time.Hour).Confirm(boottime.Now())}
	f.balancer.SetTable(table)
}

func (f *fixture) faults(faults ...platformtest.Fault) {
	for number, fault := range faults {
		f.endpoints[number].SetFault(fault)
	}
}

// faultFirst applies the fault to the first request, whichever endpoint receives it.
func (f *fixture) faultFirst(fault platformtest.Fault) {
	left := new(atomic.Int64)
	left.Store(1)
	for _, endpoint := range f.endpoints {
		endpoint.SetFaultFor(fault, left)
	}
}

func (f *fixture) requestCount() int {
	sum := 0
	for _, endpoint := range f.endpoints {
		sum += endpoint.RequestCount()
	}
	return sum
}

func (f *fixture) runs() []platformtest.Run {
	var runs []platformtest.Run
	for _, endpoint := range f.endpoints {
		runs = append(runs, endpoint.Runs()...)
	}
	return runs
}

type answer struct {
	status int
	header http.Header
	body   string
	// err is set when the response was truncated.
	err error
}

func (f *fixture) newRequest(method, path, body string, headers ...string) *http.Request {
	f.t.Helper()
	request, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	request.Host = "a.example"
	request.Header.Set("Authorization", "Token "+secret)
	request.Header.Set("Gentianhead-Attempt-Id", "attempt-1")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return request
}

func (f *fixture) sendRequest(method, path, body string, headers ...string) answer {
	f.t.Helper()
	request := f.newRequest(method, path, body, headers...)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

func (f *fixture) postStream(path string, headers ...string) answer {
	return f.sendRequest(http.MethodPost, path, "prompt", append([]string{"Gentianhead-Model", "m", "Gentianhead-Token-Usage", "10,5", "Gentianhead-Prompt-Prefix", "aa:5,bb:5"}, headers...)...)
}

func streamEvents(from, to int) string {
	var b strings.Builder
	for number := from; number <= to; number++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece-%d\n\n", number, number)
	}
	return b.String()
}

func TestRequestAndResponseForwardedUnchanged(t *testing.T) {
	f := newFixture(t, 1)
	got := f.sendRequest(http.MethodPost, pathUnsafe+"x%2Fy//z?q=1&r=%20", "the body", "X-Own", "kept", "Gentianhead-Deadline-Ms", "2000")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, platformtest.ResponseBody("e-0", "attempt-1"))
	assert.Equal(t, got.header.Get("Gentianhead-Server-Signature"), "signed-by-e-0")
	assert.Equal(t, got.header.Get("Gentianhead-Attempt-Id"), "attempt-1")
	run := f.runs()[0]
	assert.Equal(t, run.Target, pathUnsafe+"x%2Fy//z?q=1&r=%20")
	assert.Equal(t, run.Host, "a.example")
	assert.Equal(t, run.Body, "the body")
	assert.Equal(t, run.Header.Get("X-Own"), "kept")
	assert.Equal(t, run.Header.Get("Gentianhead-Tenant"), "mill")
	assert.Equal(t, run.Header.Get("Authorization"), "")
	left, err := strconv.Atoi(run.Header.Get("Gentianhead-Deadline-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 2000)
}

// Guards against retrying an at-most-once request that an endpoint may have run,
// and against forwarding a faulty response.
func TestEndpointFaults(t *testing.T) {
	for _, c := range []struct {
		fault        platformtest.Fault
		unsafeStatus int
		unsafeSends  int
		safeStatus   int
	}{
		{platformtest.NotExecuted, 200, 2, 200},
		{platformtest.Misdirected, 200, 2, 200},
		{platformtest.Failing, 500, 1, 200},
		{platformtest.ResetAfterRun, 502, 1, 200},
		{platformtest.WrongAttemptID, 502, 1, 200},
		{platformtest.Truncated, 502, 1, 200},
		{platformtest.Unsigned, 502, 1, 200},
		{platformtest.NotHTTP, 502, 1, 200},
		{platformtest.DuplicateResponse, 200, 1, 200},
		{platformtest.NoContentLength, 200, 1, 200},
		{platformtest.UnframedReset, 502, 1, 200},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			for _, path := range []string{pathUnsafe, pathSafe} {
				f := newFixture(t, 2)
				f.faultFirst(c.fault)
				got := f.sendRequest(http.MethodPost, path, "b")
				want, sends := c.safeStatus, f.requestCount()
				if path == pathUnsafe {
					want = c.unsafeStatus
					assert.Equal(t, sends, c.unsafeSends, "at-most-once request")
				}
				assert.Equal(t, got.status, want, path)
				assert.NilError(t, got.err)
				if got.status == http.StatusOK {
					assert.Assert(t, strings.HasPrefix(got.body, "answer of e-"), got.body)
				}
			}
		})
	}
}

// Guards against a status other than 503 for a request that no endpoint ran.
func TestRefusalByAllEndpoints(t *testing.T) {
	f := newFixture(t, 2)
	f.faults(platformtest.NotExecuted, platformtest.NotExecuted)
	got := f.sendRequest(http.MethodPost, pathUnsafe, "b")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(f.runs()), 0)
}

func TestServerErrorFromAllEndpointsForwarded(t *testing.T) {
	f := newFixture(t, 2)
	f.faults(platformtest.Failing, platformtest.Failing)
	got := f.sendRequest(http.MethodGet, pathSafe, "")
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, got.body, "failed")
	assert.Assert(t, strings.HasPrefix(got.header.Get("Gentianhead-Server-Signature"), "signed-by-"))
	assert.Equal(t, f.requestCount(), 2)
}

func TestUnreachableEndpointNotCountedAsAttempt(t *testing.T) {
	f := newFixture(t, 2)
	f.endpoints[0].Close()
	for range 8 {
		assert.Equal(t, f.sendRequest(http.MethodPost, pathUnsafe, "b").status, http.StatusOK)
	}
}

func TestStreamForwarded(t *testing.T) {
	f := newFixture(t, 1)
	got := f.postStream(pathStream)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, streamEvents(1, 3))
}

func TestStreamTruncated(t *testing.T) {
	f := newFixture(t, 2)
	f.faults(platformtest.Truncated, platformtest.Truncated)
	got := f.postStream(pathStream)
	assert.Assert(t, got.err != nil, "a truncated stream must not end like a complete one")
	assert.Equal(t, got.body, streamEvents(1, 2), "an incomplete event must not be forwarded")
	assert.Equal(t, f.requestCount(), 1)
}

func TestStreamWithoutLengthForwarded(t *testing.T) {
	for _, path := range []string{pathStream, pathResume} {
		f := newFixture(t, 1)
		f.faults(platformtest.NoContentLength)
		got := f.postStream(path)
		assert.NilError(t, got.err, path)
		assert.Equal(t, got.body, streamEvents(1, 3))
		assert.Equal(t, f.requestCount(), 1)
	}
}

// Guards against a stream that ends with its connection and looks complete though it was
// broken off: inside an event, by a reset, or before the first event.
func TestStreamWithoutLengthBrokenOff(t *testing.T) {
	for fault, forwarded := range map[platformtest.Fault]int{
		platformtest.UnframedCut: 2, platformtest.UnframedReset: 2, platformtest.UnframedEmpty: 0,
	} {
		t.Run(string(fault), func(t *testing.T) {
			f := newFixture(t, 2)
			f.faults(fault, fault)
			got := f.postStream(pathStream)
			assert.Equal(t, f.requestCount(), 1)
			if forwarded == 0 {
				assert.Equal(t, got.status, http.StatusBadGateway)
			} else {
				assert.Assert(t, got.err != nil, "a stream that was broken off looks complete")
				assert.Equal(t, got.body, streamEvents(1, forwarded))
			}
			f = newFixture(t, 2)
			f.faultFirst(fault)
			got = f.postStream(pathResume)
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, streamEvents(1, 3), "the stream is resumed at the other endpoint")
		})
	}
}

func TestStreamResumedAtAnotherEndpoint(t *testing.T) {
	f := newFixture(t, 2)
	f.faultFirst(platformtest.Truncated)
	got := f.postStream(pathResume)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, streamEvents(1, 3))
	runs := f.runs()
	assert.Equal(t, len(runs), 2)
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	f := newFixture(t, 1)
	f.endpoints[0].Pause = time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+pathStream, strings.NewReader("b"))
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set("Authorization", "Token "+secret)
	request.Header.Set("Gentianhead-Attempt-Id", "attempt-1")
	request.Header.Set("Gentianhead-Model", "m")
	go func() { _, _ = http.DefaultClient.Do(request) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.runs()) == 1 {
			return poll.Success()
		}
		return poll.Continue("not sent yet")
	})
	cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.runs()[0].IsInterrupted {
			return poll.Success()
		}
		return poll.Continue("the endpoint is still running the request")
	})
}

func TestRouteTimeout(t *testing.T) {
	f := newFixture(t, 1)
	f.faults(platformtest.NoResponse)
	got := f.sendRequest(http.MethodPost, pathShort, "b", "Gentianhead-Deadline-Ms", "60000")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
}

// Guards against a stalled stream that sends a byte now and then and never ends, and
// against one that looks complete when it is cut.
func TestTricklingStreamEnds(t *testing.T) {
	f := newFixture(t, 1)
	f.faults(platformtest.Trickling)
	startedAt := time.Now()
	got := f.postStream(pathStream, "Gentianhead-Deadline-Ms", "400")
	assert.Assert(t, got.err != nil, "the cut stream looks complete")
	assert.Equal(t, got.body, streamEvents(1, 1))
	t.Logf("ended after %v", time.Since(startedAt))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if runs := f.runs(); len(runs) == 1 && runs[0].IsInterrupted {
			return poll.Success()
		}
		return poll.Continue("the endpoint still streams")
	})
}

// Guards against a router that reads bytes that are no answer for as long as an endpoint
// sends them: until its memory is used up, or until the caller's time is, where the head or
// the first megabyte shows that no answer will come.
func TestEndlessBytesOfEndpoint(t *testing.T) {
	const (
		requests = 16
		// maxAllocatedBytes is for a request at one endpoint: an event of at most a megabyte,
		// several times while its buffer grows, and a head.
		maxAllocatedBytes = 6 << 20
		endpoints         = 2
		// maxTime is well below the route's time limit.
		maxTime = routeTimeout / 2
	)
	for _, fault := range platformtest.EndlessFaults {
		for _, path := range []string{pathUnsafe, pathSafe, pathStream, pathResume} {
			isStream := path == pathStream || path == pathResume
			if !isStream && (fault == platformtest.EndlessLine || fault == platformtest.EndlessComments || fault == platformtest.EndlessBlank) {
				// For a plain response, these are a body like any other.
				continue
			}
			t.Run(string(fault)+path, func(t *testing.T) {
				f := newFixture(t, endpoints)
				f.faults(fault, fault)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				startedAt := time.Now()
				var wg sync.WaitGroup
				for range requests {
					wg.Go(func() {
						got := f.sendRequest(http.MethodPost, path, "prompt", "Gentianhead-Model", "m")
						assert.Check(t, got.err != nil || got.status >= http.StatusInternalServerError, "%v, %d bytes", got.status, len(got.body))
						assert.Check(t, len(got.body) < 10_000, "%d bytes were forwarded", len(got.body))
					})
				}
				wg.Wait()
				assert.Check(t, time.Since(startedAt) < maxTime, "%v", time.Since(startedAt))
				runtime.ReadMemStats(&after)
				allocated := (after.TotalAlloc - before.TotalAlloc) / requests
				assert.Check(t, allocated < maxAllocatedBytes*endpoints, "%d bytes allocated a request", allocated)
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					for _, endpoint := range f.endpoints {
						if count := endpoint.EndlessCount(); count > 0 {
							return poll.Continue("%s still sends on %d connections", endpoint.ID, count)
						}
					}
					return poll.Success()
				})
			})
		}
	}
}

// Guards against memory and time that the body of a plain response takes without end, where
// no head tells that it is no answer.
func TestEndlessBodyEndsWithRoute(t *testing.T) {
	f := newFixture(t, 1)
	f.faults(platformtest.EndlessLine)
	response, err := http.DefaultClient.Do(f.newRequest(http.MethodPost, pathShort, "b"))
	assert.NilError(t, err)
	defer response.Body.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	received, err := io.Copy(io.Discard, response.Body)
	runtime.ReadMemStats(&after)
	assert.Assert(t, err != nil, "a body without end looks complete after %d bytes", received)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 4<<20, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
}

// Guards against an endpoint that loses trust since callers had little time left.
func TestShortDeadlineNotHeldAgainstEndpoint(t *testing.T) {
	f := newFixture(t, 1)
	f.endpoints[0].Pause = 300 * time.Millisecond
	for range 12 {
		assert.Equal(t, f.sendRequest(http.MethodPost, pathUnsafe, "b", "Gentianhead-Deadline-Ms", "60").status, http.StatusGatewayTimeout)
	}
	assert.Equal(t, f.trustChanges.Load(), int64(0))
}

func TestRequestsRejectedBeforeSend(t *testing.T) {
	f := newFixture(t, 1)
	assert.Equal(t, f.sendRequest(http.MethodGet, "/nowhere/", "").status, http.StatusNotFound)
	assert.Equal(t, f.sendRequest(http.MethodGet, pathSafe, "", "Authorization", "Token guess").status, http.StatusUnauthorized)
	assert.Equal(t, f.sendRequest(http.MethodGet, pathSafe, "", "Gentianhead-Deadline-Ms", "soon").status, http.StatusBadRequest)
	assert.Equal(t, f.sendRequest(http.MethodPost, pathSafe, strings.Repeat("x", 1001)).status, http.StatusRequestEntityTooLarge)
	f.state.Lease = freshness.NewLease(time.Hour)
	assert.Equal(t, f.sendRequest(http.MethodGet, pathSafe, "").status, http.StatusServiceUnavailable)
	f.state.Table = nil
	assert.Equal(t, f.sendRequest(http.MethodGet, pathSafe, "").status, http.StatusServiceUnavailable)
	assert.Equal(t, f.requestCount(), 0)
}

func TestServiceWithoutEndpoints(t *testing.T) {
	f := newFixture(t, 0)
	got := f.sendRequest(http.MethodPost, pathUnsafe, "b")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// smuggledRequests are messages with conflicting lengths, which can smuggle a
// second request.
var smuggledRequests = map[string]string{
	"length and chunked":       "POST /unsafe/a HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token " + secret + "\r\nGentianhead-Attempt-Id: outer\r\nContent-Length: 300\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"two lengths":              "POST /unsafe/a HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token " + secret + "\r\nGentianhead-Attempt-Id: outer\r\nContent-Length: 0\r\nContent-Length: 300\r\n\r\n",
	"folded transfer encoding": "POST /unsafe/a HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token " + secret + "\r\nGentianhead-Attempt-Id: outer\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
	"chunked HTTP/1.0":         "POST /unsafe/a HTTP/1.0\r\nHost: a.example\r\nAuthorization: Token " + secret + "\r\nGentianhead-Attempt-Id: outer\r\nConnection: keep-alive\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
	"space in header name":     "POST /unsafe/a HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token " + secret + "\r\nGentianhead-Attempt-Id: outer\r\nTransfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\n",
}

func TestSmuggledRequestNotRun(t *testing.T) {
	hidden := "POST /unsafe/hidden HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token " + secret + "\r\nGentianhead-Attempt-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	for name, outer := range smuggledRequests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, outer+hidden)
			assert.NilError(t, err)
			reader := bufio.NewReader(conn)
			_, err = http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			_, err = io.Copy(io.Discard, reader)
			assert.NilError(t, err, "the connection must close after the message")
			for _, run := range f.runs() {
				assert.Assert(t, run.Header.Get("Gentianhead-Attempt-Id") != "hidden")
			}
		})
	}
}

func TestDrainingRelayClosesConnections(t *testing.T) {
	f := newFixture(t, 1)
	now := boottime.Now()
	f.relay.Drain(drain.Plan{AddressesExpireAt: now + time.Minute, AnswerBy: now + 2*time.Minute, ExitAt: now + 2*time.Minute})
	request, err := http.NewRequest(http.MethodGet, f.url+pathSafe, nil)
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set("Authorization", "Token "+secret)
	request.Header.Set("Gentianhead-Attempt-Id", "attempt-1")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, response.Close)
}

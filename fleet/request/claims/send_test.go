package claims

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianhead/core/process/membership"
	"gentianhead/core/request/claim"
	"gentianhead/core/request/outcome"
	"gentianhead/fleet/connection/engine"
)

// objectTable adds an in-memory object store to a fakeTable.
type objectTable struct {
	*fakeTable
	objects map[string][]byte
}

func (o *objectTable) PutObject(_ context.Context, name string, value []byte) error {
	o.objects[name] = value
	return nil
}

func (o *objectTable) GetObject(_ context.Context, name string) ([]byte, error) {
	return o.objects[name], nil
}

func newTestManager(t *testing.T, table *fakeTable) (*Manager, *objectTable) {
	t.Helper()
	store := &objectTable{fakeTable: table, objects: make(map[string][]byte)}
	m := New(Options{
		Self:        membership.Router{Instance: "router-1", Incarnation: 1},
		Store:       store,
		Engine:      engine.NewSingleUseClient(),
		View:        func() *membership.View { return &membership.View{} },
		SendTimeout: 30 * time.Second,
		Log:         slog.New(slog.DiscardHandler),
	})
	t.Cleanup(func() { m.Close(context.Background()) })
	return m, store
}

func newTestRequest(method, url, key string, body []byte) ServiceRequest {
	return ServiceRequest{
		ID: claim.ID{Account: "a", Key: key}, RequestID: "id", Service: "s", Method: method, Target: "/once", Body: body,
		Endpoint: "endpoint", EndpointURL: url,
	}
}

// closingServer reads each request and closes the connection without an answer.
// With answersFirst it answers the first request that it receives.
func closingServer(t *testing.T, answersFirst bool) (string, *atomic.Int32) {
	t.Helper()
	var requests atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if count := requests.Add(1); answersFirst && count == 1 {
			w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
			return
		}
		panic(http.ErrAbortHandler)
	})
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	server.Start()
	t.Cleanup(server.Close)
	return server.URL, &requests
}

// net/http resends a request with an Idempotency-Key when a reused connection
// breaks and the body can be rewound or is empty. Claims can't use such a client.
func TestStandardClientResends(t *testing.T) {
	url, requests := closingServer(t, true)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("order")))
		assert.NilError(t, err)
		request.Header.Set(engine.HeaderIdempotencyKey, "key")
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
	assert.Assert(t, requests.Load() > 2, "%d requests for 2 calls", requests.Load())
}

// A connection that closes without an answer must not cause a second send, for
// any method, with or without a body.
func TestRequestSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
		for _, body := range [][]byte{nil, []byte("order")} {
			for _, answersFirst := range []bool{false, true} {
				url, requests := closingServer(t, answersFirst)
				m, _ := newTestManager(t, newFakeTable())
				first := m.Do(t.Context(), newTestRequest(method, url, "key-1", body))
				second := m.Do(t.Context(), newTestRequest(method, url, "key-2", body))
				assert.Equal(t, first.Outcome == outcome.Completed, answersFirst)
				assert.Equal(t, second.Outcome, outcome.Unknown)
				assert.Equal(t, requests.Load(), int32(2), "%s with %d bytes", method, len(body))
			}
		}
	}
}

func TestUnreachableEndpointNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	m, _ := newTestManager(t, newFakeTable())
	result := m.Do(t.Context(), newTestRequest(http.MethodPost, "http://"+listener.Addr().String(), "key", nil))
	assert.Equal(t, result.Outcome, outcome.NotRun)
	assert.Assert(t, result.IsFinal)
}

func TestLargeAnswerStoredAsObject(t *testing.T) {
	large := bytes.Repeat([]byte("x"), MaxRowAnswerBytes+1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
		_, _ = w.Write(large)
	}))
	defer server.Close()
	m, store := newTestManager(t, newFakeTable())
	for range 2 {
		result := m.Do(t.Context(), newTestRequest(http.MethodPost, server.URL, "key", nil))
		assert.Equal(t, result.Outcome, outcome.Completed)
		assert.DeepEqual(t, result.Answer.Body, large)
	}
	assert.Equal(t, len(store.objects), 1)
	rows, err := store.Read(t.Context(), RowKey(claim.ID{Account: "a", Key: "key"}))
	assert.NilError(t, err)
	assert.Assert(t, len(rows[0].Value) < MaxRowAnswerBytes)
}

// When the caller disconnects, the request continues and its outcome is recorded;
// a repeat returns that outcome.
func TestRequestContinuesWithoutCaller(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-release
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	}))
	defer server.Close()
	m, _ := newTestManager(t, newFakeTable())
	ctx, cancel := context.WithCancel(t.Context())
	answered := make(chan claim.Result)
	go func() { answered <- m.Do(ctx, newTestRequest(http.MethodPost, server.URL, "key", nil)) }()
	<-arrived
	cancel()
	assert.Equal(t, (<-answered).Outcome, outcome.Unknown)
	close(release)
	m.wg.Wait()
	again := m.Do(t.Context(), newTestRequest(http.MethodPost, server.URL, "key", nil))
	assert.Equal(t, again.Outcome, outcome.Completed)
}

// A key older than the retention period may have run and been deleted.
func TestKeyOutsideRetentionRefused(t *testing.T) {
	m, _ := newTestManager(t, newFakeTable())
	// Version 7 UUID created in 2001.
	old := m.Do(t.Context(), newTestRequest(http.MethodPost, "http://127.0.0.1:1", "00e95f1e-3c00-7000-8000-000000000000", nil))
	assert.Equal(t, old.Outcome, outcome.Unknown)
	assert.Equal(t, old.Problem.Code, outcome.CodeKeyExpired)
	// Version 7 UUID created in the year 10889.
	ahead := m.Do(t.Context(), newTestRequest(http.MethodPost, "http://127.0.0.1:1", "ffffffff-ffff-7000-8000-000000000000", nil))
	assert.Equal(t, ahead.Problem.Code, outcome.CodeBadRequest)
}

// Guards against a repeat that is told that its request is in progress although the
// caller has the answer: the key was released after the answer was delivered.
func TestKeyReleasedBeforeAnswer(t *testing.T) {
	m, _ := newTestManager(t, newFakeTable())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	}))
	defer server.Close()
	request := newTestRequest(http.MethodPost, server.URL, "key", []byte("{}"))
	assert.Assert(t, m.acquire(request))
	// Nothing receives the answer until the key is free.
	result := make(chan claim.Result)
	// A failure must not leave the run waiting.
	t.Cleanup(func() {
		select {
		case <-result:
		default:
		}
	})
	go m.newRun(t.Context(), request, result).loop(nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if m.acquire(request) {
			m.release(request.ID)
			return poll.Success()
		}
		return poll.Continue("the request is still in progress")
	}, poll.WithTimeout(5*time.Second))
	assert.Equal(t, (<-result).Outcome, outcome.Completed)
}

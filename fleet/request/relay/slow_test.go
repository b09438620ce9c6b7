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
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianhead/core/process/drain"
	"gentianhead/core/process/endpoints"
	"gentianhead/fleet/connection/upstream"
	"gentianhead/fleet/process/boottime"
	"gentianhead/fleet/process/memory"
	"gentianhead/fleet/process/serving"
	"gentianhead/fleet/request/relay"
	"gentianhead/platform"
)

const (
	// smallBuffer is the size of kernel buffers, so that a caller that doesn't read is noticed soon.
	smallBuffer = 32 << 10
	// pieceBytes is the size of the test's events.
	pieceBytes = 2 << 10
	// unreadLimit is how long an endpoint of the test bears a response that isn't read. It is above
	// the second for which a response at its limit may stay unread.
	unreadLimit = 3 * time.Second
)

// smallBuffers is a listener whose connections have small kernel buffers.
type smallBuffers struct{ net.Listener }

// Accept implements net.Listener.
func (l smallBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		_ = conn.(*net.TCPConn).SetWriteBuffer(smallBuffer)
		_ = conn.(*net.TCPConn).SetReadBuffer(smallBuffer)
	}
	return conn, err
}

// slowFixture is a relay with one endpoint, behind a server with limited memory.
type slowFixture struct {
	*fixture
	address string
	pool    *serving.Pool
	budget  *memory.Budget
	server  *serving.Server
}

func newSlowFixture(t *testing.T, held int64, endpoint http.HandlerFunc) *slowFixture {
	t.Helper()
	f := &slowFixture{fixture: newFixture(t, 0)}
	f.limits.BodyBytes = 1 << 20
	f.configure(secret)
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	stand := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Gentianhead-Server-Signature", "signed")
		w.Header().Set("Gentianhead-Attempt-Id", r.Header.Get("Gentianhead-Attempt-Id"))
		endpoint(w, r)
	}))
	stand.Listener = smallBuffers{accepting}
	stand.Start()
	t.Cleanup(stand.Close)
	f.view.Apply(0, []endpoints.Entry{
		{ID: "e-0", Service: "pool", Address: accepting.Addr().String(), Slots: 100},
		{ID: "e-1", Service: "pool", Address: accepting.Addr().String(), Slots: 100},
	}, nil)
	f.balancer.SetView(f.view.View())
	client := upstream.New()
	t.Cleanup(client.Close)
	f.relay = relay.New(relay.Options{
		State: func() relay.State { return f.state }, Dialect: platform.Dialect{}, Balancer: f.balancer,
		Upstream: client, Log: slog.New(slog.DiscardHandler), BodyMemory: 4 << 20, HeldMemory: held,
	})
	f.budget = memory.NewBudget(8 << 20)
	f.pool = serving.NewPool(serving.PoolOptions{MaxConns: 100, HardMaxConns: 120, Memory: f.budget, Log: slog.New(slog.DiscardHandler)})
	f.server = serving.New(f.relay, serving.Options{MaxConns: 100, HeaderBytes: 64 << 10, HeaderTimeout: 5 * time.Second, Pool: f.pool})
	listening, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = f.server.Serve(smallBuffers{listening}) }()
	t.Cleanup(func() { _ = f.server.Close() })
	f.address = listening.Addr().String()
	return f
}

// caller is a connection with a request for a stream.
type caller struct {
	net.Conn
	t        *testing.T
	response *http.Response
}

// start sends a request for a stream and reads the head of the response.
func (f *slowFixture) start(path string) *caller {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	assert.NilError(f.t, conn.(*net.TCPConn).SetReadBuffer(smallBuffer))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token %s\r\nGentianhead-Attempt-Id: a\r\n"+
		"Gentianhead-Deadline-Ms: 30000\r\nGentianhead-Model: m\r\nGentianhead-Token-Usage: 10,5\r\nContent-Length: 6\r\n\r\nprompt", path, secret)
	assert.NilError(f.t, err)
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 16), nil)
	assert.NilError(f.t, err)
	assert.Equal(f.t, response.StatusCode, http.StatusOK)
	return &caller{Conn: conn, t: f.t, response: response}
}

// read reads the rest of the response, and checks that its events are numbered from 1 on.
func (c *caller) read() (events int, err error) {
	c.t.Helper()
	body, err := io.ReadAll(c.response.Body)
	for text := string(body); text != ""; {
		event := piece(events + 1)
		if len(text) < len(event) {
			assert.Assert(c.t, err != nil && strings.HasPrefix(event, text), "the response ends with %q", text)
			break
		}
		assert.Assert(c.t, strings.HasPrefix(text, event), "event %d is %.20q", events+1, text)
		text = text[len(event):]
		events++
	}
	return events, err
}

func piece(number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat("x", pieceBytes))
}

// sendPieces sends events until the response isn't read for unreadLimit or ends.
func sendPieces(w http.ResponseWriter, first, last int, pause time.Duration) error {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for number := first; number <= last; number++ {
		_ = controller.SetWriteDeadline(time.Now().Add(unreadLimit))
		if _, err := io.WriteString(w, piece(number)); err != nil {
			return err
		}
		if err := controller.Flush(); err != nil {
			return err
		}
		<-time.After(pause)
	}
	return nil
}

func await[T any](t *testing.T, events <-chan T) T {
	t.Helper()
	select {
	case event := <-events:
		return event
	case <-time.After(15 * time.Second):
		t.Fatal("the event didn't happen")
		panic("unreachable")
	}
}

// awaitHeld waits until events are held for a caller, beside what its connection takes.
func (f *slowFixture) awaitHeld() {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if f.pool.Memory() >= 96<<10 {
			return poll.Success()
		}
		return poll.Continue("%d bytes are held", f.pool.Memory())
	})
}

// awaitReleased waits until no memory is held for callers.
func (f *slowFixture) awaitReleased() {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if f.pool.Memory() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d bytes are held", f.pool.Memory())
	})
}

// Guards against an endpoint that is held up by a caller that stops reading, against events that
// are lost or doubled once it reads on, and against a stop that cuts off what is held.
func TestStreamHeldUntilCallerReadsOn(t *testing.T) {
	for _, isStopped := range []bool{false, true} {
		sent := make(chan error, 1)
		f := newSlowFixture(t, 1<<20, func(w http.ResponseWriter, _ *http.Request) { sent <- sendPieces(w, 1, 150, 0) })
		c := f.start(pathStream)
		assert.NilError(t, await(t, sent))
		f.awaitHeld()
		idle := make(chan bool, 1)
		if isStopped {
			f.relay.Drain(drain.Plan{AnswerBy: boottime.Now() + 30*time.Second, ExitAt: boottime.Now() + 30*time.Second})
			f.server.StopAccepting()
			f.server.CloseIdle()
			go func() { idle <- f.server.AwaitIdle(context.Background()) }()
		}
		events, err := c.read()
		assert.NilError(t, err)
		assert.Equal(t, events, 150)
		if isStopped {
			c.Close()
			assert.Assert(t, await(t, idle))
		}
		c.Close()
		f.awaitReleased()
	}
}

// Guards against a stream that never catches up again, or whose events change hands wrongly, when
// its caller falls behind and reads on many times.
func TestStreamCallerReadsInBursts(t *testing.T) {
	f := newSlowFixture(t, 1<<20, func(w http.ResponseWriter, _ *http.Request) { _ = sendPieces(w, 1, 400, time.Millisecond) })
	c := f.start(pathStream)
	c.response.Body = &burstReader{ReadCloser: c.response.Body}
	events, err := c.read()
	assert.NilError(t, err)
	assert.Equal(t, events, 400)
}

// burstReader pauses after each 64 KiB.
type burstReader struct {
	io.ReadCloser
	sincePause int
}

// Read implements io.Reader.
func (r *burstReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if r.sincePause += n; r.sincePause >= 64<<10 {
		r.sincePause = 0
		<-time.After(60 * time.Millisecond)
	}
	return n, err
}

// Guards against memory without a bound for callers that stop reading while their endpoints go
// on, alone or many at once against a small budget, and against ending others' responses.
func TestStoppedReadersEndedAndNoOthers(t *testing.T) {
	for name, test := range map[string]struct {
		stopped int
		held    int64
		// others is the memory that others hold.
		others int64
	}{"one": {1, 4 << 20, 0}, "many": {20, 800 << 10, 0}, "many, little memory": {20, 32 << 20, 6 << 20}} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{}, 100)
			f := newSlowFixture(t, test.held, func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "endless") {
					_ = sendPieces(w, 1, 1<<20, time.Millisecond)
					ended <- struct{}{}
					return
				}
				_ = sendPieces(w, 1, 300, 5*time.Millisecond)
			})
			assert.Assert(t, f.budget.Charge(test.others, 0))
			var stopped []*caller
			for range test.stopped {
				stopped = append(stopped, f.start(pathStream+"endless"))
			}
			reading := f.start(pathStream + "read")
			events, err := reading.read()
			assert.NilError(t, err)
			assert.Equal(t, events, 300)
			for range stopped {
				await(t, ended)
				assert.Assert(t, f.pool.Memory() < test.others+test.held+2<<20 && f.pool.Memory() <= f.pool.Budget())
			}
			for _, c := range stopped {
				_, err := c.read()
				assert.Assert(t, err != nil, "a response that was ended looks complete")
				c.Close()
			}
			reading.Close()
			f.budget.Release(test.others)
			f.awaitReleased()
		})
	}
}

// Guards against events that are lost or doubled when an endpoint breaks off while some are held
// and another one resumes the stream.
func TestEndpointBreaksOffWhileEventsAreHeld(t *testing.T) {
	for path, isResumed := range map[string]bool{pathResume: true, pathStream: false} {
		broken := make(chan struct{}, 1)
		var resumedAfter atomic.Int64
		f := newSlowFixture(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
			if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
				resumedAfter.Store(int64(last))
				_ = sendPieces(w, last+1, 200, 0)
				return
			}
			_ = sendPieces(w, 1, 120, 0)
			broken <- struct{}{}
			panic(http.ErrAbortHandler)
		})
		c := f.start(path)
		await(t, broken)
		f.awaitHeld()
		events, err := c.read()
		if isResumed {
			assert.NilError(t, err)
			assert.Equal(t, events, 200)
			assert.Equal(t, resumedAfter.Load(), int64(120))
		} else {
			assert.Assert(t, err != nil)
			assert.Equal(t, events, 120)
		}
	}
}

// Guards against a run that goes on at the endpoint when its caller has left, until what is held
// would have been written.
func TestRunEndsWhenSlowCallerLeaves(t *testing.T) {
	ended, behind := make(chan struct{}, 1), make(chan struct{}, 1)
	f := newSlowFixture(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		// net/http notices a closed connection once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		_ = sendPieces(w, 1, 120, 0)
		behind <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	c := f.start(pathStream)
	await(t, behind)
	f.awaitHeld()
	c.Close()
	await(t, ended)
	f.awaitReleased()
}

// Guards against requests that wait behind one that its endpoint takes in small pieces.
func TestEndpointTakesRequestSlowly(t *testing.T) {
	taking, release := make(chan struct{}), make(chan struct{})
	f := newSlowFixture(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "large") {
			_, _ = io.ReadFull(r.Body, make([]byte, 100))
			close(taking)
			for isReleased := false; !isReleased; {
				select {
				case <-release:
					isReleased = true
				case <-time.After(5 * time.Millisecond):
					_, _ = io.ReadFull(r.Body, make([]byte, 100))
				}
			}
		}
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	})
	f.url = "http://" + f.address
	large := make(chan answer, 1)
	go func() { large <- f.sendRequest(http.MethodPost, pathUnsafe+"large", strings.Repeat("x", 900<<10)) }()
	await(t, taking)
	for range 20 {
		got := f.sendRequest(http.MethodPost, pathUnsafe+"small", "abc")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, "3")
	}
	close(release)
	got := await(t, large)
	assert.Equal(t, got.status, http.StatusOK)
}

// Guards against whole responses whose memory isn't counted, or isn't released, and against a
// response that fails for lack of memory or arrives changed.
func TestWholeResponsesDrawOnMemory(t *testing.T) {
	for name, test := range map[string]struct {
		bytes     int
		isChunked bool
	}{"empty": {}, "small": {bytes: 100}, "large": {bytes: 200 << 10}, "chunked": {200 << 10, true}, "too large to hold": {600 << 10, true}} {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("0123456789", test.bytes/10)
			f := newSlowFixture(t, 1<<20, func(w http.ResponseWriter, _ *http.Request) {
				if !test.isChunked {
					w.Header().Set("Content-Length", strconv.Itoa(len(body)))
				}
				_, _ = io.WriteString(w, body)
			})
			f.url = "http://" + f.address
			got := f.sendRequest(http.MethodPost, pathSafe+"x", "b")
			assert.NilError(t, got.err)
			assert.Assert(t, got.body == body)
			// The budget is used up by others.
			left := f.pool.Budget() - f.pool.Memory()
			assert.Assert(t, f.budget.Charge(left-120<<10, 0))
			got = f.sendRequest(http.MethodPost, pathSafe+"x", "b")
			assert.NilError(t, got.err)
			assert.Assert(t, got.body == body)
			f.budget.Release(left - 120<<10)
			f.awaitReleased()
		})
	}
}

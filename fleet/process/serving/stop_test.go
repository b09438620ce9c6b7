package serving

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const testRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// start serves handler on loopback.
func start(t *testing.T, handler http.HandlerFunc) (*Server, string) {
	t.Helper()
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	options := testOptions
	options.MaxConns, options.MinIdleTime = 100, 50*time.Millisecond
	s := New(handler, options)
	go func() { _ = s.Serve(accepting) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, accepting.Addr().String()
}

func dial(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	opened, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = opened.Close() })
	return opened.(*net.TCPConn)
}

func send(t *testing.T, to io.Writer, text string) {
	t.Helper()
	_, err := io.WriteString(to, text)
	assert.NilError(t, err)
}

// Guards against a busy connection that keeps all others open during a stop.
func TestIdleConnClosedBesideBusyConn(t *testing.T) {
	release := make(chan struct{})
	s, address := start(t, func(http.ResponseWriter, *http.Request) { <-release })
	busy, unused, idle := dial(t, address), dial(t, address), dial(t, address)
	go func() { release <- struct{}{} }()
	send(t, idle, testRequest)
	_, err := http.ReadResponse(bufio.NewReader(idle), nil)
	assert.NilError(t, err)
	send(t, busy, testRequest)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Conns() == (ConnCounts{Busy: 1, Unused: 1, Idle: 1}) {
			return poll.Success()
		}
		return poll.Continue("%+v", s.Conns())
	})
	s.StopAccepting()
	s.CloseIdle()
	ended := make(chan bool, 1)
	go func() { ended <- s.AwaitIdle(t.Context()) }()
	for _, waiting := range []*net.TCPConn{unused, idle} {
		_, err := waiting.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
		_ = waiting.Close()
	}
	close(release)
	_, err = http.ReadResponse(bufio.NewReader(busy), nil)
	assert.NilError(t, err)
	_ = busy.Close()
	assert.Assert(t, <-ended)
}

// Guards against closing a connection on which a request is arriving.
func TestConnWithPartOfRequestNotClosedAsIdle(t *testing.T) {
	s, address := start(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	slow := dial(t, address)
	send(t, slow, testRequest[:20])
	<-time.After(testOptions.MinIdleTime)
	s.StopAccepting()
	s.CloseIdle()
	<-time.After(10 * idlePollInterval)
	send(t, slow, testRequest[20:])
	_, err := http.ReadResponse(bufio.NewReader(slow), nil)
	assert.NilError(t, err)
}

// Guards against a reset that discards a response which the caller hasn't read, since bytes behind its
// request were never read.
func TestResponseWholeWithUnreadBytes(t *testing.T) {
	body := bytes.Repeat([]byte("b"), 4<<20)
	_, address := start(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = w.Write(body)
	})
	caller := dial(t, address)
	assert.NilError(t, caller.SetReadBuffer(32<<10))
	send(t, caller, testRequest+strings.Repeat("x", 64<<10))
	<-time.After(300 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	assert.NilError(t, err)
	got, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(got), len(body))
}

// Guards against a truncated response of HTTP/1.0 that looks complete, as the connection is closed in
// an orderly way instead of reset.
func TestHijackedConnReset(t *testing.T) {
	_, address := start(t, func(w http.ResponseWriter, _ *http.Request) {
		hijacked, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		_, err = io.WriteString(hijacked, "HTTP/1.0 200 OK\r\n\r\npart")
		assert.Check(t, err)
		resettable, ok := hijacked.(interface{ SetLinger(int) error })
		if assert.Check(t, ok) {
			assert.Check(t, resettable.SetLinger(0))
		}
		assert.Check(t, hijacked.Close())
	})
	caller := dial(t, address)
	send(t, caller, "GET / HTTP/1.0\r\n\r\n")
	_, err := io.ReadAll(caller)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against resetting connections that are established but not yet accepted when a stop
// closes the listener.
func TestQueuedConnServedByStoppingListener(t *testing.T) {
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var queued []*net.TCPConn
	for range 20 {
		caller := dial(t, accepting.Addr().String())
		send(t, caller, testRequest)
		queued = append(queued, caller)
	}
	s := New(http.NotFoundHandler(), Options{MaxConns: 100, HeaderBytes: 1 << 10, HeaderTimeout: time.Second, MinIdleTime: time.Second})
	wrapped := &listener{Listener: accepting, server: s}
	s.listener = wrapped
	s.StopAccepting()
	<-time.After(2 * acceptWindow)
	ended := make(chan error, 1)
	go func() { ended <- s.Server.Serve(wrapped) }()
	for _, caller := range queued {
		_, err := http.ReadResponse(bufio.NewReader(caller), nil)
		assert.NilError(t, err)
	}
	assert.Assert(t, errors.Is(<-ended, net.ErrClosed))
	assert.NilError(t, s.CancelAndClose(time.Second, context.Canceled))
}

// Guards against closing a connection on which a request is arriving whose first bytes came
// together with the request before.
func TestConnWithPartOfPipelinedRequestNotClosedAsIdle(t *testing.T) {
	s, address := start(t, func(http.ResponseWriter, *http.Request) {})
	slow := dial(t, address)
	responses := bufio.NewReader(slow)
	send(t, slow, testRequest+testRequest[:20])
	_, err := http.ReadResponse(responses, nil)
	assert.NilError(t, err)
	<-time.After(4 * s.options.MinIdleTime)
	s.StopAccepting()
	s.CloseIdle()
	<-time.After(10 * idlePollInterval)
	send(t, slow, testRequest[20:])
	second, err := http.ReadResponse(responses, nil)
	assert.NilError(t, err)
	assert.Equal(t, second.StatusCode, http.StatusOK)
}

// Guards against a listener that stays open as long as new connections keep coming in.
func TestStopAcceptingUnderNewConns(t *testing.T) {
	s, address := start(t, func(http.ResponseWriter, *http.Request) {})
	served := dial(t, address)
	send(t, served, testRequest)
	_, err := http.ReadResponse(bufio.NewReader(served), nil)
	assert.NilError(t, err)
	s.StopAccepting()
	for range 200 {
		opened, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = opened.Close()
		<-time.After(acceptWindow / 4)
	}
	t.Error("connections are still accepted")
}

package serving

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// latency is the network latency in these tests.
const latency = 200 * time.Millisecond

var testOptions = Options{MaxConns: 1, HeaderBytes: 1 << 10, HeaderTimeout: 5 * time.Second, MinIdleTime: time.Second}

// slowConn delivers what it reads after latency.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	<-time.After(latency)
	return n, err
}

// pipeListener accepts one connection.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// requestDuringStop sends two requests on one keep-alive connection and calls
// stop before the second arrives. It returns the error of the second request.
func requestDuringStop(t *testing.T, stop func(*Server)) error {
	t.Helper()
	near, far := net.Pipe()
	listener := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	listener.conns <- slowConn{far}
	s := New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), testOptions)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve(listener)
	}()
	defer func() {
		_ = s.Close()
		near.Close()
		<-served
		// The connection's goroutine ends once its last read has arrived.
		<-time.After(2 * latency)
	}()
	reader := bufio.NewReader(near)
	ask := func() error {
		if _, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return err
		}
		_, err := http.ReadResponse(reader, nil)
		return err
	}
	assert.NilError(t, ask())
	result := make(chan error, 1)
	go func() { result <- ask() }()
	<-time.After(latency / 2)
	stop(s)
	return <-result
}

// Shows the failure that AwaitIdle prevents: http.Server.Shutdown closes idle
// connections at once and loses a request that was sent but has not arrived.
func TestNetHTTPShutdownDropsPendingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		err := requestDuringStop(t, func(s *Server) { _ = s.Shutdown(context.Background()) })
		assert.Assert(t, err != nil, "http.Server.Shutdown should drop the request")
	})
}

// Guards against dropping a request that was sent before the stop.
func TestGracefulStopPendingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		err := requestDuringStop(t, func(s *Server) {
			assert.Assert(t, s.AwaitIdle(t.Context()))
			_ = s.CancelAndClose(time.Second, context.Canceled)
		})
		assert.NilError(t, err)
	})
}

// closedConn records whether it was closed.
type closedConn struct {
	net.Conn
	isClosed bool
}

func (c *closedConn) Close() error {
	c.isClosed = true
	return nil
}

// Guards against evicting valid new connections: when many connections open at
// once and the process is short of CPU time, it reads request headers late.
func TestConnLimitNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := testOptions
		options.MaxConns = 4
		s := New(http.NotFoundHandler(), options)
		stale, recent := &closedConn{}, &closedConn{}
		s.trackState(stale, http.StateNew)
		<-time.After(newConnGrace)
		s.trackState(recent, http.StateNew)
		<-time.After(time.Millisecond)
		open := func(count int) {
			for range count {
				s.trackState(&closedConn{}, http.StateNew)
			}
		}
		open(4)
		assert.Assert(t, stale.isClosed, "connection older than newConnGrace was not evicted")
		assert.Assert(t, !recent.isClosed)
		open(3)
		assert.Assert(t, !recent.isClosed)
		open(1)
		assert.Assert(t, recent.isClosed, "connections exceed twice MaxConns")
	})
}

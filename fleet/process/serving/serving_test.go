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

// travel is how long bytes are under way in these tests.
const travel = 200 * time.Millisecond

var testOptions = Options{MaxConns: 1, HeaderBytes: 1 << 10, HeaderTimeout: 5 * time.Second, QuietTime: time.Second}

// slowConn delivers what it reads after travel.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	<-time.After(travel)
	return n, err
}

// pipeListener hands out one connection.
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

// requestDuringStop uses a kept connection once, sends a second request on it
// and stops the server while that is under way. It returns the error of the
// second request.
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
		<-time.After(2 * travel)
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
	<-time.After(travel / 2)
	stop(s)
	return <-result
}

func TestShutdownOfNetHTTPCutsARequestUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		err := requestDuringStop(t, func(s *Server) { _ = s.Shutdown(context.Background()) })
		assert.Assert(t, err != nil, "the request should have been cut")
	})
}

func TestStopWaitsForARequestUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		err := requestDuringStop(t, func(s *Server) {
			assert.Assert(t, s.AwaitQuiet(t.Context()))
			_ = s.End(time.Second, context.Canceled)
		})
		assert.NilError(t, err)
	})
}

// closedConn tells whether it was closed.
type closedConn struct {
	net.Conn
	isClosed bool
}

func (c *closedConn) Close() error {
	c.isClosed = true
	return nil
}

// The load pattern: many connections open at once while the process is short of
// processor time, so that the head of a sound request is read late.
func TestConnectionThatJustOpenedIsSpared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := testOptions
		options.MaxConns = 4
		s := New(http.NotFoundHandler(), options)
		stale, sound := &closedConn{}, &closedConn{}
		s.track(stale, http.StateNew)
		<-time.After(headGrace)
		s.track(sound, http.StateNew)
		<-time.After(time.Millisecond)
		open := func(count int) {
			for range count {
				s.track(&closedConn{}, http.StateNew)
			}
		}
		open(4)
		assert.Assert(t, stale.isClosed, "it had its time to send a head")
		assert.Assert(t, !sound.isClosed)
		open(3)
		assert.Assert(t, !sound.isClosed)
		open(1)
		assert.Assert(t, sound.isClosed, "the number stays bounded")
	})
}

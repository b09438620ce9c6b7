package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/fleet/process/memory"
)

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l oneConn) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l oneConn) Close() error   { return nil }
func (l oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// readPaced returns the result of reading a body of 20 KiB of which pieces arrive at an interval.
func readPaced(t *testing.T, r *Relay, pieces, pieceBytes int, interval time.Duration) (result *failure, c *call) {
	near, far := net.Pipe()
	listener := oneConn{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	listener.conns <- far
	ended := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		defer close(ended)
		c = &call{w: w, r: request, holder: memory.HolderOf(request.Context())}
		result = r.readBody(c, 20<<10)
	})}
	go func() { _ = server.Serve(listener) }()
	go func() { _, _ = io.Copy(io.Discard, near) }()
	_, err := io.WriteString(near, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20480\r\n\r\n")
	assert.NilError(t, err)
	var writer sync.WaitGroup
	writer.Go(func() {
		for range pieces {
			if _, err := io.WriteString(near, strings.Repeat("a", pieceBytes)); err != nil {
				return
			}
			<-time.After(interval)
		}
	})
	<-ended
	near.Close()
	writer.Wait()
	close(listener.done)
	_ = server.Close()
	return result, c
}

// Guards against bodies that hold a connection without an end, and against refusing slow callers
// that are ordinary.
func TestBodyPace(t *testing.T) {
	for name, test := range map[string]struct {
		pieces, bytes int
		interval      time.Duration
		status        int
	}{
		"at once":                 {1, 20 << 10, 0, 0},
		"slow link":               {20, 1 << 10, time.Second, 0},
		"pauses":                  {5, 4 << 10, 4 * time.Second, 0},
		"stops":                   {19, 1 << 10, time.Millisecond, http.StatusRequestTimeout},
		"a few bytes at a time":   {20 << 10, 1, 10 * time.Millisecond, http.StatusRequestTimeout},
		"one byte short of whole": {1, 20<<10 - 1, 0, http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &Relay{options: Options{BodyMemory: 1 << 20}}
				got, c := readPaced(t, r, test.pieces, test.bytes, test.interval)
				if test.status == 0 {
					assert.Assert(t, got == nil, "%+v", got)
					assert.Equal(t, len(c.body), 20<<10)
				} else {
					assert.Equal(t, got.status(false), test.status)
				}
				r.releaseBody(c)
				assert.Equal(t, r.bufferedBodyBytes.Load(), int64(0))
			})
		})
	}
}

// Guards against memory for bytes that are declared and don't arrive, and against a body within
// the limit that takes more than its size.
func TestBodyMemoryFollowsArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Relay{options: Options{BodyMemory: 8 << 10}}
		got, c := readPaced(t, r, 1, 1000, 0)
		assert.Equal(t, got.status(false), http.StatusRequestTimeout)
		assert.Assert(t, c.bodyBytes <= 4<<10, "%d bytes", c.bodyBytes)
		r = &Relay{options: Options{BodyMemory: 20<<10 + 1}}
		got, c = readPaced(t, r, 1, 20<<10, 0)
		assert.Assert(t, got == nil, "%+v", got)
		assert.Equal(t, c.bodyBytes, int64(cap(c.body)))
	})
}

package transport

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// sealableConn counts the bytes written to a connection and can be sealed, which
// prevents further writes. After that the count shows whether a request was sent,
// even if net/http still tries to write it. Its reads tell an end from a reset, and find folded
// lines in responses.
type sealableConn struct {
	net.Conn

	mu             sync.Mutex
	submittedBytes int64
	isSealed       bool
	// isAnswerBegun is set once a byte of the latest response has arrived.
	isAnswerBegun bool
	folds         foldScanner

	// writing is held during a write to the connection.
	writing sync.Mutex
	// isResetOnWrite is set once a write has failed since the peer reset the connection. It is
	// guarded by writing.
	isResetOnWrite bool
	// readEnded is closed once nothing more can be read.
	readEnded chan struct{}
	endRead   func()
	// closed is closed once net/http has closed the connection.
	closed     chan struct{}
	markClosed func()
}

func newSealableConn(conn net.Conn) *sealableConn {
	readEnded, closed := make(chan struct{}), make(chan struct{})
	return &sealableConn{
		Conn:      conn,
		readEnded: readEnded, endRead: sync.OnceFunc(func() { close(readEnded) }),
		closed: closed, markClosed: sync.OnceFunc(func() { close(closed) }),
	}
}

// Read implements net.Conn. An end that a reset brought about is an error.
func (c *sealableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	isReset := errors.Is(err, io.EOF) && c.end().isReset()
	if err != nil {
		c.endRead()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isAnswerBegun = c.isAnswerBegun || n > 0
	c.folds.scan(p[:n])
	switch {
	case isReset && c.isAnswerBegun:
		err = defect{defectEnd, syscall.ECONNRESET.Error()}.record()
	case isReset:
		err = syscall.ECONNRESET
	}
	return n, err
}

// startHead prepares for the response to the request that is written next.
func (c *sealableConn) startHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.folds.start()
	c.isAnswerBegun = false
}

// foldedLine returns the beginning of the first folded line in the head of the latest response, or
// nil.
func (c *sealableConn) foldedLine() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.folds.folded
}

// Write implements net.Conn. Once the peer has reset the connection, it returns only when nothing more
// can be read: net/http closes the connection after a failed write, with what has arrived of an answer
// unread.
func (c *sealableConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.isSealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.submittedBytes += int64(len(p))
	c.mu.Unlock()
	n, err := c.write(p)
	if errors.IsAny(err, syscall.ECONNRESET, syscall.EPIPE) {
		<-c.readEnded
	}
	return n, err
}

func (c *sealableConn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.isResetOnWrite = c.isResetOnWrite || errors.Is(err, syscall.ECONNRESET)
	return n, err
}

// Close implements net.Conn.
func (c *sealableConn) Close() error {
	c.endRead()
	defer c.markClosed()
	return c.Conn.Close()
}

// discard closes the connection and waits until net/http, which may already keep it for the next
// request, has noticed that, or until ctx ends.
func (c *sealableConn) discard(ctx context.Context) {
	_ = c.Conn.Close()
	select {
	case <-c.closed:
	case <-ctx.Done():
	}
}

// writeOffset returns the number of bytes passed to the connection so far.
func (c *sealableConn) writeOffset() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.submittedBytes
}

// seal closes the connection and reports whether any byte was passed to it after
// writeOffset.
func (c *sealableConn) seal(writeOffset int64) bool {
	c.mu.Lock()
	c.isSealed = true
	isWritten := c.submittedBytes != writeOffset
	c.mu.Unlock()
	_ = c.Close()
	return isWritten
}

// ConnTracker tracks the connection that a single request uses. The zero value is
// ready to use.
type ConnTracker struct {
	// MayWrite is asked just before the request is written. If it returns false, the
	// connection is closed instead and nothing is sent. Nil allows every request.
	MayWrite func() bool

	mu          sync.Mutex
	conn        *sealableConn
	writeOffset int64
	isReused    bool
}

// Trace returns ctx with a hook that records the request's connection in t.
func (t *ConnTracker) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := sealable(info.Conn)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.conn, t.writeOffset, t.isReused = conn, conn.writeOffset(), info.Reused
		if t.MayWrite != nil && !t.MayWrite() {
			t.conn.seal(t.writeOffset)
		}
	}})
}

// IsReused reports whether the request's connection carried another request before.
func (t *ConnTracker) IsReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isReused
}

// Abort closes the request's connection, if it got one, and reports whether
// any byte of the request may have been sent.
func (t *ConnTracker) Abort() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.conn.seal(t.writeOffset)
}

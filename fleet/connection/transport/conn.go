package transport

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// sealableConn counts the bytes written to a connection and can be sealed, which
// prevents further writes. After that the count shows whether a request was sent,
// even if net/http still tries to write it. It also finds folded lines in responses.
type sealableConn struct {
	net.Conn

	mu             sync.Mutex
	submittedBytes int64
	isSealed       bool
	folds          foldScanner
}

// Read implements net.Conn.
func (c *sealableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.folds.scan(p[:n])
	return n, err
}

// startHead is called before a request is written.
func (c *sealableConn) startHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.folds.start()
}

// foldedLine returns the beginning of the first folded line in the head of the latest response, or
// nil.
func (c *sealableConn) foldedLine() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.folds.folded
}

// Write implements net.Conn.
func (c *sealableConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.isSealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.submittedBytes += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
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

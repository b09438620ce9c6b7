package serving

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lingerTimeout is how long a connection that the server closes is read from until the
	// caller closes it too. Unread bytes make the kernel reset the connection, which discards
	// what the caller hasn't read of the last response.
	lingerTimeout = time.Second
	// lastReadWindow is how long an idle connection is read from before it is closed.
	lastReadWindow = 20 * time.Millisecond
	// lingerBuffer is the size of the reads meanwhile.
	lingerBuffer = 512
)

// trackedConn is a caller's connection that can be closed between two requests.
//
// Invariant: closeIfIdle closes no connection from which a byte of a request was read.
type trackedConn struct {
	net.Conn
	server *Server
	// hasWritten is set once the server wrote to the connection, isEnded once nobody waits for
	// what was written: the caller closed it, it failed or is to be reset.
	hasWritten, isEnded atomic.Bool
	// isLingering is set once the server closed its half of the connection.
	isLingering atomic.Bool

	mu sync.Mutex
	// hasInput is set if bytes were read since the last response.
	hasInput bool
	// isClosing is set while a blocked read is ended so that the connection closes.
	isClosing bool
	// readDeadline is the one that net/http set last.
	readDeadline time.Time
	// isIdle is set while net/http waits for a further request, and hasIdleDeadline once it has
	// set the deadline for that.
	isIdle, hasIdleDeadline bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && isTimeout(err) && c.extendIfClosing() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.noteInput()
	}
	if err != nil && !isTimeout(err) {
		c.isEnded.Store(true)
	}
	return n, err
}

// extendIfClosing gives the read of a connection that closes as idle another moment: an expired
// deadline hides bytes that have arrived.
func (c *trackedConn) extendIfClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadWindow))
	}
	return c.isClosing
}

func (c *trackedConn) noteInput() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginRequest()
}

// beginRequest is called with mu held.
func (c *trackedConn) beginRequest() {
	c.hasInput, c.isIdle = true, false
	if c.isClosing {
		// A request arrived first.
		c.isClosing = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.hasWritten.Store(true)
	return c.Conn.Write(p)
}

// SetDeadline implements net.Conn.
func (c *trackedConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.isIdle && c.hasIdleDeadline {
		// Bytes of the next request were read with the one before: net/http now sets the
		// deadline for its header.
		c.beginRequest()
	}
	c.hasIdleDeadline = true
	if c.isClosing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// awaitRequest marks the connection as idle.
func (c *trackedConn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasInput, c.isIdle, c.hasIdleDeadline = false, true, false
}

// hasRequest reports whether bytes of a request were read since the last response.
func (c *trackedConn) hasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasInput
}

// closeIfIdle makes net/http close the connection unless bytes of a request have been read: it
// ends the read that waits for one.
func (c *trackedConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasInput || c.isClosing {
		return
	}
	c.isClosing = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetLinger sets what Close does with data not yet sent, as net.TCPConn does. The connection
// is then closed without waiting for the caller.
func (c *trackedConn) SetLinger(seconds int) error {
	c.isEnded.Store(true)
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// CloseWrite lets net/http half-close the connection.
func (c *trackedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. If the caller may still be reading a response, it half-closes the
// connection and closes it once the caller does, within lingerTimeout. On an idle connection,
// a request that crosses the close is not read.
func (c *trackedConn) Close() error {
	half, canHalfClose := c.Conn.(interface{ CloseWrite() error })
	if c.isEnded.Load() || !c.hasWritten.Load() || c.closesAsIdle() || !canHalfClose || half.CloseWrite() != nil {
		return c.Conn.Close()
	}
	if c.isLingering.Swap(true) {
		return nil
	}
	if !c.server.beginLinger(c) {
		return c.Conn.Close()
	}
	go c.linger()
	return nil
}

func (c *trackedConn) closesAsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosing
}

func (c *trackedConn) linger() {
	defer c.server.endLinger(c)
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyBuffer(io.Discard, onlyReader{c.Conn}, make([]byte, lingerBuffer))
	_ = c.Conn.Close()
}

// onlyReader hides the methods with which io.CopyBuffer avoids the buffer.
type onlyReader struct{ io.Reader }

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

package serving

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
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
	// maxWriteTime limits each write to a caller: one that reads slower than that is cut off.
	maxWriteTime = 30 * time.Second
)

// errRefused means that a head exceeded a limit.
var errRefused = errors.New("serving: the request was refused")

// trackedConn is a caller's connection that can be closed between two requests.
//
// Invariants: closeIfIdle closes no connection from which a byte of a request was read, and evict
// none whose request was read completely.
type trackedConn struct {
	net.Conn
	server *Server
	// pool is nil if the server shares no limits with others.
	pool *Pool
	// held are the bytes charged for the connection. hasLeft is set once those of the connection
	// itself are released, isEvicted once it is closed to make room.
	held               atomic.Int64
	hasLeft, isEvicted atomic.Bool
	// isCharged is set once the memory of the connection itself is charged.
	isCharged atomic.Bool
	// isKnown is set once the caller presented the secret of a client account.
	isKnown atomic.Bool
	// moved are the bytes read and written in the current phase.
	moved atomic.Int64
	// writingSince is when the write in progress began, in nanoseconds of Unix time; 0 without one.
	writingSince atomic.Int64
	// behindSince is since when the caller has been reading its response more slowly than that
	// arrives, as Unix time in nanoseconds; 0 if it doesn't. movedBefore is moved at that time.
	behindSince, movedBefore atomic.Int64
	// isReadingBody is set while net/http reads the body.
	isReadingBody atomic.Bool
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
	// writeDeadline is the one that net/http or a handler set last.
	writeDeadline time.Time
	// isIdle is set while net/http waits for a further request, and hasIdleDeadline once it has
	// set the deadline for that.
	isIdle, hasIdleDeadline bool
	// isReadingHead is set until net/http has read a head, phaseAt is when the phase began.
	isReadingHead bool
	phaseAt       time.Time
	head          headScanner
	// headBytes are the bytes charged for the head, or for the part read so far.
	headBytes int64
	// evictedBytes are those held when the connection was closed to make room, and hasReleased is
	// set once they are released.
	evictedBytes int64
	hasReleased  bool
}

func newTrackedConn(accepted net.Conn, server *Server) *trackedConn {
	return &trackedConn{Conn: accepted, server: server, pool: server.options.Pool, isReadingHead: true, phaseAt: time.Now()}
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	if refused := c.chargeConn(); refused != nil {
		return 0, refused
	}
	isReadingHead := c.isAtHead()
	// While a handler runs, net/http reads a single byte to learn of a closed connection.
	c.isReadingBody.Store(!isReadingHead && len(p) > 1)
	n, err := c.Conn.Read(p)
	if n == 0 && isTimeout(err) && c.extendIfClosing() {
		n, err = c.Conn.Read(p)
	}
	c.isReadingBody.Store(false)
	if n > 0 {
		c.moved.Add(int64(n))
		c.noteInput()
		if isReadingHead {
			if refused := c.scanHead(p[:n]); refused != nil {
				return 0, refused
			}
		}
	}
	if n > 0 && c.isEvicted.Load() {
		// What completes a request must not reach net/http: its response couldn't be written.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
	}
	if err != nil && !isTimeout(err) {
		c.isEnded.Store(true)
	}
	return n, err
}

// chargeConn charges the memory of the connection itself before its first read. The listener
// doesn't wait for memory, since others would wait behind.
func (c *trackedConn) chargeConn() error {
	if c.pool == nil || c.isCharged.Load() {
		return nil
	}
	c.mu.Lock()
	c.phaseAt = time.Now()
	c.mu.Unlock()
	if !c.Charge(connBytes) {
		return c.refuseHead("memory", "503 Service Unavailable\r\nRetry-After: 1")
	}
	c.isCharged.Store(true)
	return nil
}

func (c *trackedConn) isAtHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isReadingHead
}

// scanHead charges bytes of a head, and refuses a head that exceeds a limit.
func (c *trackedConn) scanHead(p []byte) error {
	limits := c.server.limits()
	c.mu.Lock()
	before := c.head
	c.head.scan(p)
	after := c.head
	c.mu.Unlock()
	switch {
	case after.bytes > limits.HeaderBytes+headerSlack:
		return c.refuseHead("header bytes", "431 Request Header Fields Too Large")
	case after.fields() > limits.HeaderFields:
		return c.refuseHead("header fields", "431 Request Header Fields Too Large")
	}
	if c.pool == nil {
		return nil
	}
	cost := int64(headByteCost*(after.bytes-before.bytes) + fieldCost*(after.fields()-before.fields()))
	if !c.Charge(cost) {
		return c.refuseHead("memory", "503 Service Unavailable\r\nRetry-After: 1")
	}
	c.mu.Lock()
	c.headBytes += cost
	c.mu.Unlock()
	return nil
}

func (c *trackedConn) refuseHead(reason, response string) error {
	if c.isEvicted.Load() {
		return &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
	}
	if c.pool != nil {
		c.pool.note(reason)
	}
	return c.refuse(response)
}

// releaseHead releases what is charged for a head.
func (c *trackedConn) releaseHead() {
	c.mu.Lock()
	charged := c.headBytes
	c.headBytes = 0
	c.mu.Unlock()
	if charged > 0 {
		c.Release(charged)
	}
}

// endHead records that net/http has read a head.
func (c *trackedConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReadingHead, c.phaseAt = false, time.Now()
	c.moved.Store(0)
}

// extendIfClosing gives the read of a connection that closes as idle another moment: an expired
// deadline hides bytes that have arrived, which happens to a process that was paused.
func (c *trackedConn) extendIfClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isExtended := c.isClosing || c.isIdle && c.hasIdleDeadline
	if isExtended {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadWindow))
	}
	return isExtended
}

func (c *trackedConn) noteInput() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginRequest()
}

// beginRequest is called with mu held.
func (c *trackedConn) beginRequest() {
	if c.isIdle {
		c.phaseAt = time.Now()
	}
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
	now := time.Now()
	c.limitWrite(now.Add(maxWriteTime))
	c.writingSince.Store(now.UnixNano())
	n, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	c.moved.Add(int64(n))
	return n, err
}

// limitWrite sets the deadline of a write if none that is earlier is set.
func (c *trackedConn) limitWrite(limit time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeDeadline.IsZero() || c.writeDeadline.After(limit) {
		_ = c.Conn.SetWriteDeadline(limit)
	}
}

// SetWriteDeadline implements net.Conn.
func (c *trackedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
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
	if !t.IsZero() {
		// The limits in force are those of now; net/http knows those at the start.
		limits := c.server.limits()
		switch {
		case c.isIdle && !c.hasIdleDeadline:
			t = earlier(t, time.Now().Add(limits.IdleTimeout))
		case c.isReadingHead:
			t = earlier(t, time.Now().Add(limits.HeaderTimeout))
		}
	}
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
	c.isReadingHead, c.phaseAt, c.head = true, time.Now(), headScanner{}
	c.moved.Store(0)
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
	c.leave()
	half, canHalfClose := c.Conn.(interface{ CloseWrite() error })
	if c.isEnded.Load() || !c.hasWritten.Load() || c.closesAsIdle() || !canHalfClose || half.CloseWrite() != nil {
		return c.closeNow()
	}
	if c.isLingering.Swap(true) {
		return nil
	}
	if !c.server.beginLinger(c) {
		return c.closeNow()
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
	_ = c.closeNow()
}

// closeNow closes the connection without waiting for the caller.
func (c *trackedConn) closeNow() error {
	err := c.Conn.Close()
	if c.pool != nil {
		c.pool.remove(c)
	}
	return err
}

// onlyReader hides the methods with which io.CopyBuffer avoids the buffer.
type onlyReader struct{ io.Reader }

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

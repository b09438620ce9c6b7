package transport

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// sealableConn counts the bytes written to a connection and can be sealed, which
// prevents further writes. This determines reliably whether a request was sent,
// even while net/http may still be writing it.
type sealableConn struct {
	net.Conn

	mu             sync.Mutex
	submittedBytes int64
	isSealed       bool
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

// mark returns the number of bytes passed to the connection so far.
func (c *sealableConn) mark() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.submittedBytes
}

// seal closes the connection and reports whether any byte was passed to it after mark.
func (c *sealableConn) seal(mark int64) bool {
	c.mu.Lock()
	c.isSealed = true
	isWritten := c.submittedBytes != mark
	c.mu.Unlock()
	_ = c.Close()
	return isWritten
}

// dialSealable returns a dial function whose connections are sealable.
func dialSealable(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &sealableConn{Conn: conn}, nil
	}
}

// ConnTracker tracks the connection that a single request uses. The zero value is
// ready to use.
type ConnTracker struct {
	mu   sync.Mutex
	conn *sealableConn
	mark int64
}

// Trace returns ctx with a hook that records the request's connection in t.
func (t *ConnTracker) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := info.Conn
		if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
			conn = wrapped.NetConn()
		}
		sealable := conn.(*sealableConn)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.conn, t.mark = sealable, sealable.mark()
	}})
}

// Abort closes the request's connection, if it got one, and reports whether
// any byte of the request may have been sent.
func (t *ConnTracker) Abort() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.conn.seal(t.mark)
}

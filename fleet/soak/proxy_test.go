package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"
)

// linkFault is a fault that a proxy injects into its connections.
type linkFault int32

const (
	linkHealthy linkFault = iota
	// linkDelayed delays each read by linkDelay.
	linkDelayed
	// linkBlocked blocks both directions.
	linkBlocked
	// linkRequestsBlocked blocks bytes to the target, linkResponsesBlocked bytes from it.
	linkRequestsBlocked
	linkResponsesBlocked
	linkFaultCount
)

const linkDelay = 80 * time.Millisecond

// proxy forwards TCP connections to a target and injects faults.
type proxy struct {
	address, target string
	fault           atomic.Int32
	// link limits the rate of all responses together; nil means no limit.
	link     *rate.Limiter
	listener net.Listener
	mu       sync.Mutex
	conns    map[*net.TCPConn]struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{address: listener.Addr().String(), target: target, listener: listener, conns: make(map[*net.TCPConn]struct{})}
	go p.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		p.reset()
	})
	return p
}

const (
	// slowLinkRate is the rate of the slowest machines' links, in bytes a second.
	slowLinkRate = 10e6 / 8
	proxyBuffer  = 16 << 10
)

// limit limits the rate of responses, in bytes a second. It must be called before the first
// connection.
func (p *proxy) limit(bytesPerSecond float64) {
	p.link = rate.NewLimiter(rate.Limit(bytesPerSecond), proxyBuffer)
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn.(*net.TCPConn))
	}
}

func (p *proxy) forward(near *net.TCPConn) {
	conn, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	far := conn.(*net.TCPConn)
	p.mu.Lock()
	p.conns[near], p.conns[far] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.copyOneWay(far, near, linkRequestsBlocked)
	p.copyOneWay(near, far, linkResponsesBlocked)
}

// copyOneWay copies in one direction until either side closes. directionFault is
// the fault that blocks only this direction.
func (p *proxy) copyOneWay(to, from *net.TCPConn, directionFault linkFault) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		for {
			fault := linkFault(p.fault.Load())
			if fault != linkBlocked && fault != directionFault {
				break
			}
			<-time.After(20 * time.Millisecond)
			if p.isClosed(from) {
				break
			}
		}
		if linkFault(p.fault.Load()) == linkDelayed {
			<-time.After(linkDelay)
		}
		if n > 0 && p.link != nil && directionFault == linkResponsesBlocked {
			// The limiter returns an error only for more bytes than its burst.
			_ = p.link.WaitN(context.Background(), n)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			_ = to.SetLinger(0)
			break
		}
	}
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
	_ = to.Close()
	_ = from.Close()
}

func (p *proxy) isClosed(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, isOpen := p.conns[conn]
	return !isOpen
}

// reset resets every open connection.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
		delete(p.conns, conn)
	}
}

package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// linkFault is what a proxy does to the bytes of its connections.
type linkFault int32

const (
	linkSound linkFault = iota
	// linkDelayed bytes take linkDelay longer.
	linkDelayed
	// linkSilent bytes are held back in both directions.
	linkSilent
	// linkDeaf and linkMute hold back what goes to the target, or what comes from it.
	linkDeaf
	linkMute
	linkFaults
)

const linkDelay = 80 * time.Millisecond

// proxy carries TCP connections to a target and disturbs them.
type proxy struct {
	address, target string
	fault           atomic.Int32
	listener        net.Listener
	mu              sync.Mutex
	conns           map[*net.TCPConn]struct{}
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

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(conn.(*net.TCPConn))
	}
}

func (p *proxy) carry(near *net.TCPConn) {
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
	go p.pump(far, near, linkDeaf)
	p.pump(near, far, linkMute)
}

// pump copies in one direction until either side ends. held is the fault that
// holds this direction back alone.
func (p *proxy) pump(to, from *net.TCPConn, held linkFault) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for {
			fault := linkFault(p.fault.Load())
			if fault != linkSilent && fault != held {
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

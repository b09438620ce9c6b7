package lab

import (
	"net"
	"sync"
)

// Proxy forwards TCP connections to a target until it is cut.
type Proxy struct {
	Address  string
	target   string
	listener net.Listener
	mu       sync.Mutex
	cond     *sync.Cond
	isCut    bool
	isClosed bool
	conns    []net.Conn
}

// NewProxy starts a proxy on a loopback address. The caller must close it.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), target: target, listener: listener}
	p.cond = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Cut holds back all bytes in both directions, those of new connections too, without a reset.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
}

// Heal ends a cut: held bytes are forwarded.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
	p.cond.Broadcast()
}

// Close closes the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut, p.isClosed = false, true
	p.cond.Broadcast()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, near, far)
		p.mu.Unlock()
		go p.copy(far, near)
		go p.copy(near, far)
	}
}

func (p *Proxy) copy(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		for p.isCut {
			p.cond.Wait()
		}
		p.mu.Unlock()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

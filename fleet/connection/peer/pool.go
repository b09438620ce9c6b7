package peer

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"

	"gentianhead/fleet/connection/frame"
	"gentianhead/fleet/process/telemetry"
)

var (
	// ErrNotSent means that no byte of the call left this process.
	ErrNotSent = errors.New("peer: call not sent")
	// ErrNoAnswer means that the call was sent and no answer came.
	ErrNoAnswer = errors.New("peer: no answer")
	// ErrUnknownCall means that the peer does not know the type of call.
	ErrUnknownCall = errors.New("peer: call not known to the peer")
)

// Pool keeps one connection to each peer that is called. It is safe for
// concurrent use; calls share the connection, and answers find their call by
// its number, so that a late answer is dropped and never taken for another's.
type Pool struct {
	key []byte

	mu     sync.Mutex
	peers  map[string]*client
	closed bool
	onEnd  func(address string)
}

// NewPool returns an empty pool that proves to peers that it holds key.
func NewPool(key []byte) *Pool {
	return &Pool{key: key, peers: make(map[string]*client)}
}

// OnEnd sets what is called, on a goroutine of the pool, after a connection that
// was open has ended. It must be set before the first call.
func (p *Pool) OnEnd(f func(address string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onEnd = f
}

// Call sends question to the peer at address and decodes its answer, for which
// it waits until ctx ends. It returns ErrNotSent, ErrNoAnswer or ErrUnknownCall.
func (p *Pool) Call(ctx context.Context, address string, callType frame.Type, question, answer any) error {
	ctx, span := telemetry.StartChild(ctx, "peer call",
		attribute.String("peer.address", address), attribute.String("peer.type", typeName(callType)))
	defer span.End()
	c, err := p.client(ctx, address)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	return c.call(ctx, callType, question, answer)
}

// client returns the connection to address and opens it if need be. Only one
// caller opens it; the others wait for that.
func (p *Pool) client(ctx context.Context, address string) (*client, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errors.New("peer: pool is closed")
	}
	c, ok := p.peers[address]
	if !ok {
		c = newClient()
		p.peers[address] = c
		go p.open(c, address)
	}
	p.mu.Unlock()
	select {
	case <-c.opened:
		return c, c.openErr
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open dials the peer and then hands out its answers until the connection ends.
func (p *Pool) open(c *client, address string) {
	conn, err := dial(address, p.key)
	c.conn, c.openErr = conn, err
	close(c.opened)
	if err == nil {
		c.receive()
	}
	p.mu.Lock()
	if p.peers[address] == c {
		delete(p.peers, address)
	}
	onEnd := p.onEnd
	p.mu.Unlock()
	if err == nil && onEnd != nil {
		onEnd(address)
	}
}

func dial(address string, key []byte) (*frame.Conn, error) {
	netConn, err := net.DialTimeout("tcp", address, frame.Timeout)
	if err != nil {
		return nil, err
	}
	conn := frame.NewConn(&countedConn{Conn: netConn})
	if err := shakeHands(conn, key, sideClient, sideServer); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// Close closes every connection. Calls in flight end with ErrNoAnswer.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.peers = make(map[string]*client)
	p.mu.Unlock()
	for _, c := range peers {
		<-c.opened
		if c.openErr == nil {
			_ = c.conn.Close()
		}
	}
}

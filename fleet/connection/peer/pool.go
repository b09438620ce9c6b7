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
	// ErrNoAnswer means that the call was sent but not answered.
	ErrNoAnswer = errors.New("peer: no answer")
	// ErrUnknownCall means that the peer has no handler for the call type.
	ErrUnknownCall = errors.New("peer: call type unknown to the peer")
)

// Pool keeps one connection to each called peer. It is safe for concurrent use.
// Calls share the connection; answers are matched by call number, so that a late
// answer is dropped instead of being attributed to another call.
type Pool struct {
	key []byte

	mu           sync.Mutex
	peers        map[string]*client
	closed       bool
	onDisconnect func(address string)
}

// NewPool returns an empty pool that authenticates with key.
func NewPool(key []byte) *Pool {
	return &Pool{key: key, peers: make(map[string]*client)}
}

// OnDisconnect sets the function that is called, on a goroutine of the pool, after
// an open connection has ended. It must be set before the first call.
func (p *Pool) OnDisconnect(f func(address string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onDisconnect = f
}

// Call sends request to the peer at address and decodes its answer. It waits
// until ctx ends. It returns ErrNotSent, ErrNoAnswer, ErrUnknownCall or the error
// of decoding the answer.
func (p *Pool) Call(ctx context.Context, address string, callType frame.Type, request, answer any) error {
	ctx, span := telemetry.StartClientSpan(ctx, "peer call",
		attribute.String("peer.address", address), attribute.String("peer.type", typeName(callType)))
	defer span.End()
	c, err := p.client(ctx, address)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	return c.call(ctx, callType, request, answer)
}

// client returns the connection to address, which it opens if necessary.
// Concurrent callers wait for the same attempt.
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

// open dials the peer and then receives answers until the connection ends.
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
	onDisconnect := p.onDisconnect
	p.mu.Unlock()
	if err == nil && onDisconnect != nil {
		onDisconnect(address)
	}
}

func dial(address string, key []byte) (*frame.Conn, error) {
	netConn, err := net.DialTimeout("tcp", address, frame.Timeout)
	if err != nil {
		return nil, err
	}
	conn := frame.NewConn(&countingConn{Conn: netConn})
	if err := handshake(conn, key, roleClient, roleServer); err != nil {
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

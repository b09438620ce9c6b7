package peer

import (
	"context"
	"net"
	"sync"

	"gentianhead/fleet/connection/frame"
)

// Pool keeps one connection to each peer that is asked. It is safe for
// concurrent use; calls to one peer take turns.
type Pool struct {
	key []byte

	mu    sync.Mutex
	peers map[string]*connection
}

type connection struct {
	mu   sync.Mutex
	conn *frame.Conn
}

// NewPool returns an empty pool that shows key to peers.
func NewPool(key []byte) *Pool {
	return &Pool{key: key, peers: make(map[string]*connection)}
}

// Heartbeat sends a heartbeat to the peer at address and returns the peer's own.
func (p *Pool) Heartbeat(ctx context.Context, address string, heartbeat Heartbeat) (Heartbeat, error) {
	var answer Heartbeat
	err := p.call(ctx, address, typeHeartbeat, heartbeat, typeHeartbeatAnswer, &answer)
	return answer, err
}

// Changes asks the peer at address for the changes after a revision.
func (p *Pool) Changes(ctx context.Context, address string, request ChangesRequest) (ChangesAnswer, error) {
	var answer ChangesAnswer
	err := p.call(ctx, address, typeChangesRequest, request, typeChangesAnswer, &answer)
	return answer, err
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.peers {
		peer.mu.Lock()
		peer.reset()
		peer.mu.Unlock()
		delete(p.peers, address)
	}
}

func (p *Pool) call(ctx context.Context, address string, ask frame.Type, question any, want frame.Type, answer any) error {
	p.mu.Lock()
	peer, ok := p.peers[address]
	if !ok {
		peer = &connection{}
		p.peers[address] = peer
	}
	p.mu.Unlock()
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if err := peer.dial(ctx, address, p.key); err != nil {
		return err
	}
	if _, err := peer.conn.Write(ask, question); err != nil {
		peer.reset()
		return err
	}
	if err := readFrame(peer.conn, want, answer); err != nil {
		peer.reset()
		return err
	}
	return nil
}

func (c *connection) dial(ctx context.Context, address string, key []byte) error {
	if c.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: frame.Timeout}
	netConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	conn := frame.NewConn(netConn)
	if err := shakeHands(conn, key, sideClient, sideServer); err != nil {
		_ = conn.Close()
		return err
	}
	c.conn = conn
	return nil
}

func (c *connection) reset() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

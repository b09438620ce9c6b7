package engine

import (
	"context"
	"fmt"
	"net"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/withdrawal"
	"gentianhead/fleet/connection/transport"
)

// ErrIsolated means that this router has lost contact with the rest of the
// system and must not send new work. The request was not sent.
var ErrIsolated = errors.New("engine: router is isolated")

// Gate decides right before a request is sent whether an endpoint, identified by
// its host:port, may get new work. The control loop implements it; its methods
// are called from request goroutines and must not block.
type Gate interface {
	// Admit returns ErrWithdrawn, ErrIsolated or nil.
	Admit(address string) error
	// Refused reports that the endpoint answered that it is withdrawn.
	Refused(address string)
}

// SetGate makes the client check gate before each request and again after dialing
// a connection for it. It must be called before the first request.
func (c *Client) SetGate(gate Gate) {
	c.gate = gate
	base := c.http.Transport.(*transport.Transport)
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if err := admitNewWork(ctx, gate, address); err != nil {
			_ = conn.Close()
			return nil, err
		}
		return conn, nil
	}
}

// gatedKey is the context key that marks new work. Calls that resume or cancel
// earlier work are sent to withdrawn endpoints too.
type gatedKey struct{}

func admitNewWork(ctx context.Context, gate Gate, address string) error {
	if ctx.Value(gatedKey{}) == nil {
		return nil
	}
	return gate.Admit(address)
}

// admit checks the gate, if there is one, and returns the context to send with.
// Its error wraps ErrNotSent.
func (c *Client) admit(ctx context.Context, request Request) (context.Context, error) {
	if c.gate == nil || request.Ungated {
		return ctx, nil
	}
	if err := c.gate.Admit(withdrawal.AddressOf(request.URL)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return context.WithValue(ctx, gatedKey{}, true), nil
}

// reportRefusal reports to the gate an endpoint that answered that it is withdrawn.
func (c *Client) reportRefusal(requestURL string, err error) {
	if c.gate != nil && errors.Is(err, ErrWithdrawn) {
		c.gate.Refused(withdrawal.AddressOf(requestURL))
	}
}

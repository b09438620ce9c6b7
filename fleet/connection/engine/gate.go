package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/withdrawal"
)

// ErrIsolated means that this router has lost contact with the rest of the
// system and must not send work. The request was not sent.
var ErrIsolated = errors.New("engine: router is isolated")

// Gate decides at the last moment whether an endpoint, named by its host:port,
// may be sent new work. The control loop implements it; its methods are called
// from traffic goroutines and must not block.
type Gate interface {
	// Admit returns ErrWithdrawn, ErrIsolated or nil.
	Admit(address string) error
	// Refused reports that the endpoint answered that it is withdrawn.
	Refused(address string)
}

// UseGate makes the client ask gate before each request and once more when a
// connection had to be opened for it. It must be called before the first request.
func (c *Client) UseGate(gate Gate) {
	c.gate = gate
	transport := c.http.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
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

// gated marks the context of new work. Calls that resume or cancel earlier work
// go to withdrawn endpoints too.
type gated struct{}

func admitNewWork(ctx context.Context, gate Gate, address string) error {
	if ctx.Value(gated{}) == nil {
		return nil
	}
	return gate.Admit(address)
}

// admit asks the gate, if there is one, and returns the context to send with. Its
// error is ErrNotSent too.
func (c *Client) admit(ctx context.Context, request Request) (context.Context, error) {
	if c.gate == nil || request.Ungated {
		return ctx, nil
	}
	if err := c.gate.Admit(withdrawal.AddressOf(request.URL)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return context.WithValue(ctx, gated{}, true), nil
}

// noteRefusal tells the gate of an endpoint that answered that it is withdrawn.
func (c *Client) noteRefusal(requestURL string, err error) {
	if c.gate != nil && errors.Is(err, ErrWithdrawn) {
		c.gate.Refused(withdrawal.AddressOf(requestURL))
	}
}

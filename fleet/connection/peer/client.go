package peer

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"gentianhead/fleet/connection/frame"
)

// client is the calling side of one connection.
type client struct {
	// opened is closed once conn or openErr is set.
	opened  chan struct{}
	conn    *frame.Conn
	openErr error

	writeMu sync.Mutex

	mu         sync.Mutex
	lastNumber uint32
	pending    map[uint32]chan frame.Frame
	isClosed   bool
}

func newClient() *client {
	return &client{opened: make(chan struct{}), pending: make(map[uint32]chan frame.Frame)}
}

func (c *client) call(ctx context.Context, callType frame.Type, request, answer any) error {
	number, answers, ok := c.registerCall()
	if !ok {
		return errors.Mark(errors.New("peer: connection ended"), ErrNotSent)
	}
	defer c.unregisterCall(number)
	c.writeMu.Lock()
	_, err := c.conn.WriteTraced(callType, number, encodeTrace(ctx), request)
	c.writeMu.Unlock()
	if err != nil {
		_ = c.conn.Close()
		return errors.Mark(err, ErrNoAnswer)
	}
	select {
	case f, ok := <-answers:
		return decodeAnswer(f, ok, callType, answer)
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrNoAnswer)
	}
}

func decodeAnswer(f frame.Frame, ok bool, callType frame.Type, answer any) error {
	switch {
	case !ok:
		return ErrNoAnswer
	case f.Type == callType|answerBit|failureBit:
		return ErrUnknownCall
	case f.Type != callType|answerBit:
		return errors.Mark(errors.Newf("peer: answer has unexpected type %d", f.Type), ErrNoAnswer)
	}
	return f.Decode(answer)
}

// registerCall allocates a call number and the channel for its answer.
func (c *client) registerCall() (uint32, chan frame.Frame, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return 0, nil, false
	}
	c.lastNumber++
	answers := make(chan frame.Frame, 1)
	c.pending[c.lastNumber] = answers
	return c.lastNumber, answers, true
}

func (c *client) unregisterCall(number uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

// receive passes each answer to its call until the connection ends.
func (c *client) receive() {
	for {
		f, err := c.conn.Read(IdleTimeout)
		if err != nil {
			break
		}
		c.mu.Lock()
		if answers, ok := c.pending[f.CallNumber]; ok {
			answers <- f
			delete(c.pending, f.CallNumber)
		}
		c.mu.Unlock()
	}
	_ = c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
	for number, answers := range c.pending {
		close(answers)
		delete(c.pending, number)
	}
}

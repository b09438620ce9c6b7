package peer

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"gentianhead/fleet/connection/frame"
)

// client is the asking side of one connection.
type client struct {
	// opened is closed once conn or openErr is set.
	opened  chan struct{}
	conn    *frame.Conn
	openErr error

	writeMu sync.Mutex

	mu      sync.Mutex
	next    uint32
	waiting map[uint32]chan frame.Frame
	ended   bool
}

func newClient() *client {
	return &client{opened: make(chan struct{}), waiting: make(map[uint32]chan frame.Frame)}
}

func (c *client) call(ctx context.Context, callType frame.Type, question, answer any) error {
	number, answers, ok := c.begin()
	if !ok {
		return errors.Mark(errors.New("peer: connection ended"), ErrNotSent)
	}
	defer c.forget(number)
	c.writeMu.Lock()
	_, err := c.conn.WriteTraced(callType, number, encodeTrace(ctx), question)
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
		return errors.Mark(errors.Newf("peer: frame type %d", f.Type), ErrNoAnswer)
	}
	return f.Decode(answer)
}

// begin takes a call number and a place to wait for its answer.
func (c *client) begin() (uint32, chan frame.Frame, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, nil, false
	}
	c.next++
	answers := make(chan frame.Frame, 1)
	c.waiting[c.next] = answers
	return c.next, answers, true
}

func (c *client) forget(number uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, number)
}

// receive hands each answer to its call until the connection ends.
func (c *client) receive() {
	for {
		f, err := c.conn.Read(IdleTimeout)
		if err != nil {
			break
		}
		c.mu.Lock()
		if answers, ok := c.waiting[f.Call]; ok {
			answers <- f
			delete(c.waiting, f.Call)
		}
		c.mu.Unlock()
	}
	_ = c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for number, answers := range c.waiting {
		close(answers)
		delete(c.waiting, number)
	}
}

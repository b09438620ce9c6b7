package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/outcome"
)

const (
	// bodyChunkBytes is how much of a body is read and accounted for at a time.
	bodyChunkBytes = 32 << 10
	// accountShare is the part of the memory for bodies that one client account
	// may hold: one in accountShare.
	accountShare = 4
	// retryMemory is when to come back after the memory for bodies was full.
	retryMemory = time.Second
)

// errNoMemory means that the memory for bodies is full.
var errNoMemory = errors.New("gateway: no memory for the body")

// bodyMemory accounts for the bodies that are held at once. It is safe for
// concurrent use.
type bodyMemory struct {
	limit int64

	mu        sync.Mutex
	used      int64
	byAccount map[string]int64
}

func newBodyMemory(limit int64) *bodyMemory {
	return &bodyMemory{limit: limit, byAccount: make(map[string]int64)}
}

// take reserves n bytes for an account and reports whether there was room.
func (m *bodyMemory) take(account string, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+n > m.limit || m.byAccount[account]+n > m.limit/accountShare {
		return false
	}
	m.used += n
	m.byAccount[account] += n
	return true
}

func (m *bodyMemory) give(account string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	m.byAccount[account] -= n
	if m.byAccount[account] == 0 {
		delete(m.byAccount, account)
	}
}

// readBody reads the body within the limits of size, time and memory.
func (g *Gateway) readBody(x *exchange) *outcome.Problem {
	err := g.readInto(x, http.MaxBytesReader(x.w, x.r.Body, g.options.Limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
		return nil
	case errors.As(err, &tooLarge):
		detail := "the body is above " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
		return notRun(http.StatusRequestEntityTooLarge, outcome.CodeBodyTooLarge, detail).Problem
	case errors.Is(err, errNoMemory):
		return notRun(http.StatusServiceUnavailable, outcome.CodeOverloaded, "too many bodies are being read").after(retryMemory)
	}
	return notRun(http.StatusBadRequest, outcome.CodeBadRequest, "the body did not arrive whole in time").Problem
}

// readInto reads r into x.body and reserves memory for what has arrived, so
// that a body that is announced but does not come holds none.
func (g *Gateway) readInto(x *exchange, r io.Reader) error {
	chunk := make([]byte, min(bodyChunkBytes, bodySize(x.r)+1))
	for {
		n, err := r.Read(chunk)
		if !g.bodies.take(x.account, int64(n)) {
			return errNoMemory
		}
		x.bodyHeld += int64(n)
		x.body = append(x.body, chunk[:n]...)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// bodySize returns the announced size of a body, or bodyChunkBytes.
func bodySize(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return bodyChunkBytes
	}
	return r.ContentLength
}

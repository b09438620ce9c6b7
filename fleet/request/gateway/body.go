package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/outcome"
)

const (
	// bodyChunkBytes is how much of a body is read and reserved at a time.
	bodyChunkBytes = 32 << 10
	// accountShareDivisor limits one client account to 1/accountShareDivisor of
	// the body memory.
	accountShareDivisor  = 4
	retryAfterMemoryFull = time.Second
)

// errBodyMemoryFull means that no body memory is left for the client account.
var errBodyMemoryFull = errors.New("gateway: body memory is full")

// bodyMemory limits the total size of the bodies in memory. It is safe for
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

// reserve adds n bytes to an account's usage if that is within the limits, and
// reports whether it was.
func (m *bodyMemory) reserve(account string, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+n > m.limit || m.byAccount[account]+n > m.limit/accountShareDivisor {
		return false
	}
	m.used += n
	m.byAccount[account] += n
	return true
}

func (m *bodyMemory) release(account string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	m.byAccount[account] -= n
	if m.byAccount[account] == 0 {
		delete(m.byAccount, account)
	}
}

// readBody reads the body within the limits of size, time and memory, or until the process
// stops.
func (g *Gateway) readBody(ctx context.Context, x *exchange) *outcome.Problem {
	controller := http.NewResponseController(x.w)
	ended := make(chan struct{})
	cancelRead := context.AfterFunc(ctx, func() {
		defer close(ended)
		if errors.Is(context.Cause(ctx), ErrStopping) {
			_ = controller.SetReadDeadline(time.Now())
		}
	})
	err := g.readInto(ctx, x, http.MaxBytesReader(x.w, x.r.Body, g.options.Limits.BodyBytes))
	if !cancelRead() {
		// A deadline set later would end the connection's next request.
		<-ended
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = controller.SetReadDeadline(time.Time{})
		return nil
	case errors.Is(context.Cause(ctx), ErrStopping):
		return stoppingProblem()
	case errors.As(err, &tooLarge):
		detail := "the body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
		return notRun(http.StatusRequestEntityTooLarge, outcome.CodeBodyTooLarge, detail).Problem
	case errors.Is(err, errBodyMemoryFull):
		return notRun(http.StatusServiceUnavailable, outcome.CodeOverloaded, "too many bodies are being read").retryAfter(retryAfterMemoryFull)
	}
	return notRun(http.StatusBadRequest, outcome.CodeBadRequest, "the body was not received completely in time").Problem
}

// readInto reads r into x.body. It reserves memory only for received bytes, so
// that a declared body that never arrives uses none.
func (g *Gateway) readInto(ctx context.Context, x *exchange, r io.Reader) error {
	chunk := make([]byte, min(bodyChunkBytes, bodySize(x.r)+1))
	controller := http.NewResponseController(x.w)
	endAt := time.Now().Add(BodyReadTimeout)
	for {
		pauseEnd := time.Now().Add(bodyPauseTimeout)
		if pauseEnd.After(endAt) {
			pauseEnd = endAt
		}
		_ = controller.SetReadDeadline(pauseEnd)
		if errors.Is(context.Cause(ctx), ErrStopping) {
			// The deadline that ends reads at a stop may have been set before this one.
			return ErrStopping
		}
		n, err := r.Read(chunk)
		if !g.bodies.reserve(x.account, int64(n)) {
			return errBodyMemoryFull
		}
		x.reservedBytes += int64(n)
		x.body = append(x.body, chunk[:n]...)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// bodySize returns the declared size of a body, or bodyChunkBytes if unknown.
func bodySize(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return bodyChunkBytes
	}
	return r.ContentLength
}

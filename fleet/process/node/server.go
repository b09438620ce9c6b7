package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"gentianhead/fleet/request/gateway"
)

// idleTimeout closes connections of callers and operators that stay idle.
const idleTimeout = 2 * time.Minute

// server is an HTTP server that knows how long its connections have been idle
// and can cancel the requests in flight.
type server struct {
	*http.Server
	cancel context.CancelCauseFunc
	// maxConns bounds the open connections.
	maxConns int

	mu sync.Mutex
	// idleSince holds the connections that wait for a request.
	idleSince map[net.Conn]time.Time
	// openedAt holds the connections whose first request has not arrived whole.
	openedAt map[net.Conn]time.Time
	// busy holds the connections that carry a request.
	busy map[net.Conn]struct{}
}

// newServer returns a server that holds at most maxConns connections.
func newServer(handler http.Handler, maxConns int) *server {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &server{
		cancel:    cancel,
		maxConns:  maxConns,
		idleSince: make(map[net.Conn]time.Time),
		openedAt:  make(map[net.Conn]time.Time),
		busy:      make(map[net.Conn]struct{}),
	}
	s.Server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: gateway.ReadHeaderTimeout,
		MaxHeaderBytes:    gateway.MaxHeaderBytes,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnState:         s.track,
	}
	return s
}

// track is called by net/http from the connection's goroutine.
func (s *server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(conn)
	switch state {
	case http.StateNew:
		s.openedAt[conn] = time.Now()
		s.makeRoom()
	case http.StateActive:
		s.busy[conn] = struct{}{}
	case http.StateIdle:
		s.idleSince[conn] = time.Now()
	}
}

func (s *server) forget(conn net.Conn) {
	delete(s.idleSince, conn)
	delete(s.openedAt, conn)
	delete(s.busy, conn)
}

// makeRoom closes a connection when there are too many: the one that has been
// idle longest, or else the one that has sent no whole request for longest. An
// idle connection that was used within quietTime is left alone, since a request
// may be under way on it.
func (s *server) makeRoom() {
	if len(s.busy)+len(s.openedAt)+len(s.idleSince) <= s.maxConns {
		return
	}
	victim := oldest(s.idleSince, time.Now().Add(-quietTime))
	if victim == nil {
		victim = oldest(s.openedAt, time.Now())
	}
	if victim != nil {
		s.forget(victim)
		_ = victim.Close()
	}
}

// oldest returns the connection with the earliest time, not after limit.
func oldest(times map[net.Conn]time.Time, limit time.Time) net.Conn {
	var found net.Conn
	for conn, at := range times {
		if !at.After(limit) {
			found, limit = conn, at
		}
	}
	return found
}

// inFlight returns how many connections carry a request or have just opened.
func (s *server) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.busy) + len(s.openedAt)
}

// isQuiet reports whether nothing is in flight and each idle connection has
// been idle for quiet, so that no request can be under way on it any more.
func (s *server) isQuiet(quiet time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, since := range s.idleSince {
		if time.Since(since) < quiet {
			return false
		}
	}
	return len(s.busy)+len(s.openedAt) == 0
}

// awaitQuiet waits until the server is quiet and reports whether it became so
// before ctx ended.
func (s *server) awaitQuiet(ctx context.Context, quiet time.Duration) bool {
	ticker := time.NewTicker(quietPoll)
	defer ticker.Stop()
	for !s.isQuiet(quiet) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return s.isQuiet(quiet)
		}
	}
	return true
}

// end closes the server within limit. Requests still in flight are cancelled
// with the cause gateway.ErrStopping and may write a last answer.
func (s *server) end(limit time.Duration) error {
	s.cancel(gateway.ErrStopping)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := s.Shutdown(ctx)
	if err != nil {
		_ = s.Close()
	}
	return err
}

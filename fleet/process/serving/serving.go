// Package serving runs HTTP servers that know how long their connections have
// been idle, so that a stop cuts off no request.
package serving

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleTimeout closes connections that stay idle.
	idleTimeout = 2 * time.Minute
	// quietPoll is the time between two looks at the connections.
	quietPoll = 20 * time.Millisecond
	// headGrace is how long a connection that has just opened is spared when there
	// are too many: a process short of processor time reads a head late.
	headGrace = 500 * time.Millisecond
)

// Options bound what a server takes. All fields are required.
type Options struct {
	// MaxConns bounds the open connections. Those that opened within headGrace may
	// come to as many again.
	MaxConns int
	// HeaderBytes bounds the head of a request, and HeaderTimeout its arrival.
	HeaderBytes   int
	HeaderTimeout time.Duration
	// QuietTime is how long an idle connection is left alone after its last use,
	// since a request may be under way on it.
	QuietTime time.Duration
}

// Server is an HTTP server that knows how long its connections have been idle
// and can cancel the requests in flight.
type Server struct {
	*http.Server
	cancel  context.CancelCauseFunc
	options Options

	mu sync.Mutex
	// idleSince holds the connections that wait for a request.
	idleSince map[net.Conn]time.Time
	// openedAt holds the connections whose first request has not arrived whole.
	openedAt map[net.Conn]time.Time
	// busy holds the connections that carry a request.
	busy map[net.Conn]struct{}
}

// New returns a server that does not listen yet.
func New(handler http.Handler, options Options) *Server {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &Server{
		cancel:    cancel,
		options:   options,
		idleSince: make(map[net.Conn]time.Time),
		openedAt:  make(map[net.Conn]time.Time),
		busy:      make(map[net.Conn]struct{}),
	}
	s.Server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: options.HeaderTimeout,
		MaxHeaderBytes:    options.HeaderBytes,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnState:         s.track,
	}
	return s
}

// track is called by net/http from the connection's goroutine.
func (s *Server) track(conn net.Conn, state http.ConnState) {
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

func (s *Server) forget(conn net.Conn) {
	delete(s.idleSince, conn)
	delete(s.openedAt, conn)
	delete(s.busy, conn)
}

// makeRoom closes a connection when there are too many: the one that has been
// idle longest, or else the one that has sent no whole request for longest. An
// idle connection that was used within QuietTime is left alone, since a request
// may be under way on it.
func (s *Server) makeRoom() {
	open := len(s.busy) + len(s.openedAt) + len(s.idleSince)
	if open <= s.options.MaxConns {
		return
	}
	now := time.Now()
	victim := oldest(s.idleSince, now.Add(-s.options.QuietTime))
	if victim == nil {
		victim = oldest(s.openedAt, now.Add(-headGrace))
	}
	if victim == nil && open > 2*s.options.MaxConns {
		victim = oldest(s.openedAt, now)
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

// InFlight returns how many connections carry a request or have just opened.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.busy) + len(s.openedAt)
}

// isQuiet reports whether nothing is in flight and each idle connection has been
// idle for QuietTime, so that no request can be under way on it any more.
func (s *Server) isQuiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, since := range s.idleSince {
		if time.Since(since) < s.options.QuietTime {
			return false
		}
	}
	return len(s.busy)+len(s.openedAt) == 0
}

// AwaitQuiet waits until the server is quiet and reports whether it became so
// before ctx ended.
func (s *Server) AwaitQuiet(ctx context.Context) bool {
	ticker := time.NewTicker(quietPoll)
	defer ticker.Stop()
	for !s.isQuiet() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return s.isQuiet()
		}
	}
	return true
}

// End closes the server within limit. Requests still in flight are cancelled
// with cause and may write a last answer.
func (s *Server) End(limit time.Duration, cause error) error {
	s.cancel(cause)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := s.Shutdown(ctx)
	if err != nil {
		_ = s.Close()
	}
	return err
}

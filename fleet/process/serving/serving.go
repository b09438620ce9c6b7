// Package serving provides an HTTP server that tracks the idle time of its
// connections, so that a graceful shutdown drops no request and cuts off no response.
package serving

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"gentianhead/fleet/process/memory"
)

const (
	// idleTimeout closes connections that stay idle.
	idleTimeout = 2 * time.Minute
	// idlePollInterval is the interval at which idle connections are closed during a stop.
	idlePollInterval = 20 * time.Millisecond
	// newConnGrace is how long a new connection is exempt from eviction: a process
	// short of CPU time reads request headers late.
	newConnGrace = 500 * time.Millisecond
	// minFieldBytes is the size of the shortest field with its line end. The maximum number of
	// fields follows from that of bytes, so that a header within its limit is never refused for
	// its fields: the memory that they take is charged.
	minFieldBytes = 4
	// headerSlack is by how much a header may exceed its limit, as in net/http: the request line
	// and bytes of the body that arrive with the header count too.
	headerSlack = 4 << 10
)

// Limits are the limits on callers' requests that may change while the server runs.
type Limits struct {
	HeaderBytes, HeaderFields  int
	HeaderTimeout, IdleTimeout time.Duration
}

// Options sets the limits of a server. Pool, Limits and the reserves are optional, all other
// fields required.
type Options struct {
	// MaxConns is the maximum number of open connections. Connections opened in the
	// last newConnGrace may exceed it, up to twice as many in total.
	MaxConns int
	// HeaderBytes is the maximum size of a request header; HeaderTimeout bounds
	// the time to read it.
	HeaderBytes   int
	HeaderTimeout time.Duration
	// MinIdleTime is how long a connection must be idle before it may be closed:
	// the next request may already have been sent.
	MinIdleTime time.Duration
	// Pool holds the limits that the server shares with others.
	Pool *Pool
	// Limits returns the limits in force; those that are zero, or above the ones here, don't apply.
	Limits func() Limits
	// MemoryReserve is the part of the pool's memory, in bytes, that this server leaves to others.
	MemoryReserve int64
	// ConnReserve is the number of the pool's connections that this server leaves to others.
	ConnReserve int
}

// Server is an HTTP server that tracks the idle time of its connections and can
// cancel the requests in flight.
type Server struct {
	*http.Server
	cancel  context.CancelCauseFunc
	options Options

	mu       sync.Mutex
	listener *listener
	// closesIdle is set once idle connections are to be closed.
	closesIdle bool
	// lingering holds the connections that the callers have yet to close.
	lingering map[*trackedConn]struct{}
	// idleSince holds the connections that wait for a request.
	idleSince map[net.Conn]time.Time
	// openedAt holds the connections whose first request header is incomplete.
	openedAt map[net.Conn]time.Time
	// busy holds the connections with a request in flight.
	busy map[net.Conn]struct{}
}

// New returns a server that isn't listening yet.
func New(handler http.Handler, options Options) *Server {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &Server{
		cancel:    cancel,
		options:   options,
		idleSince: make(map[net.Conn]time.Time),
		openedAt:  make(map[net.Conn]time.Time),
		busy:      make(map[net.Conn]struct{}),
		lingering: make(map[*trackedConn]struct{}),
	}
	s.Server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: options.HeaderTimeout,
		MaxHeaderBytes:    options.HeaderBytes,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       withHolder,
		ConnState:         s.trackState,
	}
	return s
}

// withHolder lets handlers charge memory to the connection.
func withHolder(ctx context.Context, conn net.Conn) context.Context {
	if tracked, ok := conn.(*trackedConn); ok {
		return memory.WithHolder(ctx, tracked)
	}
	return ctx
}

// limits returns the limits in force.
func (s *Server) limits() Limits {
	limits := Limits{HeaderBytes: s.options.HeaderBytes, HeaderTimeout: s.options.HeaderTimeout, IdleTimeout: idleTimeout}
	var current Limits
	if s.options.Limits != nil {
		current = s.options.Limits()
	}
	limits.HeaderBytes = lowerLimit(limits.HeaderBytes, current.HeaderBytes)
	limits.HeaderFields = lowerLimit((limits.HeaderBytes+headerSlack)/minFieldBytes, current.HeaderFields)
	limits.HeaderTimeout = lowerLimit(limits.HeaderTimeout, current.HeaderTimeout)
	limits.IdleTimeout = lowerLimit(limits.IdleTimeout, current.IdleTimeout)
	return limits
}

// lowerLimit returns current if it is a limit below that of the server.
func lowerLimit[T int | time.Duration](own, current T) T {
	if current > 0 && current < own {
		return current
	}
	return own
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(accepting net.Listener) error {
	wrapped := &listener{Listener: accepting, server: s}
	s.mu.Lock()
	s.listener = wrapped
	s.mu.Unlock()
	return s.Server.Serve(wrapped)
}

// StopAccepting refuses new connections. Those that are already established are served.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	accepting := s.listener
	s.mu.Unlock()
	if accepting != nil {
		accepting.stop()
	}
}

// CloseIdle closes, from now on, each connection that has waited for a request for
// MinIdleTime. No connection is closed once a byte of a request has been read from it.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	s.closesIdle = true
	s.mu.Unlock()
	s.closeIdleConns()
}

func (s *Server) closeIdleConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closesIdle {
		return
	}
	limit := time.Now().Add(-s.options.MinIdleTime)
	for _, waiting := range []map[net.Conn]time.Time{s.idleSince, s.openedAt} {
		for waited, since := range waiting {
			if !since.After(limit) {
				closeIfIdle(waited)
			}
		}
	}
}

func closeIfIdle(waiting net.Conn) {
	if tracked, ok := waiting.(*trackedConn); ok {
		tracked.closeIfIdle()
		return
	}
	_ = waiting.Close()
}

// beginLinger reports whether the connection may stay open for its caller: not if too many do.
func (s *Server) beginLinger(c *trackedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lingering) >= s.options.MaxConns {
		return false
	}
	s.lingering[c] = struct{}{}
	return true
}

func (s *Server) endLinger(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lingering, c)
}

// trackState implements http.Server.ConnState.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(conn)
	switch state {
	case http.StateNew:
		s.openedAt[conn] = time.Now()
		s.evictConn()
	case http.StateActive:
		if tracked, ok := conn.(*trackedConn); ok {
			tracked.endHead()
		}
		s.busy[conn] = struct{}{}
	case http.StateIdle:
		if tracked, ok := conn.(*trackedConn); ok {
			tracked.releaseHead()
			tracked.awaitRequest()
		}
		s.idleSince[conn] = time.Now()
	}
}

func (s *Server) forget(conn net.Conn) {
	delete(s.idleSince, conn)
	delete(s.openedAt, conn)
	delete(s.busy, conn)
}

// evictConn closes one connection if there are too many: the longest idle one, or
// else the oldest without a complete request header. It doesn't close connections
// idle for less than MinIdleTime, since a request may already have been sent.
func (s *Server) evictConn() {
	open := len(s.busy) + len(s.openedAt) + len(s.idleSince)
	if open <= s.options.MaxConns {
		return
	}
	now := time.Now()
	if victim := oldest(s.idleSince, now.Add(-s.options.MinIdleTime)); victim != nil {
		s.forget(victim)
		closeIfIdle(victim)
		return
	}
	victim := oldest(s.openedAt, now.Add(-newConnGrace))
	if victim == nil && open > 2*s.options.MaxConns {
		victim = oldest(s.openedAt, now)
	}
	if victim != nil {
		s.forget(victim)
		if tracked, ok := victim.(*trackedConn); ok {
			// Close would wait for the caller of a refused header, and need the lock held here.
			tracked.isEnded.Store(true)
		}
		_ = victim.Close()
	}
}

// oldest returns the connection with the earliest time, not after limit. It leaves out
// those with bytes of a further request.
func oldest(times map[net.Conn]time.Time, limit time.Time) net.Conn {
	var found net.Conn
	for conn, at := range times {
		tracked, ok := conn.(*trackedConn)
		if !at.After(limit) && !(ok && tracked.hasWritten.Load() && tracked.hasRequest()) {
			found, limit = conn, at
		}
	}
	return found
}

// InFlight returns the number of connections that have a request in flight or
// wait for their first request.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.busy) + len(s.openedAt)
}

// ConnCounts are numbers of open connections.
type ConnCounts struct {
	// Busy have a request in flight, Unused wait for their first request, Idle for
	// another one.
	Busy, Unused, Idle int
}

// Conns returns the numbers of open connections.
func (s *Server) Conns() ConnCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ConnCounts{Busy: len(s.busy), Unused: len(s.openedAt), Idle: len(s.idleSince)}
}

// isIdle reports whether no request is in flight, no connection waits for one for less than
// MinIdleTime, and all callers have closed the connections that the server closed. After
// CloseIdle, it reports whether no connection is left.
func (s *Server) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closesIdle && len(s.idleSince) > 0 || s.listener != nil && s.listener.isStopping() {
		return false
	}
	for _, since := range s.idleSince {
		if time.Since(since) < s.options.MinIdleTime {
			return false
		}
	}
	return len(s.busy)+len(s.openedAt)+len(s.lingering) == 0
}

// AwaitIdle waits until no request is in flight and each connection has been
// idle for MinIdleTime or, after CloseIdle, is closed. It returns false if ctx ends first.
func (s *Server) AwaitIdle(ctx context.Context) bool {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for !s.isIdle() {
		s.closeIdleConns()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return s.isIdle()
		}
	}
	return true
}

// Cancel cancels the requests in flight with cause. They may still write a response.
func (s *Server) Cancel(cause error) { s.cancel(cause) }

// CancelAndClose closes the server within limit. Requests still in flight are
// cancelled with cause and may still write a response.
func (s *Server) CancelAndClose(limit time.Duration, cause error) error {
	s.cancel(cause)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := s.Shutdown(ctx)
	if err != nil {
		_ = s.Close()
	}
	return err
}

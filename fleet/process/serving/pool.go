package serving

import (
	"expvar"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gentianhead/core/connection/eviction"
	"gentianhead/fleet/process/memory"
)

const (
	// connBytes is the memory of a connection without a request: its goroutine's stack and the
	// buffers of net/http, which are 4 KiB each.
	connBytes = 20 << 10
	// headByteCost is the memory for a byte of a head, which net/http holds as a line, whose
	// buffer grows by doubling, and as a string. fieldCost is that of a field besides, as an entry of a map with its list of values.
	headByteCost = 3
	fieldCost    = 160
	// smallHolder is the memory of a connection with an ordinary head. Connections that hold more
	// leave a smallReserveDivisor-th of the budget to those that don't, so that a crowd of large
	// heads or bodies doesn't take all memory that becomes available.
	smallHolder         = connBytes + 16<<10
	smallReserveDivisor = 10
	// reliefDivisor is the part of a budget that is made available at once, so that a crowd
	// doesn't cause a decision for each of its connections.
	reliefDivisor = 10
	// reliefInterval is the least time between two decisions on memory.
	reliefInterval = 25 * time.Millisecond
	// minEvictionAge is how long a connection must wait for its caller before it is closed for the
	// sake of another while there is room for more: a new one sends its request in a moment.
	minEvictionAge = 100 * time.Millisecond
	// reliefWait is how long a caller waits for memory that others release, and reliefPoll how
	// often it looks.
	reliefWait = 100 * time.Millisecond
	reliefPoll = 5 * time.Millisecond
	// unreadAfter is how long a write must be blocked until the response counts as unread.
	unreadAfter = time.Second
	// noteInterval is the least time between two log lines.
	noteInterval = time.Second
)

// closedByLimit counts connections closed by a limit, by the limit.
var closedByLimit = expvar.NewMap("serving_closed")

// PoolOptions set the limits of all servers of a process together.
type PoolOptions struct {
	// MaxConns is the number of connections from which on some are closed. Connections that the
	// server has closed and the caller hasn't count too. HardMaxConns is never exceeded.
	MaxConns, HardMaxConns int
	Memory                 *memory.Budget
	Log                    *slog.Logger
}

// Pool holds the connections of several servers, which share its limits. It is safe for
// concurrent use.
type Pool struct {
	options PoolOptions

	mu    sync.Mutex
	conns map[*trackedConn]struct{}
	// relievedAt is when connections were last closed for memory.
	relievedAt time.Time
	// releasing are the bytes held by connections that were closed to make room.
	releasing atomic.Int64

	notes  sync.Mutex
	counts map[string]int
	// isNoting is set while a log line is due.
	isNoting bool
}

// NewPool returns a pool without connections.
func NewPool(options PoolOptions) *Pool {
	return &Pool{options: options, conns: make(map[*trackedConn]struct{}), counts: make(map[string]int)}
}

// Conns returns the number of open connections.
func (p *Pool) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Memory returns the bytes charged for all connections.
func (p *Pool) Memory() int64 { return p.options.Memory.Used() }

// Budget returns the bytes that may be charged.
func (p *Pool) Budget() int64 { return p.options.Memory.Limit() }

// add admits a new connection, and reports whether there is room for it.
func (p *Pool) add(c *trackedConn) bool {
	p.mu.Lock()
	if len(p.conns) >= p.options.MaxConns {
		p.evict(eviction.Need{Conns: max(1, p.options.MaxConns/(2*reliefDivisor)), MinAge: minEvictionAge}, "connections")
	}
	hardMax := p.options.HardMaxConns - c.server.options.ConnReserve
	if len(p.conns) >= hardMax {
		p.evict(eviction.Need{Conns: 1}, "connections")
	}
	isFull := len(p.conns) >= hardMax
	if !isFull {
		p.conns[c] = struct{}{}
	}
	p.mu.Unlock()
	if isFull {
		p.note("connections")
	}
	return !isFull
}

func (p *Pool) remove(c *trackedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// charge charges n bytes for a connection, after others were closed if necessary.
func (p *Pool) charge(c *trackedConn, n int64) bool {
	reserve := c.server.options.MemoryReserve
	if c.held.Load()+n > smallHolder {
		reserve += p.options.Memory.Limit() / smallReserveDivisor
	}
	if p.options.Memory.Charge(n, reserve) {
		return true
	}
	for deadline := time.Now().Add(reliefWait); !c.isEvicted.Load() && time.Now().Before(deadline); {
		p.relieve(n)
		if p.options.Memory.Charge(n, reserve) {
			return true
		}
		<-time.After(reliefPoll)
	}
	return false
}

// relieve closes connections so that n bytes and a part of the budget become available.
func (p *Pool) relieve(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.relievedAt) < reliefInterval {
		return
	}
	p.relievedAt = now
	// What closed connections hold is released once their goroutines end.
	need := n + p.options.Memory.Limit()/reliefDivisor - p.releasing.Load()
	if need > 0 {
		p.evict(eviction.Need{Bytes: need}, "memory")
	}
}

// evict closes connections. It is called with mu held.
func (p *Pool) evict(need eviction.Need, reason string) {
	now := time.Now()
	conns := make([]*trackedConn, 0, len(p.conns))
	states := make([]eviction.Connection, 0, len(p.conns))
	for c := range p.conns {
		conns, states = append(conns, c), append(states, c.state(now))
	}
	for _, i := range eviction.Choose(states, need) {
		if states[i].Phase == eviction.Idle {
			// A request that arrives meanwhile is served.
			conns[i].closeIfIdle()
			p.note(reason)
			continue
		}
		if conns[i].evict() {
			delete(p.conns, conns[i])
			p.note(reason)
		}
	}
}

// note counts a connection that a limit closed, and logs the counts at most once in noteInterval.
func (p *Pool) note(reason string) {
	closedByLimit.Add(reason, 1)
	p.notes.Lock()
	defer p.notes.Unlock()
	p.counts[reason]++
	if !p.isNoting {
		p.isNoting = true
		time.AfterFunc(noteInterval, p.logCounts)
	}
}

func (p *Pool) logCounts() {
	p.notes.Lock()
	counts := p.counts
	p.counts, p.isNoting = make(map[string]int), false
	p.notes.Unlock()
	p.options.Log.Warn("Connections were closed by limits.", "counts", counts, "connections", p.Conns(), "memory", p.Memory(), "budget", p.options.Memory.Limit())
}

// Charge implements memory.Holder.
func (c *trackedConn) Charge(n int64) bool {
	if c.pool == nil {
		return true
	}
	if c.isEvicted.Load() || !c.pool.charge(c, n) {
		return false
	}
	c.held.Add(n)
	return true
}

// Release implements memory.Holder.
func (c *trackedConn) Release(n int64) {
	if c.pool != nil {
		c.held.Add(-n)
		c.pool.options.Memory.Release(n)
	}
}

// MarkKnown implements memory.Holder.
func (c *trackedConn) MarkKnown() { c.isKnown.Store(true) }

// SetBehind implements memory.Holder.
func (c *trackedConn) SetBehind(isBehind bool) {
	if !isBehind {
		c.behindSince.Store(0)
		return
	}
	c.movedBefore.Store(c.moved.Load())
	c.behindSince.Store(time.Now().UnixNano())
}

// leave releases what is held for the connection itself. Bodies are released by their handlers.
func (c *trackedConn) leave() {
	if c.pool == nil || c.hasLeft.Swap(true) {
		return
	}
	c.releaseHead()
	if c.isCharged.Load() {
		c.Release(connBytes)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasReleased = true
	c.pool.releasing.Add(-c.evictedBytes)
}

// state returns the state of the connection for a decision.
func (c *trackedConn) state(now time.Time) eviction.Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateLocked(now)
}

// stateLocked is state with mu held.
func (c *trackedConn) stateLocked(now time.Time) eviction.Connection {
	s := eviction.Connection{Held: c.held.Load(), For: now.Sub(c.phaseAt), Moved: c.moved.Load(), IsKnown: c.isKnown.Load()}
	writingSince, behindSince := c.writingSince.Load(), c.behindSince.Load()
	switch {
	case c.isLingering.Load():
		s.Phase = eviction.Closing
	case c.isIdle && (c.isClosing || s.For < c.server.options.MinIdleTime):
		// It closes soon, or its next request may already have been sent.
		s.Phase = eviction.Busy
	case c.isIdle:
		s.Phase = eviction.Idle
	case c.isReadingHead && c.head.isEnded:
		// net/http is about to pass the request on.
		s.Phase = eviction.Busy
	case c.isReadingHead:
		s.Phase = eviction.Head
	case writingSince > 0 && now.Sub(time.Unix(0, writingSince)) >= unreadAfter:
		s.Phase, s.For, s.Moved = eviction.Unread, now.Sub(time.Unix(0, writingSince)), 0
	case behindSince > 0:
		s.Phase, s.For, s.Moved = eviction.Unread, now.Sub(time.Unix(0, behindSince)), max(0, s.Moved-c.movedBefore.Load())
	case c.isReadingBody.Load():
		s.Phase = eviction.Body
	default:
		s.Phase = eviction.Busy
	}
	return s
}

// evict closes the connection at once, and reports whether it did: not if its request has become
// complete since the decision.
func (c *trackedConn) evict() bool {
	if !c.markEvicted() {
		return false
	}
	if c.behindSince.Load() > 0 || c.writingSince.Load() > 0 {
		// The kernel would hold what the caller doesn't read.
		_ = c.SetLinger(0)
	}
	c.isEnded.Store(true)
	_ = c.Conn.Close()
	return true
}

func (c *trackedConn) markEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stateLocked(time.Now()).Phase == eviction.Busy || c.isEvicted.Swap(true) {
		return false
	}
	if !c.hasReleased {
		c.evictedBytes = c.held.Load()
		c.pool.releasing.Add(c.evictedBytes)
	}
	return true
}

// refuse writes a response before net/http has read the request, which has not run, and returns
// the error with which net/http closes the connection without another response.
func (c *trackedConn) refuse(response string) error {
	c.hasWritten.Store(true)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(reliefWait))
	_, _ = c.Conn.Write([]byte("HTTP/1.1 " + response + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	return &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
}

package relay

import (
	"context"
	"expvar"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/connection/backlog"
	"gentianhead/core/request/balance"
	"gentianhead/core/request/breaker"
	"gentianhead/fleet/connection/sse"
	"gentianhead/fleet/process/boottime"
)

const (
	// behindAfter is how long a write must be blocked until the endpoint's events are read and
	// held meanwhile. It is well under the 200 ms by which an event may be late, and long enough
	// that a caller that reads in time needs no second goroutine.
	behindAfter = 20 * time.Millisecond
	// maxHeldResponse limits what is held for a response, and accountDivisor is the part of the
	// limit for the process that one client account may use.
	maxHeldResponse = 256 << 10
	accountDivisor  = 4
	// heldDivisor is the part of the memory for bodies that is held for slow callers at most, if
	// the options name no limit.
	heldDivisor = 2
	// chunkBytes is the unit in which memory for events is taken.
	chunkBytes = 8 << 10
	// roomPoll is how often a response at its limit asks again for room.
	roomPoll = 50 * time.Millisecond
	// deadlineSlack is by how much the deadline of a write may exceed writeTimeout, so that it is
	// not set for each event.
	deadlineSlack = time.Second
	// slowLogInterval is the least time between two log lines on responses that were ended.
	slowLogInterval = time.Second
)

var (
	// heldBytes are the bytes held for callers that read slowly, and behind is the number of
	// their responses.
	heldBytes = expvar.NewInt("relay_held_bytes")
	behind    = expvar.NewInt("relay_behind")
	// endedSlow counts responses ended since their callers read too slowly, by the limit.
	endedSlow = expvar.NewMap("relay_ended_slow")
	// forwardedUnheld counts whole responses that were forwarded as they arrived for lack of memory.
	forwardedUnheld = expvar.NewInt("relay_forwarded_unheld")
)

var (
	errEndedSlow  = errors.New("the caller reads too slowly")
	errCallerLeft = errors.New("the caller left")
)

// The phases of an eventStream.
const (
	// phaseReading: the handler reads events.
	phaseReading int32 = iota
	// phaseWriting: the handler writes an event that it read.
	phaseWriting
	// phaseHeld: another goroutine reads events, and the handler writes those that are held.
	phaseHeld
)

// eventStream forwards the events of one response. The handler's goroutine reads each event and
// writes it. Once a write has been blocked for behindAfter, the timer's goroutine reads and holds
// events until the handler has written all of them and waits for the next one.
//
// Invariants: only the goroutine that reads events uses events, isContinued, hasEvent, and the
// position and progress of the call; only the handler's goroutine writes. The other goroutine has
// ended when close returns.
type eventStream struct {
	relay      *Relay
	ctx        context.Context
	c          *call
	placement  *balance.Placement
	response   *http.Response
	controller *http.ResponseController
	events     *sse.Reader
	// isContinued is set once it is known that the response goes on where the one before ended.
	// hasEvent is set once the first event is recorded.
	isContinued, hasEvent bool
	// deadline is the write deadline that was set last.
	deadline time.Time
	phase    atomic.Int32
	// timer calls holdEvents; nil until the first write. hasFired is set once it did.
	timer    *time.Timer
	hasFired bool

	mu sync.Mutex
	// chunks are held for the caller, without the one that is being written.
	chunks [][]byte
	// isReadingAhead is set while the other goroutine reads, isWaiting while the handler waits for it.
	isReadingAhead, isWaiting bool
	// handedOver is an event that was read for the waiting handler.
	handedOver sse.Event
	// last is the result after all events.
	last *result
	// stopped is why nothing more is written, or nil.
	stopped error
	// entry is known to the bounds from when the caller fell behind until it caught up. charged
	// are the bytes charged to the holder.
	entry   *backlog.Response
	charged int64
	// ready wakes the handler, and room the other goroutine, which closes done at its end.
	ready, room, done chan struct{}
}

// eventStreams holds streams that have ended and whose timer never called.
var eventStreams = sync.Pool{New: func() any { return &eventStream{events: sse.NewReader(nil)} }}

func (r *Relay) newEventStream(ctx context.Context, c *call, placement *balance.Placement, response *http.Response) *eventStream {
	s := eventStreams.Get().(*eventStream)
	s.relay, s.ctx, s.c, s.placement, s.response = r, ctx, c, placement, response
	s.controller = http.NewResponseController(c.w)
	s.events.Reset(response.Body)
	s.isContinued, s.hasEvent, s.deadline = !c.isCommitted, false, time.Time{}
	return s
}

// forward writes an event. It returns the result if the stream has ended.
func (s *eventStream) forward(event sse.Event) *result {
	isLast := !s.events.HasBufferedEvent()
	s.renewDeadline()
	s.phase.Store(phaseWriting)
	if s.timer == nil {
		s.timer = time.AfterFunc(behindAfter, s.holdEvents)
	} else {
		s.timer.Reset(behindAfter)
	}
	err := s.write(event.Raw, isLast)
	s.hasFired = !s.timer.Stop() || s.hasFired
	if !s.phase.CompareAndSwap(phaseWriting, phaseReading) {
		return s.writeHeld(err, isLast)
	}
	if err != nil {
		return s.writeErrorResult(err)
	}
	return nil
}

// renewDeadline sets the deadline of the next write. It reports false if nothing may be written.
func (s *eventStream) renewDeadline() bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped != nil {
		return false
	}
	if s.deadline.Sub(now) < writeTimeout {
		s.deadline = now.Add(writeTimeout + deadlineSlack)
		_ = s.controller.SetWriteDeadline(s.deadline)
	}
	return true
}

func (s *eventStream) write(p []byte, shouldFlush bool) error {
	if _, err := s.c.w.Write(p); err != nil {
		return err
	}
	if shouldFlush {
		return s.controller.Flush()
	}
	return nil
}

// writeHeld writes the events that are held. It returns nil once the caller has caught up and
// the handler reads again.
func (s *eventStream) writeHeld(err error, isFlushed bool) *result {
	for {
		if err != nil {
			return s.writeErrorResult(err)
		}
		if s.c.r.Context().Err() != nil {
			canceled := canceledResult(s.c.r.Context())
			return &canceled
		}
		if !s.renewDeadline() {
			return s.writeErrorResult(nil)
		}
		s.mu.Lock()
		var chunk []byte
		if len(s.chunks) > 0 {
			chunk = s.chunks[0]
			s.chunks[0] = nil
			s.chunks = s.chunks[1:]
		}
		isEmpty, last := len(s.chunks) == 0, s.last
		isHandedOver := !s.isReadingAhead && last == nil
		s.isWaiting = chunk == nil && isFlushed && last == nil && !isHandedOver
		isWaiting := s.isWaiting
		s.mu.Unlock()
		switch {
		case chunk != nil:
			err = s.write(chunk, isEmpty)
			isFlushed = isEmpty
			s.relay.holding.deliver(s.entry, int64(cap(chunk)))
			s.release(int64(cap(chunk)))
			notify(s.room)
		case !isFlushed:
			err = s.controller.Flush()
			isFlushed = true
		case last != nil:
			return last
		case isHandedOver:
			s.endHolding()
			s.phase.Store(phaseReading)
			return nil
		case isWaiting:
			<-s.ready
		}
	}
}

// writeErrorResult returns the result for a write that failed or, if err is nil, wasn't made.
func (s *eventStream) writeErrorResult(err error) *result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		err = s.stopped
	}
	f := newFailure(kindCallerGone, "writing to the caller failed")
	if errors.Is(s.stopped, errEndedSlow) {
		f = newFailure(kindSlowReader, "the caller read its response too slowly")
	}
	return &result{failure: f.withCause(err), mayHaveRun: true, isFinal: true, breakerOutcome: breaker.Neutral}
}

// holdEvents reads events and holds them for the caller while the handler writes.
func (s *eventStream) holdEvents() {
	s.mu.Lock()
	if !s.phase.CompareAndSwap(phaseWriting, phaseHeld) {
		s.mu.Unlock()
		return
	}
	if s.ready == nil {
		s.ready, s.room = make(chan struct{}, 1), make(chan struct{}, 1)
	}
	done := make(chan struct{})
	s.done, s.isReadingAhead = done, true
	s.entry = s.relay.holding.begin(s)
	s.mu.Unlock()
	defer close(done)
	s.c.holder.SetBehind(true)
	s.events.Detach()
	for s.holdNext() {
	}
}

// holdNext reads an event and holds it. It returns false if the handler reads the next one.
func (s *eventStream) holdNext() bool {
	event, last := s.next()
	if last == nil && !s.mayHandOver(event) {
		if s.hold(event.Raw) {
			return true
		}
		last = s.writeErrorResult(nil)
		if s.ctx.Err() != nil {
			canceled := canceledResult(s.ctx)
			last = &canceled
		}
	}
	if last != nil && last.failure == nil {
		// The endpoint is free, although the caller isn't done.
		s.relay.options.Balancer.recordResult(s.placement, last.breakerOutcome)
		last.isRecorded = true
	}
	if err := s.c.r.Context().Err(); err != nil && !isStopped(s.c.r.Context()) {
		s.stop(errCallerLeft)
	}
	s.mu.Lock()
	s.last, s.isReadingAhead = last, false
	s.mu.Unlock()
	notify(s.ready)
	return false
}

// mayHandOver gives an event to the handler if that waits for one.
func (s *eventStream) mayHandOver(event sse.Event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isWaiting {
		s.handedOver = event
	}
	return s.isWaiting
}

// hold copies an event into memory charged for it, and reports whether the stream goes on.
func (s *eventStream) hold(raw []byte) bool {
	if s.holdInLastChunk(raw) {
		return true
	}
	n := int64(max(chunkBytes, len(raw)))
	for !s.relay.holding.hold(s.entry, n) {
		if s.isStopped() {
			return false
		}
		select {
		case <-s.room:
		case <-time.After(roomPoll):
		case <-s.ctx.Done():
			return false
		}
	}
	if !s.c.holder.Charge(n) {
		s.relay.holding.endForMemory(s)
		return false
	}
	chunk := append(make([]byte, 0, n), raw...)
	s.mu.Lock()
	s.charged += n
	s.chunks = append(s.chunks, chunk)
	s.mu.Unlock()
	notify(s.ready)
	return true
}

func (s *eventStream) holdInLastChunk(raw []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.chunks) - 1
	if last < 0 || cap(s.chunks[last])-len(s.chunks[last]) < len(raw) {
		return false
	}
	s.chunks[last] = append(s.chunks[last], raw...)
	return true
}

func (s *eventStream) release(n int64) {
	s.mu.Lock()
	s.charged -= n
	s.mu.Unlock()
	s.c.holder.Release(n)
}

// stop makes the handler write nothing more, and ends a write that is blocked. The handler must
// not have returned.
func (s *eventStream) stop(reason error) {
	s.mu.Lock()
	if s.stopped == nil {
		s.stopped = reason
		_ = s.controller.SetWriteDeadline(time.Now())
	}
	s.mu.Unlock()
	notify(s.room)
	notify(s.ready)
}

func (s *eventStream) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped != nil
}

// endHolding waits for the other goroutine, which must have been told to end.
func (s *eventStream) endHolding() {
	<-s.done
	s.relay.holding.end(s.entry)
	s.c.holder.SetBehind(false)
	s.release(s.charged)
}

// close ends the other goroutine and releases what is held.
func (s *eventStream) close() {
	if s.phase.Load() == phaseHeld {
		s.mu.Lock()
		isReadingAhead := s.isReadingAhead
		if s.stopped == nil {
			s.stopped = errCallerLeft
		}
		s.mu.Unlock()
		if isReadingAhead {
			_ = s.response.Body.Close()
		}
		notify(s.room)
		s.endHolding()
	}
	if !s.hasFired {
		s.relay, s.ctx, s.c, s.placement, s.response, s.controller = nil, nil, nil, nil, nil, nil
		s.events.Reset(nil)
		eventStreams.Put(s)
	}
}

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// holding keeps what is held for slow callers within the bounds of core/connection/backlog.
type holding struct {
	log *slog.Logger

	mu      sync.Mutex
	core    *backlog.Core
	streams map[*backlog.Response]*eventStream
	// counts are the responses ended since the last log line, which is due if isNoting is set.
	counts   map[backlog.Reason]int
	isNoting bool
}

func newHolding(limit int64, log *slog.Logger) *holding {
	return &holding{
		log:     log,
		core:    backlog.New(backlog.Limits{Response: maxHeldResponse, Account: limit / accountDivisor, Process: limit}),
		streams: make(map[*backlog.Response]*eventStream),
		counts:  make(map[backlog.Reason]int),
	}
}

func (h *holding) begin(s *eventStream) *backlog.Response {
	h.mu.Lock()
	defer h.mu.Unlock()
	behind.Add(1)
	entry := h.core.Begin(boottime.Now(), s.c.accountName())
	h.streams[entry] = s
	return entry
}

func (h *holding) hold(entry *backlog.Response, n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.core.Held()
	decision := h.core.Hold(boottime.Now(), entry, n)
	for _, ended := range decision.Ended {
		if s := h.streams[ended]; s != nil {
			s.stop(errEndedSlow)
		}
		h.note(decision.Reason)
	}
	heldBytes.Add(h.core.Held() - before)
	return decision.IsHeld
}

// memoryLimit is the reason for responses ended since the memory for callers is used up.
const memoryLimit backlog.Reason = "memory"

func (h *holding) endForMemory(s *eventStream) {
	s.stop(errEndedSlow)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.note(memoryLimit)
}

func (h *holding) deliver(entry *backlog.Response, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.core.Held()
	h.core.Deliver(boottime.Now(), entry, n)
	heldBytes.Add(h.core.Held() - before)
}

func (h *holding) end(entry *backlog.Response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	behind.Add(-1)
	before := h.core.Held()
	h.core.End(entry)
	heldBytes.Add(h.core.Held() - before)
	delete(h.streams, entry)
}

// note counts an ended response. It is called with mu held.
func (h *holding) note(reason backlog.Reason) {
	endedSlow.Add(string(reason), 1)
	h.counts[reason]++
	if !h.isNoting {
		h.isNoting = true
		time.AfterFunc(slowLogInterval, h.logCounts)
	}
}

func (h *holding) logCounts() {
	h.mu.Lock()
	counts, held, streams := h.counts, h.core.Held(), len(h.streams)
	h.counts, h.isNoting = make(map[backlog.Reason]int), false
	h.mu.Unlock()
	h.log.Warn("Responses were ended since their callers read too slowly.", "counts", counts, "held", held, "behind", streams)
}

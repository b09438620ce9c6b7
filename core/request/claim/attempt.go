package claim

import (
	"time"

	"gentianhead/core/request/outcome"
)

// phase is what an attempt is about.
type phase int

const (
	// phaseClaim writes the claim row.
	phaseClaim phase = iota
	// phaseLookUp reads the row when there is no endpoint to claim for.
	phaseLookUp
	// phaseSend waits for the endpoint.
	phaseSend
	// phaseRecord writes the answer.
	phaseRecord
	// phaseRelease writes that the holder gave up before it sent a byte.
	phaseRelease
	// phaseRaise writes a raised fencing number.
	phaseRaise
	// phaseOrder waits for the endpoint to accept the raised number.
	phaseOrder
	// phaseSettle writes what is known of a request whose sender failed.
	phaseSettle
	// phaseOrphan looks for a claim whose write was lost, after the caller was answered.
	phaseOrphan
	// phaseDone has nothing left to do.
	phaseDone
)

// awaited is what the attempt waits for; any other event is ignored.
type awaited int

const (
	awaitNothing awaited = iota
	awaitWrite
	awaitRead
	awaitSend
	awaitFence
	awaitWake
)

// write is the compare-and-set that is under way.
type write struct {
	row     Row
	version uint64
	tries   int
}

// Attempt is one ask of a caller. It is not safe for concurrent use.
type Attempt struct {
	request Request
	phase   phase
	awaited awaited
	write   write
	// isUncertain says that a try of the claim write may still take effect.
	isUncertain bool
	isReplied   bool
	rounds      int
	startedAt   time.Time
	// writeUntil bounds the tries after the caller was answered.
	writeUntil time.Time
	writeWait  time.Duration
	ready      []Action
}

// New returns an attempt; the event Started begins it.
func New(request Request) *Attempt {
	return &Attempt{request: request}
}

// Ready returns what is to be done since the last call.
func (a *Attempt) Ready() []Action {
	ready := a.ready
	a.ready = nil
	return ready
}

// IsDone reports that the attempt expects no event any more.
func (a *Attempt) IsDone() bool {
	return a.phase == phaseDone
}

// Step takes an event that happened at a time of the router's own clock. An
// event that nothing asked for, such as a second answer, has no effect.
func (a *Attempt) Step(at time.Time, event Event) {
	if _, isDeadline := event.(DeadlinePassed); isDeadline {
		a.passDeadline()
		return
	}
	if !a.isAwaited(event) {
		return
	}
	a.awaited = awaitNothing
	switch e := event.(type) {
	case Started:
		a.start(at)
	case Committed:
		a.written(at, e.Version)
	case Conflicted, Woken:
		a.do(Read{})
	case WriteLost:
		a.isUncertain = true
		a.do(Read{})
	case WriteRefused, ReadFailed:
		a.unwritten(at)
	case RowRead:
		a.read(at, e)
	default:
		a.stepEndpoint(at, event)
	}
}

func (a *Attempt) isAwaited(event Event) bool {
	switch event.(type) {
	case Started:
		return a.startedAt.IsZero()
	case Committed, Conflicted, WriteLost, WriteRefused:
		return a.awaited == awaitWrite
	case RowRead, ReadFailed:
		return a.awaited == awaitRead
	case Answered, NotSent, SendLost:
		return a.awaited == awaitSend
	case Fenced, FenceFailed:
		return a.awaited == awaitFence
	}
	return a.awaited == awaitWake
}

func (a *Attempt) stepEndpoint(at time.Time, event Event) {
	switch e := event.(type) {
	case Answered:
		row := a.write.row
		row.State, row.Answer = StateCompleted, &e.Answer
		a.put(at, phaseRecord, row, a.write.version)
	case NotSent:
		a.release(at)
	case SendLost:
		a.recover(at, a.write.row, a.write.version)
	case Fenced:
		a.settle(at, e)
	case FenceFailed:
		a.reply(unknown(outcome.CodeEndpointFailed, "the endpoint does not tell whether the request ran", RetryInProgress))
		a.phase = phaseDone
	}
}

func (a *Attempt) do(action Action) {
	switch action.(type) {
	case Commit:
		a.awaited = awaitWrite
	case Read:
		a.awaited = awaitRead
	case Send:
		a.awaited = awaitSend
	case Fence:
		a.awaited = awaitFence
	case Wait:
		a.awaited = awaitWake
	}
	a.ready = append(a.ready, action)
}

// reply answers the caller once.
func (a *Attempt) reply(verdict Verdict) {
	if a.isReplied {
		return
	}
	a.isReplied = true
	a.do(Reply{verdict})
}

func (a *Attempt) start(at time.Time) {
	a.startedAt = at
	if a.request.Endpoint == "" {
		a.phase = phaseLookUp
		a.do(Read{})
		return
	}
	a.put(at, phaseClaim, Row{
		State:       StateClaimed,
		Attempt:     a.request.Attempt,
		Holder:      a.request.Holder,
		BodySHA256:  a.request.BodySHA256,
		Endpoint:    a.request.Endpoint,
		EndpointURL: a.request.EndpointURL,
		IsFenced:    a.request.IsFenced,
		Fencing:     1,
		CreatedMs:   at.UnixMilli(),
		Key:         a.request.Key,
	}, 0)
}

// put starts a write of row over the row with this version.
func (a *Attempt) put(at time.Time, next phase, row Row, version uint64) {
	a.phase = next
	a.write = write{row: row, version: version, tries: 1}
	a.writeUntil = at.Add(WriteFor)
	a.writeWait = 0
	a.do(Commit{Row: row, Version: version})
}

// read resolves a write whose fate is not known, and looks at who was faster.
func (a *Attempt) read(at time.Time, e RowRead) {
	switch {
	case a.phase == phaseLookUp && e.Row == nil:
		a.reply(a.refusal(outcome.CodeNoEndpoint, "no live endpoint serves this"))
		a.phase = phaseDone
	case a.phase == phaseLookUp:
		a.meet(at, e)
	case e.Row != nil && isSameWrite(*e.Row, a.write.row):
		a.written(at, e.Version)
	case a.phase == phaseOrphan && e.Row == nil:
		a.waitToWrite(at)
	case a.phase == phaseOrphan:
		a.phase = phaseDone
	case e.Version != a.write.version:
		a.overtaken(at, e)
	case a.write.tries >= maxTries:
		a.unwritten(at)
	default:
		// The same compare-and-set again: of all its tries at most one takes effect.
		a.write.tries++
		a.do(Commit{Row: a.write.row, Version: a.write.version})
	}
}

func isSameWrite(a, b Row) bool {
	return a.State == b.State && a.Attempt == b.Attempt && a.Fencing == b.Fencing
}

// written goes on after the write took effect.
func (a *Attempt) written(at time.Time, version uint64) {
	a.write.version = version
	switch a.phase {
	case phaseClaim:
		a.claimed(at)
	case phaseOrphan:
		a.release(at)
	case phaseRaise:
		a.phase = phaseOrder
		a.do(Fence{EndpointURL: a.write.row.EndpointURL, Fencing: a.write.row.Fencing})
	default:
		a.reply(verdictOf(a.write.row))
		a.phase = phaseDone
	}
}

// claimed sends the request, unless it is late: after a pause others may have
// taken the holder for dead, and a caller is better served by a sure not-run.
func (a *Attempt) claimed(at time.Time) {
	late := at.Sub(a.startedAt)
	if a.isReplied || late > SendWithin || late < 0 {
		a.release(at)
		return
	}
	a.phase = phaseSend
	a.do(Send{Fencing: a.write.row.Fencing})
}

// release writes that nobody runs the request: only the holder sends, and it
// has not and will not.
func (a *Attempt) release(at time.Time) {
	row := a.write.row
	row.State = StateNotRun
	a.put(at, phaseRelease, row, a.write.version)
}

// unwritten goes on when the store does not say that the write took effect.
// What the sender or the endpoint knows is true without it.
func (a *Attempt) unwritten(at time.Time) {
	switch a.phase {
	case phaseClaim, phaseLookUp:
		a.reply(a.refusal(outcome.CodeStoreDown, "the table service is down"))
		if !a.isUncertain {
			a.phase = phaseDone
			return
		}
		a.phase = phaseOrphan
	case phaseRaise:
		a.reply(unknown(outcome.CodeStoreDown, "the table service is down", RetryStoreDown))
	default:
		a.reply(verdictOf(a.write.row))
	}
	a.waitToWrite(at)
}

// waitToWrite asks to be woken for the next try, or gives up.
func (a *Attempt) waitToWrite(at time.Time) {
	if at.After(a.writeUntil) {
		a.phase = phaseDone
		return
	}
	a.write.tries = 1
	a.writeWait = min(max(2*a.writeWait, MinWriteWait), MaxWriteWait)
	a.do(Wait{For: a.writeWait})
}

// overtaken goes on after somebody else wrote the row. What the sender knows
// replaces what others had to leave open, and nothing else.
func (a *Attempt) overtaken(at time.Time, e RowRead) {
	if a.phase != phaseRecord && a.phase != phaseRelease {
		a.meet(at, e)
		return
	}
	a.reply(verdictOf(a.write.row))
	if e.Row == nil || (e.Row.State != StateFencing && e.Row.State != StateUnknown) {
		a.phase = phaseDone
		return
	}
	row := a.write.row
	row.Fencing = e.Row.Fencing
	a.put(at, a.phase, row, e.Version)
}

// passDeadline answers the caller with what is certain; the work goes on.
func (a *Attempt) passDeadline() {
	switch a.phase {
	case phaseClaim, phaseLookUp:
		a.reply(a.refusal(outcome.CodeDeadline, "the deadline passed before the request was claimed"))
	case phaseRecord, phaseRelease, phaseSettle:
		a.reply(verdictOf(a.write.row))
	default:
		a.reply(unknown(outcome.CodeDeadline, "the deadline passed while the request ran", RetryInProgress))
	}
}

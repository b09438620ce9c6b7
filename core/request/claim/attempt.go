package claim

import (
	"time"

	"gentianhead/core/request/outcome"
)

// phase is the state of an attempt.
type phase int

const (
	// phaseClaim writes the claim row.
	phaseClaim phase = iota
	// phaseLookUp reads the row if no endpoint is live.
	phaseLookUp
	// phaseSend waits for the endpoint's response.
	phaseSend
	// phaseRecord writes the answer.
	phaseRecord
	// phaseRelease writes not-run, because the holder did not send the request.
	phaseRelease
	// phaseRaiseFencing writes a raised fencing number.
	phaseRaiseFencing
	// phaseFence waits for the endpoint to accept the raised number.
	phaseFence
	// phaseSettle writes the outcome of a request whose sender failed.
	phaseSettle
	// phaseOrphanedClaim looks for an orphaned claim: its write may have taken effect
	// after the caller got its reply.
	phaseOrphanedClaim
	phaseDone
)

// awaited is the kind of event the attempt waits for; others are ignored.
type awaited int

const (
	awaitNothing awaited = iota
	awaitWrite
	awaitRead
	awaitSend
	awaitFence
	awaitWait
)

// write is the compare-and-set in flight.
type write struct {
	row     Row
	version uint64
	tries   int
}

// Attempt is the state machine of one call. It is not safe for concurrent use.
type Attempt struct {
	request Request
	phase   phase
	awaited awaited
	write   write
	// isClaimUncertain is set if a try of the claim write may still take effect.
	isClaimUncertain bool
	hasReplied       bool
	conflicts        int
	startedAt        time.Time
	// writeDeadline is when tries of the write after the reply end.
	writeDeadline time.Time
	writeBackoff  time.Duration
	ready         []Action
}

// New returns an attempt, which the event Started begins.
func New(request Request) *Attempt {
	return &Attempt{request: request}
}

// Ready returns the actions added since the last call.
func (a *Attempt) Ready() []Action {
	ready := a.ready
	a.ready = nil
	return ready
}

// IsDone reports whether the attempt expects no further events.
func (a *Attempt) IsDone() bool {
	return a.phase == phaseDone
}

// Step handles an event that happened at a time of the router's own clock. An
// event that the attempt does not wait for, such as a second answer, has no effect.
func (a *Attempt) Step(at time.Time, event Event) {
	if _, isDeadline := event.(DeadlinePassed); isDeadline {
		a.onDeadline()
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
		a.onWritten(at, e.Version)
	case Conflicted, WaitElapsed:
		a.emit(Read{})
	case WriteLost:
		a.isClaimUncertain = true
		a.emit(Read{})
	case WriteRefused, ReadFailed:
		a.onWriteFailed(at)
	case RowRead:
		a.onRowRead(at, e)
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
	return a.awaited == awaitWait
}

func (a *Attempt) stepEndpoint(at time.Time, event Event) {
	switch e := event.(type) {
	case Answered:
		row := a.write.row
		row.State, row.Answer = StateCompleted, &e.Answer
		a.startWrite(at, phaseRecord, row, a.write.version)
	case NotSent:
		a.release(at)
	case SendLost:
		a.startRecovery(at, a.write.row, a.write.version)
	case Fenced:
		a.onFenced(at, e)
	case FenceFailed:
		a.reply(unknownResult(outcome.CodeEndpointFailed, "the endpoint did not report whether the request ran", RetryInProgress))
		a.phase = phaseDone
	}
}

func (a *Attempt) emit(action Action) {
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
		a.awaited = awaitWait
	}
	a.ready = append(a.ready, action)
}

// reply replies to the caller, at most once.
func (a *Attempt) reply(result Result) {
	if a.hasReplied {
		return
	}
	a.hasReplied = true
	a.emit(Reply{result})
}

func (a *Attempt) start(at time.Time) {
	a.startedAt = at
	if a.request.Endpoint == "" {
		a.phase = phaseLookUp
		a.emit(Read{})
		return
	}
	a.startWrite(at, phaseClaim, Row{
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

// startWrite starts a write that replaces the row of this version.
func (a *Attempt) startWrite(at time.Time, next phase, row Row, version uint64) {
	a.phase = next
	a.write = write{row: row, version: version, tries: 1}
	a.writeDeadline = at.Add(WriteTimeout)
	a.writeBackoff = 0
	a.emit(Commit{Row: row, Version: version})
}

// onRowRead determines whether a write of unknown result took effect, or whether
// another attempt wrote the row first.
func (a *Attempt) onRowRead(at time.Time, e RowRead) {
	switch {
	case a.phase == phaseLookUp && e.Row == nil:
		a.reply(a.refusal(outcome.CodeNoEndpoint, "no live endpoint serves this request"))
		a.phase = phaseDone
	case a.phase == phaseLookUp:
		a.handleExistingRow(at, e)
	case e.Row != nil && isSameWrite(*e.Row, a.write.row):
		a.onWritten(at, e.Version)
	case a.phase == phaseOrphanedClaim && e.Row == nil:
		a.scheduleWrite(at)
	case a.phase == phaseOrphanedClaim:
		a.phase = phaseDone
	case e.Version != a.write.version:
		a.onConflict(at, e)
	case a.write.tries >= maxTries:
		a.onWriteFailed(at)
	default:
		// Repeats the same compare-and-set: at most one of its tries takes effect.
		a.write.tries++
		a.emit(Commit{Row: a.write.row, Version: a.write.version})
	}
}

func isSameWrite(a, b Row) bool {
	return a.State == b.State && a.Attempt == b.Attempt && a.Fencing == b.Fencing
}

// onWritten continues after the write took effect.
func (a *Attempt) onWritten(at time.Time, version uint64) {
	a.write.version = version
	switch a.phase {
	case phaseClaim:
		a.onClaimed(at)
	case phaseOrphanedClaim:
		a.release(at)
	case phaseRaiseFencing:
		a.phase = phaseFence
		a.emit(Fence{EndpointURL: a.write.row.EndpointURL, Fencing: a.write.row.Fencing})
	default:
		a.reply(resultOf(a.write.row))
		a.phase = phaseDone
	}
}

// onClaimed sends the request unless the caller has its reply or it is too late: after
// a pause, other routers may treat the holder as dead, and a definite not-run is better
// for the caller than an unknown outcome.
func (a *Attempt) onClaimed(at time.Time) {
	late := at.Sub(a.startedAt)
	if a.hasReplied || late > MaxSendDelay || late < 0 {
		a.release(at)
		return
	}
	a.phase = phaseSend
	a.emit(Send{Fencing: a.write.row.Fencing})
}

// release writes not-run: only the holder sends the request, and it has not sent it
// and will not.
func (a *Attempt) release(at time.Time) {
	row := a.write.row
	row.State = StateNotRun
	a.startWrite(at, phaseRelease, row, a.write.version)
}

// onWriteFailed continues when the store did not confirm the write. The caller still
// gets an outcome known from the sender or the endpoint.
func (a *Attempt) onWriteFailed(at time.Time) {
	switch a.phase {
	case phaseClaim, phaseLookUp:
		a.reply(a.refusal(outcome.CodeStoreDown, "the table service is down"))
		if !a.isClaimUncertain {
			a.phase = phaseDone
			return
		}
		a.phase = phaseOrphanedClaim
	case phaseRaiseFencing:
		a.reply(unknownResult(outcome.CodeStoreDown, "the table service is down", RetryStoreDown))
	default:
		a.reply(resultOf(a.write.row))
	}
	a.scheduleWrite(at)
}

// scheduleWrite waits for the next try, or ends the attempt after writeDeadline.
func (a *Attempt) scheduleWrite(at time.Time) {
	if at.After(a.writeDeadline) {
		a.phase = phaseDone
		return
	}
	a.write.tries = 1
	a.writeBackoff = min(max(2*a.writeBackoff, MinWriteBackoff), MaxWriteBackoff)
	a.emit(Wait{For: a.writeBackoff})
}

// onConflict continues after another attempt wrote the row. The outcome known to the
// sender replaces only the states fencing and unknown.
func (a *Attempt) onConflict(at time.Time, e RowRead) {
	if a.phase != phaseRecord && a.phase != phaseRelease {
		a.handleExistingRow(at, e)
		return
	}
	a.reply(resultOf(a.write.row))
	if e.Row == nil || (e.Row.State != StateFencing && e.Row.State != StateUnknown) {
		a.phase = phaseDone
		return
	}
	row := a.write.row
	row.Fencing = e.Row.Fencing
	a.startWrite(at, a.phase, row, e.Version)
}

// onDeadline replies to the caller with the outcome known so far; the attempt
// continues.
func (a *Attempt) onDeadline() {
	switch a.phase {
	case phaseClaim, phaseLookUp:
		a.reply(a.refusal(outcome.CodeDeadline, "the deadline passed before the request was claimed"))
	case phaseRecord, phaseRelease, phaseSettle:
		a.reply(resultOf(a.write.row))
	default:
		a.reply(unknownResult(outcome.CodeDeadline, "the deadline passed while the request was in progress", RetryInProgress))
	}
}

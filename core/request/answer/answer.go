// Package answer decides what becomes of each piece of an endpoint's answer:
// whether it belongs to the request, whether it is passed on, and whether a
// stream that broke is resumed or given up.
//
// The core has no I/O and no clock. One Core serves one request; it is driven
// by the goroutine that reads the answer and is not safe for concurrent use.
//
// Events of a stream are numbered from 1 by the engine. A resumed stream
// continues after the number that it was asked for, so that no event is lost
// and none reaches the caller twice.
package answer

import "time"

// Limits of resuming.
const (
	// MaxIdleResumes is how often a stream is resumed without progress between.
	MaxIdleResumes = 3
	// MaxResumes is how often one stream is resumed altogether.
	MaxResumes = 32
	// resumeDelay is the wait before the second resume in a row; it doubles.
	resumeDelay = 50 * time.Millisecond
)

// Event is something that happened to an answer.
type Event interface{ isEvent() }

// Head is the head of an answer or of a resumed answer.
type Head struct {
	// ID is the request's id as the endpoint echoed it.
	ID string
}

// Chunk is one whole event of a stream.
type Chunk struct {
	// ID is the request's id in the event; the closing event carries none.
	ID string
	// Number is the event's place in the stream, from 1; zero when the engine
	// does not number events.
	Number int
	// IsFinish marks the event that says why the engine stopped.
	IsFinish bool
	// IsDone marks the closing event.
	IsDone bool
	// IsMalformed marks an event that can't be read.
	IsMalformed bool
}

// Whole is a whole answer that arrived in one piece.
type Whole struct {
	// ID is the request's id in the body.
	ID string
}

// End says that the answer's body ended. IsBroken is set when it ended before
// its announced length.
type End struct{ IsBroken bool }

// ResumeFailed says that a resume got no answer. IsFinal is set when the engine
// answered that it can't resume this stream.
type ResumeFailed struct{ IsFinal bool }

// CallerGone says that nobody waits for the answer any more.
type CallerGone struct{}

// DeadlinePassed says that the request's deadline passed.
type DeadlinePassed struct{}

func (Head) isEvent()           {}
func (Chunk) isEvent()          {}
func (Whole) isEvent()          {}
func (End) isEvent()            {}
func (ResumeFailed) isEvent()   {}
func (CallerGone) isEvent()     {}
func (DeadlinePassed) isEvent() {}

// Action is what the driver does next.
type Action uint8

const (
	// ActionRead reads on; nothing is passed to the caller.
	ActionRead Action = iota
	// ActionPass passes the event to the caller and reads on.
	ActionPass
	// ActionResume asks the same engine for the events after Decision.From.
	ActionResume
	// ActionFinish ends the answer as whole.
	ActionFinish
	// ActionFail ends the answer as not whole, for Decision.Reason.
	ActionFail
	// ActionCancel tells the engine to stop, for Decision.Reason.
	ActionCancel
)

// Reason says why an answer is not whole.
type Reason string

const (
	// ReasonTruncated means that the answer ended, or left out a part, before it was whole.
	ReasonTruncated Reason = "truncated"
	// ReasonMismatched means that a piece of another request's answer arrived.
	ReasonMismatched Reason = "mismatched"
	// ReasonCallerGone means that the caller closed its connection.
	ReasonCallerGone Reason = "caller-gone"
	// ReasonDeadline means that the request's deadline passed.
	ReasonDeadline Reason = "deadline"
)

// Decision is what the core wants done about one event.
type Decision struct {
	Action Action
	// From is the number of the last event that the caller has; for ActionResume.
	From int
	// After is the wait before the resume.
	After time.Duration
	// Reason is set for ActionResume, ActionFail and ActionCancel.
	Reason Reason
	// CloseConnection says that no other request may use the connection.
	CloseConnection bool
}

// Core decides about the answer to one request.
type Core struct {
	id string
	// last is the number of the last event that was passed on.
	last int
	// hasUnnumbered says that an event without number was passed on, after
	// which a resume could not tell where to go on.
	hasUnnumbered bool
	isFinished    bool
	isDone        bool
	isOver        bool
	resumes       int
	idleResumes   int
	reason        Reason
}

// New returns a core for the request with this id.
func New(id string) *Core {
	return &Core{id: id}
}

// IsOver reports whether the answer has ended, whole or not.
func (c *Core) IsOver() bool {
	return c.isOver
}

// Step takes one event and returns what to do about it.
func (c *Core) Step(event Event) Decision {
	if c.isOver {
		return Decision{Action: ActionRead, CloseConnection: true}
	}
	switch e := event.(type) {
	case Head:
		return c.stepHead(e)
	case Chunk:
		return c.stepChunk(e)
	case Whole:
		return c.stepWhole(e)
	case End:
		return c.stepEnd(e)
	case ResumeFailed:
		return c.stepResumeFailed(e)
	case CallerGone:
		return c.cancel(ReasonCallerGone)
	case DeadlinePassed:
		return c.cancel(ReasonDeadline)
	}
	panic("answer: unknown event")
}

func (c *Core) stepHead(head Head) Decision {
	if head.ID != c.id {
		return c.recover(ReasonMismatched)
	}
	return Decision{Action: ActionRead}
}

func (c *Core) stepWhole(whole Whole) Decision {
	if whole.ID != c.id {
		return c.recover(ReasonMismatched)
	}
	c.isDone = true
	return c.finish(false)
}

func (c *Core) stepChunk(chunk Chunk) Decision {
	switch {
	case c.isDone:
		return c.finish(true)
	case chunk.IsMalformed:
		return c.recover(ReasonTruncated)
	case chunk.ID != c.id && !(chunk.IsDone && chunk.ID == ""):
		return c.recover(ReasonMismatched)
	case chunk.Number == 0:
		return c.stepUnnumbered(chunk)
	case c.hasUnnumbered:
		return c.recover(ReasonTruncated)
	case chunk.Number <= c.last:
		return Decision{Action: ActionRead}
	case chunk.Number > c.last+1:
		return c.recover(ReasonTruncated)
	}
	return c.pass(chunk)
}

// stepUnnumbered accepts events without numbers only on a stream that has no
// others and was never resumed.
func (c *Core) stepUnnumbered(chunk Chunk) Decision {
	if c.last > 0 || c.resumes > 0 {
		return c.recover(ReasonTruncated)
	}
	decision := c.pass(chunk)
	if decision.Action == ActionPass {
		c.last = 0
		c.hasUnnumbered = true
	}
	return decision
}

func (c *Core) pass(chunk Chunk) Decision {
	if chunk.IsDone && !c.isFinished {
		return c.recover(ReasonTruncated)
	}
	c.last++
	c.idleResumes = 0
	c.isFinished = c.isFinished || chunk.IsFinish
	c.isDone = chunk.IsDone
	return Decision{Action: ActionPass}
}

func (c *Core) stepEnd(end End) Decision {
	if c.isDone {
		return c.finish(end.IsBroken)
	}
	return c.recover(ReasonTruncated)
}

func (c *Core) stepResumeFailed(failed ResumeFailed) Decision {
	if failed.IsFinal {
		return c.fail(c.reason)
	}
	return c.recover(c.reason)
}

// recover resumes the stream after the last event that the caller has, or
// gives up. The connection is not used again in either case.
func (c *Core) recover(reason Reason) Decision {
	c.reason = reason
	if c.hasUnnumbered || c.idleResumes == MaxIdleResumes || c.resumes == MaxResumes {
		return c.fail(reason)
	}
	var delay time.Duration
	if c.idleResumes > 0 {
		delay = resumeDelay << (c.idleResumes - 1)
	}
	c.resumes++
	c.idleResumes++
	return Decision{Action: ActionResume, From: c.last, After: delay, Reason: reason, CloseConnection: true}
}

func (c *Core) fail(reason Reason) Decision {
	c.isOver = true
	return Decision{Action: ActionFail, Reason: reason, CloseConnection: true}
}

func (c *Core) cancel(reason Reason) Decision {
	if c.isDone {
		return c.finish(true)
	}
	c.isOver = true
	return Decision{Action: ActionCancel, Reason: reason, CloseConnection: true}
}

func (c *Core) finish(closeConnection bool) Decision {
	c.isOver = true
	return Decision{Action: ActionFinish, CloseConnection: closeConnection}
}

// Package answer validates an endpoint's answer event by event: whether an event
// belongs to the request, whether it is passed to the caller, and whether a broken
// stream is resumed or fails.
//
// The core has no I/O and no clock. One Core handles one request; it is called by
// the goroutine that reads the answer and is not safe for concurrent use.
//
// Engines number the events of a stream from 1. A resumed stream continues after the
// requested number, so that no event is lost and none reaches the caller twice. A
// stream is not resumed after an event without a number.
package answer

import "time"

// Limits on resuming a stream.
const (
	// MaxResumesWithoutProgress is the maximum number of resumes in a row without
	// progress.
	MaxResumesWithoutProgress = 3
	// MaxResumes is the maximum number of resumes of one stream.
	MaxResumes = 32
	// resumeDelay is the delay of the second resume in a row; it doubles with each
	// further one.
	resumeDelay = 50 * time.Millisecond
)

// Event is an input of the core.
type Event interface{ isEvent() }

// Head is the response header of an answer or of a resumed answer.
type Head struct {
	// ID is the request id that the endpoint returned.
	ID string
}

// Chunk is one complete event of a stream.
type Chunk struct {
	// ID is the request id in the event; the closing event has none.
	ID string
	// Number is the event's position in the stream, from 1; zero if the engine
	// doesn't number events.
	Number int
	// IsFinish marks the event with the finish reason.
	IsFinish bool
	// IsDone marks the closing event.
	IsDone bool
	// IsMalformed marks an event that can't be parsed.
	IsMalformed bool
}

// FullBody is a complete answer that is not streamed.
type FullBody struct {
	// ID is the request id in the body.
	ID string
}

// End reports the end of the response body. IsBroken is set if the body was cut off
// or can't be parsed.
type End struct{ IsBroken bool }

// ResumeFailed reports that a resume got no valid response. IsFinal is set if the
// engine answered that it can't resume this stream.
type ResumeFailed struct{ IsFinal bool }

// CallerGone reports that the caller no longer waits for the answer.
type CallerGone struct{}

// DeadlinePassed reports that the request's deadline passed before the answer ended.
type DeadlinePassed struct{}

func (Head) isEvent()           {}
func (Chunk) isEvent()          {}
func (FullBody) isEvent()       {}
func (End) isEvent()            {}
func (ResumeFailed) isEvent()   {}
func (CallerGone) isEvent()     {}
func (DeadlinePassed) isEvent() {}

// Action is the next step of the goroutine that reads the answer.
type Action uint8

const (
	// ActionRead reads the next event; nothing is forwarded to the caller.
	ActionRead Action = iota
	// ActionForward forwards the event to the caller and reads the next one.
	ActionForward
	// ActionResume requests the events after Decision.From from the same engine.
	ActionResume
	// ActionFinish ends the answer as complete.
	ActionFinish
	// ActionFail ends the answer as incomplete, with Decision.Reason.
	ActionFail
	// ActionCancel tells the engine to stop, with Decision.Reason.
	ActionCancel
)

// Reason is the reason why an answer is incomplete.
type Reason string

const (
	// ReasonTruncated means that the answer ended early or that a part is missing.
	ReasonTruncated Reason = "truncated"
	// ReasonMismatched means that data of another request's answer was received.
	ReasonMismatched Reason = "mismatched"
	// ReasonCallerGone means that the caller closed its connection.
	ReasonCallerGone Reason = "caller-gone"
	// ReasonDeadline means that the request's deadline passed.
	ReasonDeadline Reason = "deadline"
)

// Decision is the core's response to one event.
type Decision struct {
	Action Action
	// From is the number of the latest event that the caller received; set for
	// ActionResume.
	From int
	// After is the delay before the resume.
	After time.Duration
	// Reason is set for ActionResume, ActionFail and ActionCancel.
	Reason Reason
	// CloseConnection means that the connection must not be reused.
	CloseConnection bool
}

// Core validates the answer to one request.
type Core struct {
	id string
	// lastNumber is the number of the latest event that was passed on.
	lastNumber int
	// hasUnnumbered reports that an unnumbered event was passed on, after which the
	// position for a resume is unknown.
	hasUnnumbered          bool
	isFinished             bool
	isDone                 bool
	isOver                 bool
	resumes                int
	resumesWithoutProgress int
	reason                 Reason
}

// New returns a core for the request with the given id.
func New(id string) *Core {
	return &Core{id: id}
}

// IsOver reports whether the answer has ended, complete or not.
func (c *Core) IsOver() bool {
	return c.isOver
}

// Step processes one event and returns the action to take.
func (c *Core) Step(event Event) Decision {
	if c.isOver {
		return Decision{Action: ActionRead, CloseConnection: true}
	}
	switch e := event.(type) {
	case Head:
		return c.stepHead(e)
	case Chunk:
		return c.stepChunk(e)
	case FullBody:
		return c.stepFullBody(e)
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
		return c.resumeOrFail(ReasonMismatched)
	}
	return Decision{Action: ActionRead}
}

func (c *Core) stepFullBody(body FullBody) Decision {
	if body.ID != c.id {
		return c.resumeOrFail(ReasonMismatched)
	}
	c.isDone = true
	return c.finish(false)
}

func (c *Core) stepChunk(chunk Chunk) Decision {
	switch {
	case c.isDone:
		return c.finish(true)
	case chunk.IsMalformed:
		return c.resumeOrFail(ReasonTruncated)
	case chunk.ID != c.id && !(chunk.IsDone && chunk.ID == ""):
		return c.resumeOrFail(ReasonMismatched)
	case chunk.Number == 0:
		return c.stepUnnumbered(chunk)
	case c.hasUnnumbered:
		return c.resumeOrFail(ReasonTruncated)
	case chunk.Number <= c.lastNumber:
		return Decision{Action: ActionRead}
	case chunk.Number > c.lastNumber+1:
		return c.resumeOrFail(ReasonTruncated)
	}
	return c.forward(chunk)
}

// stepUnnumbered accepts unnumbered events only on a stream without numbered ones
// that was never resumed.
func (c *Core) stepUnnumbered(chunk Chunk) Decision {
	if c.lastNumber > 0 || c.resumes > 0 {
		return c.resumeOrFail(ReasonTruncated)
	}
	decision := c.forward(chunk)
	if decision.Action == ActionForward {
		c.lastNumber = 0
		c.hasUnnumbered = true
	}
	return decision
}

func (c *Core) forward(chunk Chunk) Decision {
	if chunk.IsDone && !c.isFinished {
		return c.resumeOrFail(ReasonTruncated)
	}
	c.lastNumber++
	c.resumesWithoutProgress = 0
	c.isFinished = c.isFinished || chunk.IsFinish
	c.isDone = chunk.IsDone
	return Decision{Action: ActionForward}
}

func (c *Core) stepEnd(end End) Decision {
	if c.isDone {
		return c.finish(end.IsBroken)
	}
	return c.resumeOrFail(ReasonTruncated)
}

func (c *Core) stepResumeFailed(failed ResumeFailed) Decision {
	if failed.IsFinal {
		return c.fail(c.reason)
	}
	return c.resumeOrFail(c.reason)
}

// resumeOrFail resumes the stream after the latest event that the caller received,
// or fails if that is not possible or a limit is reached. The connection is not
// reused in either case.
func (c *Core) resumeOrFail(reason Reason) Decision {
	c.reason = reason
	if c.hasUnnumbered || c.resumesWithoutProgress == MaxResumesWithoutProgress || c.resumes == MaxResumes {
		return c.fail(reason)
	}
	var delay time.Duration
	if c.resumesWithoutProgress > 0 {
		delay = resumeDelay << (c.resumesWithoutProgress - 1)
	}
	c.resumes++
	c.resumesWithoutProgress++
	return Decision{Action: ActionResume, From: c.lastNumber, After: delay, Reason: reason, CloseConnection: true}
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

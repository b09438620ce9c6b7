package claim

import (
	"time"

	"gentianhead/core/request/outcome"
)

// Event is an input of an Attempt.
type Event interface{ isEvent() }

type (
	// Started begins the attempt.
	Started struct{}
	// Committed reports that the write took effect; Version is the row's new version.
	Committed struct{ Version uint64 }
	// Conflicted reports that the row did not have the expected version. Nothing was written.
	Conflicted struct{}
	// WriteRefused reports that this try of the write had no effect and will have none.
	WriteRefused struct{}
	// WriteLost reports that the result of the write is unknown; it may still take effect.
	WriteLost struct{}
	// RowRead is the row, or nil with Version 0 if there is none.
	RowRead struct {
		Row     *Row
		Version uint64
		// IsHolderLive says that the holder is presumed to be working on the
		// request. If that is wrong, the caller may not get a final outcome, but
		// the request still runs at most once and every reply is still true.
		IsHolderLive bool
	}
	// ReadFailed reports that the row could not be read.
	ReadFailed struct{}
	// Answered is the endpoint's complete response to this request.
	Answered struct{ Answer Answer }
	// NotSent reports that no byte was sent, or that the endpoint refused the request.
	NotSent struct{}
	// SendLost reports that the request was sent and no complete response arrived.
	// Code is the cause.
	SendLost struct{ Code outcome.Code }
	// Fenced reports that the endpoint accepted the raised fencing number.
	Fenced struct {
		// Accepted is the highest number with which the endpoint accepted the
		// request before; zero means that it never did.
		Accepted uint64
		// Answer is the response that the endpoint recorded, if it keeps responses.
		Answer *Answer
	}
	// FenceFailed reports that the endpoint refused the raised number or did not respond.
	FenceFailed struct{}
	// WaitElapsed reports that a Wait is over.
	WaitElapsed struct{}
	// DeadlinePassed reports that the caller's deadline passed.
	DeadlinePassed struct{}
)

func (Started) isEvent()        {}
func (Committed) isEvent()      {}
func (Conflicted) isEvent()     {}
func (WriteRefused) isEvent()   {}
func (WriteLost) isEvent()      {}
func (RowRead) isEvent()        {}
func (ReadFailed) isEvent()     {}
func (Answered) isEvent()       {}
func (NotSent) isEvent()        {}
func (SendLost) isEvent()       {}
func (Fenced) isEvent()         {}
func (FenceFailed) isEvent()    {}
func (WaitElapsed) isEvent()    {}
func (DeadlinePassed) isEvent() {}

// Action is an output of an Attempt. Each except Reply results in one event.
type Action interface{ isAction() }

type (
	// Commit writes Row if the stored row's version is Version; 0 means no row.
	Commit struct {
		Row     Row
		Version uint64
	}
	// Read reads the row.
	Read struct{}
	// Send sends the request to the endpoint with this fencing number, once.
	Send struct{ Fencing uint64 }
	// Fence makes an endpoint that checks fencing numbers refuse lower ones.
	Fence struct {
		EndpointURL string
		Fencing     uint64
	}
	// Wait results in WaitElapsed after a time.
	Wait struct{ For time.Duration }
	// Reply replies to the caller; the attempt may continue afterwards.
	Reply struct{ Result Result }
)

func (Commit) isAction() {}
func (Read) isAction()   {}
func (Send) isAction()   {}
func (Fence) isAction()  {}
func (Wait) isAction()   {}
func (Reply) isAction()  {}

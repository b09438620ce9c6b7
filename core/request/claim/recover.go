package claim

import (
	"net/http"
	"time"

	"gentianhead/core/request/outcome"
)

// handleExistingRow handles a row written by another attempt.
func (a *Attempt) handleExistingRow(at time.Time, e RowRead) {
	a.conflicts++
	switch {
	case e.Row == nil:
		// The row expired between the write and the read.
		a.reply(a.refusal(outcome.CodeStoreDown, "the claim could not be written"))
		a.phase = phaseDone
	case e.Row.BodySHA256 != a.request.BodySHA256:
		a.reply(keyReused())
		a.phase = phaseDone
	case hasOutcome(e.Row.State):
		a.reply(resultOf(*e.Row))
		a.phase = phaseDone
	case (e.Row.State == StateClaimed && e.IsHolderLive) || a.conflicts > maxConflicts:
		a.reply(InProgress())
		a.phase = phaseDone
	default:
		a.startRecovery(at, *e.Row, e.Version)
	}
}

func hasOutcome(state State) bool {
	return state == StateCompleted || state == StateNotRun || state == StateUnknown
}

// startRecovery starts to determine the outcome of a request whose sender failed. If the
// endpoint checks fencing numbers, it raises the number first, so that a request
// still in transit can't run. Otherwise the outcome stays unknown.
func (a *Attempt) startRecovery(at time.Time, row Row, version uint64) {
	row.Attempt, row.Holder = a.request.Attempt, a.request.Holder
	if !row.IsFenced {
		row.State = StateUnknown
		a.startWrite(at, phaseSettle, row, version)
		return
	}
	row.State = StateFencing
	row.Fencing++
	a.startWrite(at, phaseRaiseFencing, row, version)
}

// onFenced writes the outcome that the endpoint reported when it accepted the raised
// number.
func (a *Attempt) onFenced(at time.Time, e Fenced) {
	row := a.write.row
	switch {
	case e.Accepted == 0:
		row.State = StateNotRun
	case e.Answer != nil:
		row.State, row.Answer = StateCompleted, e.Answer
	default:
		row.State = StateUnknown
	}
	a.startWrite(at, phaseSettle, row, a.write.version)
}

// resultOf returns the reply for the outcome in a row.
func resultOf(row Row) Result {
	switch row.State {
	case StateCompleted:
		return Result{Outcome: outcome.Completed, Answer: row.Answer, IsFinal: true}
	case StateNotRun:
		result := problemResult(http.StatusServiceUnavailable, outcome.NotRun, outcome.CodeAbandoned,
			"the request did not run and never will with this key; use a new key to retry", 0)
		result.IsFinal = true
		return result
	}
	result := unknownResult(outcome.CodeAbandoned, "the request may have run and its answer is lost; an operator must settle it", 0)
	result.IsFinal = true
	return result
}

// refusal returns the reply to a call that sent nothing. It says nothing about
// earlier calls with the key, so the outcome of a repeated call is unknown.
func (a *Attempt) refusal(code outcome.Code, detail string) Result {
	return refusal(a.request.IsRepeat, code, detail)
}

func refusal(isRepeat bool, code outcome.Code, detail string) Result {
	if isRepeat {
		return problemResult(http.StatusServiceUnavailable, outcome.Unknown, code, detail, RetryStoreDown)
	}
	return problemResult(http.StatusServiceUnavailable, outcome.NotRun, code, detail, RetryStoreDown)
}

// Overloaded returns the reply to a call for which the router has no capacity.
func Overloaded(isRepeat bool) Result {
	return refusal(isRepeat, outcome.CodeLoadBound, "too many requests that may run at most once are in progress")
}

// InProgress returns the reply to a call whose request another call is processing.
func InProgress() Result {
	return problemResult(http.StatusConflict, outcome.Unknown, outcome.CodeInProgress, "the request is in progress", RetryInProgress)
}

func keyReused() Result {
	return problemResult(http.StatusConflict, outcome.NotRun, outcome.CodeKeyReused,
		"the key was used for a request with another body", 0)
}

func unknownResult(code outcome.Code, detail string, retryAfter time.Duration) Result {
	return problemResult(http.StatusBadGateway, outcome.Unknown, code, detail, retryAfter)
}

func problemResult(status int, result outcome.Outcome, code outcome.Code, detail string, retryAfter time.Duration) Result {
	return Result{Outcome: result, Problem: &outcome.Problem{
		Status: status, Code: code, Outcome: result, Detail: detail, RetryAfter: retryAfter,
	}}
}

package claim

import (
	"net/http"
	"time"

	"gentianhead/core/request/outcome"
)

// meet answers an ask that finds the row of another one.
func (a *Attempt) meet(at time.Time, e RowRead) {
	a.rounds++
	switch {
	case e.Row == nil:
		// The row expired between the write and the read.
		a.reply(a.refusal(outcome.CodeStoreDown, "the claim could not be written"))
		a.phase = phaseDone
	case e.Row.BodySHA256 != a.request.BodySHA256:
		a.reply(keyReused())
		a.phase = phaseDone
	case isSettled(e.Row.State):
		a.reply(verdictOf(*e.Row))
		a.phase = phaseDone
	case (e.Row.State == StateClaimed && e.IsHolderLive) || a.rounds > maxRounds:
		a.reply(InProgress())
		a.phase = phaseDone
	default:
		a.recover(at, *e.Row, e.Version)
	}
}

func isSettled(state State) bool {
	return state == StateCompleted || state == StateNotRun || state == StateUnknown
}

// recover finds out what became of a request whose sender failed. Where the
// endpoint checks fencing numbers, it raises the number first, so that a byte
// still on its way can't run any more. Elsewhere nobody can know.
func (a *Attempt) recover(at time.Time, row Row, version uint64) {
	row.Attempt, row.Holder = a.request.Attempt, a.request.Holder
	if !row.IsFenced {
		row.State = StateUnknown
		a.put(at, phaseSettle, row, version)
		return
	}
	row.State = StateFencing
	row.Fencing++
	a.put(at, phaseRaise, row, version)
}

// settle writes what the endpoint told when it accepted the raised number.
func (a *Attempt) settle(at time.Time, e Fenced) {
	row := a.write.row
	switch {
	case e.Accepted == 0:
		row.State = StateNotRun
	case e.Answer != nil:
		row.State, row.Answer = StateCompleted, e.Answer
	default:
		row.State = StateUnknown
	}
	a.put(at, phaseSettle, row, a.write.version)
}

// verdictOf says what a row that is settled, or about to be, tells the caller.
func verdictOf(row Row) Verdict {
	switch row.State {
	case StateCompleted:
		return Verdict{Outcome: outcome.Completed, Answer: row.Answer, IsFinal: true}
	case StateNotRun:
		verdict := refuse(http.StatusServiceUnavailable, outcome.NotRun, outcome.CodeAbandoned,
			"the request did not run and never will under this key; use a new key to try again", 0)
		verdict.IsFinal = true
		return verdict
	}
	verdict := unknown(outcome.CodeAbandoned, "the request may have run and its answer is lost; an operator has to settle it", 0)
	verdict.IsFinal = true
	return verdict
}

// refusal says that this ask sent nothing. It says nothing of earlier asks, so
// a repeated one learns that its outcome is unknown.
func (a *Attempt) refusal(code outcome.Code, detail string) Verdict {
	return refusal(a.request.IsRepeat, code, detail)
}

func refusal(isRepeat bool, code outcome.Code, detail string) Verdict {
	if isRepeat {
		return refuse(http.StatusServiceUnavailable, outcome.Unknown, code, detail, RetryStoreDown)
	}
	return refuse(http.StatusServiceUnavailable, outcome.NotRun, code, detail, RetryStoreDown)
}

// Overloaded is the verdict on an ask that a router has no room for.
func Overloaded(isRepeat bool) Verdict {
	return refusal(isRepeat, outcome.CodeLoadBound, "too many requests that may run at most once are in progress")
}

// InProgress is the verdict on an ask whose request is at work at another ask.
func InProgress() Verdict {
	return refuse(http.StatusConflict, outcome.Unknown, outcome.CodeInProgress, "the request is in progress", RetryInProgress)
}

func keyReused() Verdict {
	return refuse(http.StatusConflict, outcome.NotRun, outcome.CodeKeyReused,
		"the key was used for a request with another body", 0)
}

func unknown(code outcome.Code, detail string, retryAfter time.Duration) Verdict {
	return refuse(http.StatusBadGateway, outcome.Unknown, code, detail, retryAfter)
}

func refuse(status int, result outcome.Outcome, code outcome.Code, detail string, retryAfter time.Duration) Verdict {
	return Verdict{Outcome: result, Problem: &outcome.Problem{
		Status: status, Code: code, Outcome: result, Detail: detail, RetryAfter: retryAfter,
	}}
}

package claim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianhead/core/request/outcome"
)

// model is the specification model/claim.pml in Go, with Attempts instead of its
// processes. rapid chooses each step.
type model struct {
	isFenced        bool
	row             *Row
	version         uint64
	fence, accepted uint64
	runs            int
	repliedNotRun   bool
	now             time.Time
	attempts        []*modelAttempt
	broken          string
}

type modelAttempt struct {
	*Attempt
	name     string
	isRepeat bool
	// pending is the action in progress.
	pending Action
	// delayed is a write that the store applies later.
	delayed *Commit
	// inFlight is the fencing number of a request in transit; 0 means none.
	inFlight uint64
	// ran says that the endpoint ran this attempt's request.
	ran bool
	// refused says that the reply to a first call said that nothing was sent.
	refused bool
}

func newModel(isFenced bool, size int) *model {
	m := &model{isFenced: isFenced, now: epoch}
	for i := range size {
		name := fmt.Sprintf("attempt-%d", i)
		a := &modelAttempt{name: name, isRepeat: i > 0}
		a.Attempt = New(Request{
			Attempt: name, Holder: name, BodySHA256: "body", IsRepeat: a.isRepeat, Endpoint: "endpoint", IsFenced: isFenced,
		})
		m.attempts = append(m.attempts, a)
		m.dispatch(a, Started{})
	}
	return m
}

// dispatch passes an event to an attempt and starts its actions.
func (m *model) dispatch(a *modelAttempt, event Event) {
	a.pending = nil
	a.Step(m.now, event)
	m.runActions(a)
}

func (m *model) runActions(a *modelAttempt) {
	for _, action := range a.Ready() {
		if reply, ok := action.(Reply); ok {
			m.checkReply(a, reply.Result)
			continue
		}
		a.pending = action
		if send, ok := action.(Send); ok {
			a.inFlight = send.Fencing
		}
	}
}

func (m *model) checkReply(a *modelAttempt, v Result) {
	switch {
	case v.Outcome == outcome.NotRun && v.IsFinal:
		m.repliedNotRun = true
		m.require(m.runs == 0, "replied not-run after a run")
	case v.Outcome == outcome.NotRun:
		a.refused = true
		m.require(!a.ran && !a.isRepeat, "refused a call that ran, or a repeated one")
	case v.Outcome == outcome.Completed:
		m.require(m.runs == 1, "replied completed without a run")
	}
}

func (m *model) require(holds bool, what string) {
	if !holds && m.broken == "" {
		m.broken = what
	}
}

func (m *model) apply(c Commit) Event {
	if m.version != c.Version {
		return Conflicted{}
	}
	row := c.Row
	m.row = &row
	m.version++
	return Committed{Version: m.version}
}

// advance completes the pending action of an attempt with one of its possible results.
func (m *model) advance(t *rapid.T, a *modelAttempt) {
	switch action := a.pending.(type) {
	case Commit:
		m.dispatch(a, m.commit(t, a, action))
	case Read:
		m.dispatch(a, m.read(t))
	case Send:
		// deliver passes the answer; this is the time-out.
		if rapid.Bool().Draw(t, "send times out") {
			m.dispatch(a, SendLost{})
		}
	case Fence:
		m.dispatch(a, m.raiseFence(t, action))
	case Wait:
		m.dispatch(a, WaitElapsed{})
	}
}

func (m *model) commit(t *rapid.T, a *modelAttempt, c Commit) Event {
	switch rapid.SampledFrom([]string{"ok", "refused", "answer lost", "write lost", "delayed"}).Draw(t, "commit") {
	case "ok":
		return m.apply(c)
	case "refused":
		return WriteRefused{}
	case "answer lost":
		m.apply(c)
	case "delayed":
		if a.delayed == nil {
			a.delayed = &c
		}
	}
	return WriteLost{}
}

func (m *model) read(t *rapid.T) Event {
	if rapid.Bool().Draw(t, "read fails") {
		return ReadFailed{}
	}
	if m.row == nil {
		return RowRead{}
	}
	row := *m.row
	return RowRead{Row: &row, Version: m.version, IsHolderLive: rapid.Bool().Draw(t, "holder is live")}
}

func (m *model) raiseFence(t *rapid.T, f Fence) Event {
	isLost := rapid.Bool().Draw(t, "fence is lost")
	if isLost && rapid.Bool().Draw(t, "before the endpoint") || f.Fencing < m.fence {
		return FenceFailed{}
	}
	m.fence = f.Fencing
	if isLost {
		return FenceFailed{}
	}
	return Fenced{Accepted: m.accepted}
}

func (m *model) deliver(t *rapid.T, a *modelAttempt) {
	number := a.inFlight
	a.inFlight = 0
	_, isWaiting := a.pending.(Send)
	if m.isFenced && number < m.fence {
		if isWaiting {
			m.dispatch(a, NotSent{})
		}
		return
	}
	m.runs++
	a.ran = true
	m.accepted = max(m.accepted, number)
	m.require(m.runs == 1, "ran twice")
	m.require(!m.repliedNotRun, "ran after a not-run reply")
	m.require(!a.refused, "ran after its call was refused")
	if isWaiting && rapid.Bool().Draw(t, "answer arrives") {
		m.dispatch(a, Answered{Answer{Status: 200}})
	}
}

// Concurrent attempts must not run a request twice or reply wrongly whether it ran.
func TestAttemptConformsToModel(t *testing.T) {
	// rapid's default of 100 runs of 30 steps rarely finds the faults tested for.
	assert.NilError(t, flag.Set("rapid.checks", "10000"))
	assert.NilError(t, flag.Set("rapid.steps", "60"))
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Bool().Draw(t, "checks fencing"), 3)
		one := rapid.SampledFrom(m.attempts)
		t.Repeat(map[string]func(*rapid.T){
			"attempt advances": func(t *rapid.T) { m.advance(t, one.Draw(t, "attempt")) },
			"delayed write takes effect": func(t *rapid.T) {
				if a := one.Draw(t, "attempt"); a.delayed != nil {
					m.apply(*a.delayed)
					a.delayed = nil
				}
			},
			"request arrives": func(t *rapid.T) {
				if a := one.Draw(t, "attempt"); a.inFlight != 0 {
					m.deliver(t, a)
				}
			},
			"request is lost": func(t *rapid.T) { one.Draw(t, "attempt").inFlight = 0 },
			"deadline passes": func(t *rapid.T) {
				a := one.Draw(t, "attempt")
				a.Step(m.now, DeadlinePassed{})
				m.runActions(a)
			},
			"time passes": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.Int64Range(-60, 60).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				if m.broken != "" {
					t.Fatal(m.broken)
				}
			},
		})
	})
}

package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/matrix"
	"gentianhead/core/request/outcome"
)

// fault is something that goes wrong at a step.
type fault string

const (
	killBefore      fault = "killed before"
	killAfter       fault = "killed after"
	pauseBefore     fault = "paused before"
	pauseAfter      fault = "paused after"
	storeDown       fault = "store down"
	answerLost      fault = "store's answer lost"
	writeDropped    fault = "store's call lost"
	writeDelayed    fault = "write delayed"
	clockForward    fault = "clock jumps forward"
	clockBack       fault = "clock jumps back"
	takenForDead    fault = "holder taken for dead"
	answersLate     fault = "endpoint answers late"
	answersTwice    fault = "endpoint answers twice"
	answersHalf     fault = "endpoint answers half"
	answersCrossed  fault = "endpoint answers another"
	endpointRefuses fault = "endpoint refuses"
	endpointDrops   fault = "request lost on its way"
	runsLate        fault = "request runs late"
	secondRouter    fault = "asked at a second router"
	sameRouter      fault = "asked again at the router"
	deadline        fault = "deadline passes"
	callerGone      fault = "caller gone"
)

var allFaults = []fault{
	killBefore, killAfter, pauseBefore, pauseAfter, storeDown, answerLost, writeDropped, writeDelayed,
	clockForward, clockBack, takenForDead, answersLate, answersTwice, answersHalf, answersCrossed,
	endpointRefuses, endpointDrops, runsLate, secondRouter, sameRouter, deadline, callerGone,
}

// step is an action of the protocol.
type step string

const (
	stepClaim   step = "write claim"
	stepRead    step = "read row"
	stepSend    step = "send"
	stepRecord  step = "write answer"
	stepRelease step = "write not-run"
	stepUnknown step = "write unknown"
	stepRaise   step = "raise fencing number"
	stepOrder   step = "order fence"
	stepWait    step = "wait"
	stepReply   step = "reply"
)

var allSteps = []step{
	stepClaim, stepRead, stepSend, stepRecord, stepRelease, stepUnknown, stepRaise, stepOrder, stepWait, stepReply,
}

var writeSteps = map[State]step{
	StateClaimed:   stepClaim,
	StateCompleted: stepRecord,
	StateNotRun:    stepRelease,
	StateUnknown:   stepUnknown,
	StateFencing:   stepRaise,
}

func stepOf(action Action) step {
	switch act := action.(type) {
	case Commit:
		return writeSteps[act.Row.State]
	case Read:
		return stepRead
	case Send:
		return stepSend
	case Fence:
		return stepOrder
	case Wait:
		return stepWait
	}
	return stepReply
}

// injection is a fault at the first time that a step is reached.
type injection struct {
	step    step
	fault   fault
	isFired bool
}

// leadTo returns what makes a run reach a step that the plain run skips.
func leadTo(s step) []*injection {
	switch s {
	case stepRead:
		return []*injection{{step: stepClaim, fault: answerLost}}
	case stepRelease:
		return []*injection{{step: stepSend, fault: endpointRefuses}}
	case stepUnknown, stepRaise:
		return []*injection{{step: stepSend, fault: answersHalf}}
	case stepOrder:
		return []*injection{{step: stepSend, fault: endpointDrops}}
	case stepWait:
		return []*injection{{step: stepRecord, fault: storeDown}}
	}
	return nil
}

// inject lets a fault happen now, at a step of a.
func (w *world) inject(a *ask, f fault) {
	switch f {
	case killBefore:
		w.kill(a.router)
	case pauseBefore:
		w.pause(a.router)
	case storeDown:
		w.storeDownTill = w.now + faultLife
	case clockForward:
		w.routers[a.router].clockOffset += faultLife
	case clockBack:
		w.routers[a.router].clockOffset -= faultLife
	case takenForDead:
		w.routers[a.router].misjudgedTil = w.now + faultLife
		w.after(w.latency(), func() { w.startAsk(1-a.router, true) })
	case answersLate, answersTwice, answersHalf, answersCrossed, endpointRefuses, endpointDrops, runsLate:
		w.endpointFault = f
	case secondRouter:
		w.after(w.latency(), func() { w.startAsk(1-a.router, true) })
	case sameRouter:
		w.after(w.latency(), func() { w.startAsk(a.router, true) })
	case deadline:
		w.after(w.latency(), func() { w.step(a, DeadlinePassed{}) })
	case callerGone:
		a.isGone = true
	}
}

// play runs one schedule. The caller asks, asks again while faults last, and
// asks until the answer is final after they ended.
func (w *world) play() {
	w.startAsk(0, false)
	for _, at := range []time.Duration{time.Second, 30 * time.Second, 4 * time.Minute, 20 * time.Minute} {
		router := w.rng.IntN(2)
		w.after(at, func() { w.startAsk(router, true) })
	}
	w.run(faultsEnd)
	for range 5 {
		w.endpointFault = ""
		w.plan = nil
		w.startAsk(1, true)
		w.run(w.now + time.Minute)
	}
}

func (w *world) last() *Verdict {
	return w.asks[len(w.asks)-1].verdict
}

// violation returns what the run did wrong, or "".
func (w *world) violation() string {
	if len(w.runs) > 1 {
		return fmt.Sprintf("ran %d times", len(w.runs))
	}
	for _, a := range w.asks {
		if a.verdict == nil {
			continue
		}
		if broken := w.isFalse(a); broken != "" {
			return broken
		}
	}
	if last := w.last(); last == nil || !last.IsFinal {
		return "no final answer after the faults ended"
	}
	return ""
}

func (w *world) isFalse(a *ask) string {
	v := a.verdict
	switch {
	case v.Outcome == outcome.Completed && (len(w.runs) == 0 || string(v.Answer.Body) != w.runs[0]):
		return "completed with the answer of no run"
	case v.Outcome == outcome.NotRun && (v.IsFinal || a.isRepeat) && len(w.runs) > 0:
		return "not-run, but it ran"
	case v.Outcome == outcome.NotRun && len(w.runs) > 0 && w.runs[0] == a.name:
		return "not-run, but this ask ran"
	}
	return ""
}

func correct(r Request) machine { return New(r) }

// tally sums up the schedules of a cell.
type tally struct {
	runs, unknown int
	broken        string
}

func (t *tally) play(seed uint64, newMachine func(Request) machine, plan ...*injection) {
	for _, isFenced := range []bool{false, true} {
		for _, planned := range plan {
			planned.isFired = false
		}
		w := newWorld(seed, isFenced, plan, newMachine)
		w.play()
		if !isReached(plan) {
			continue
		}
		t.runs++
		if last := w.last(); last != nil && last.Outcome == outcome.Unknown {
			t.unknown++
		}
		if broken := w.violation(); broken != "" && t.broken == "" {
			t.broken = fmt.Sprintf("%s (seed %d, checks fencing %t, %s)", broken, seed, isFenced, describe(plan))
		}
	}
}

func isReached(plan []*injection) bool {
	for _, planned := range plan {
		if !planned.isFired {
			return false
		}
	}
	return true
}

func describe(plan []*injection) string {
	text := ""
	for _, planned := range plan {
		text += fmt.Sprintf("[%s: %s]", planned.step, planned.fault)
	}
	return text
}

func (t *tally) record(m *matrix.Matrix, s step, f fault) {
	cell := matrix.Cell{Protocol: "claim", Step: string(s), Fault: string(f)}
	switch {
	case t.broken != "":
		m.Record(cell, matrix.Broken, t.runs, t.broken)
	case t.runs == 0:
		m.Record(cell, matrix.NotCovered, 0, "the step is not reached")
	default:
		m.Record(cell, matrix.Held, t.runs, fmt.Sprintf("unknown at the end %.0f%%", 100*float64(t.unknown)/float64(t.runs)))
	}
}

func TestFaultsClaim(t *testing.T) {
	m := matrix.New(t)
	seed, runs := matrix.Seed(), matrix.Runs(20)
	for _, s := range allSteps {
		for _, f := range allFaults {
			var cell tally
			for i := range runs {
				cell.play(seed*1_000_003+uint64(i), correct, append(leadTo(s), &injection{step: s, fault: f})...)
			}
			cell.record(m, s, f)
		}
	}
}

func TestFaultsClaimPairs(t *testing.T) {
	m := matrix.New(t)
	seed, runs := matrix.Seed(), max(1, matrix.Runs(1)/50)
	for i := range allFaults {
		t.Run(string(allFaults[i]), func(t *testing.T) {
			t.Parallel()
			var cell tally
			for _, first := range allSteps {
				playPairs(&cell, injection{step: first, fault: allFaults[i]}, seed, runs, correct)
			}
			cell.record(m, "any, with any second fault", allFaults[i])
		})
	}
}

// playPairs plays a fault with every other at every step, until one run is
// broken. The pair is unordered: only a second fault that is not before the
// first is taken.
func playPairs(cell *tally, first injection, seed uint64, runs int, newMachine func(Request) machine) {
	for _, secondStep := range allSteps {
		for _, second := range allFaults[slices.Index(allFaults, first.fault):] {
			lead := leadTo(first.step)
			if lead == nil {
				lead = leadTo(secondStep)
			}
			for i := range runs {
				if cell.broken != "" {
					return
				}
				plan := append(lead, &injection{step: first.step, fault: first.fault}, &injection{step: secondStep, fault: second})
				cell.play(seed*1_000_003+uint64(i), newMachine, plan...)
			}
		}
	}
}

// naive wraps an attempt and changes what it does or learns.
type naive struct {
	*Attempt
	onEvent func(*Attempt, Event) Event
	onReady func(*naive, time.Time, []Action) []Action
	at      time.Time
}

func (n *naive) Step(at time.Time, event Event) {
	n.at = at
	if n.onEvent != nil {
		event = n.onEvent(n.Attempt, event)
	}
	n.Attempt.Step(at, event)
}

func (n *naive) Ready() []Action {
	actions := n.Attempt.Ready()
	if n.onReady != nil {
		actions = n.onReady(n, n.at, actions)
	}
	return actions
}

// skipClaim takes the claim for written without a write.
func skipClaim(n *naive, at time.Time, actions []Action) []Action {
	if len(actions) == 1 && stepOf(actions[0]) == stepClaim {
		n.Attempt.Step(at, Committed{})
		return n.Attempt.Ready()
	}
	return actions
}

// lateClaim sends first and writes the claim once the answer is there.
type lateClaim struct {
	*Attempt
	claim  *Commit
	answer *Answered
}

func (l *lateClaim) Step(at time.Time, event Event) {
	answered, isAnswer := event.(Answered)
	_, isLost := event.(SendLost)
	if l.claim == nil || (!isAnswer && !isLost) {
		l.Attempt.Step(at, event)
		l.pass(at)
		return
	}
	if isAnswer {
		l.answer = &answered
	}
	l.ready = append(l.ready, *l.claim)
	l.claim = nil
}

// pass answers the attempt's own order to send with the answer that is there.
func (l *lateClaim) pass(at time.Time) {
	if l.awaited != awaitSend {
		return
	}
	l.ready = nil
	if l.answer != nil {
		l.Attempt.Step(at, *l.answer)
		return
	}
	l.Attempt.Step(at, SendLost{})
}

func (l *lateClaim) Ready() []Action {
	actions := l.Attempt.Ready()
	if len(actions) == 1 && stepOf(actions[0]) == stepClaim && l.claim == nil && l.answer == nil {
		claim := actions[0].(Commit)
		l.claim = &claim
		return []Action{Send{Fencing: 1}}
	}
	return actions
}

// ignoreOthers overwrites whatever stands in the row after a lost answer.
func ignoreOthers(a *Attempt, event Event) Event {
	read, ok := event.(RowRead)
	if !ok || a.phase != phaseClaim || !a.isUncertain || read.Row == nil || read.Row.Attempt == a.request.Attempt {
		return event
	}
	a.write.version = read.Version
	return RowRead{Version: read.Version}
}

func trustTimeout(_ *Attempt, event Event) Event {
	if _, ok := event.(SendLost); ok {
		return NotSent{}
	}
	return event
}

func TestHarnessFindsNaiveVariants(t *testing.T) {
	for _, variant := range []struct {
		name       string
		newMachine func(Request) machine
	}{
		{"send without a claim", func(r Request) machine { return &naive{Attempt: New(r), onReady: skipClaim} }},
		{"claim after send", func(r Request) machine { return &lateClaim{Attempt: New(r)} }},
		{"blind retry of the claim write", func(r Request) machine { return &naive{Attempt: New(r), onEvent: ignoreOthers} }},
		{"not-run after a time-out", func(r Request) machine { return &naive{Attempt: New(r), onEvent: trustTimeout} }},
	} {
		t.Run(variant.name, func(t *testing.T) {
			var cell tally
			for _, s := range allSteps {
				for _, f := range allFaults {
					playPairs(&cell, injection{step: s, fault: f}, matrix.Seed(), 1, variant.newMachine)
				}
			}
			t.Logf("%d schedules: %s", cell.runs, cell.broken)
			assert.Assert(t, cell.broken != "")
		})
	}
}

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

// fault names a failure that is injected at a step.
type fault string

const (
	killBefore         fault = "killed before"
	killAfter          fault = "killed after"
	pauseBefore        fault = "paused before"
	pauseAfter         fault = "paused after"
	storeDown          fault = "store down"
	answerLost         fault = "store's answer lost"
	callLost           fault = "store's call lost"
	writeDelayed       fault = "write delayed"
	clockForward       fault = "clock jumps forward"
	clockBack          fault = "clock jumps back"
	holderPresumedDead fault = "holder taken for dead"
	answersLate        fault = "endpoint answers late"
	answersTwice       fault = "endpoint answers twice"
	answersTruncated   fault = "endpoint answers half"
	answersMismatched  fault = "endpoint answers another"
	endpointRefuses    fault = "endpoint refuses"
	requestLost        fault = "request lost on its way"
	runsLate           fault = "request runs late"
	secondRouter       fault = "asked at a second router"
	sameRouter         fault = "asked again at the router"
	deadline           fault = "deadline passes"
	callerDisconnected fault = "caller gone"
)

var allFaults = []fault{
	killBefore, killAfter, pauseBefore, pauseAfter, storeDown, answerLost, callLost, writeDelayed,
	clockForward, clockBack, holderPresumedDead, answersLate, answersTwice, answersTruncated, answersMismatched,
	endpointRefuses, requestLost, runsLate, secondRouter, sameRouter, deadline, callerDisconnected,
}

// step names an action of the protocol.
type step string

const (
	stepClaim        step = "write claim"
	stepRead         step = "read row"
	stepSend         step = "send"
	stepRecord       step = "write answer"
	stepRelease      step = "write not-run"
	stepUnknown      step = "write unknown"
	stepRaiseFencing step = "raise fencing number"
	stepFence        step = "order fence"
	stepWait         step = "wait"
	stepReply        step = "reply"
)

var allSteps = []step{
	stepClaim, stepRead, stepSend, stepRecord, stepRelease, stepUnknown, stepRaiseFencing, stepFence, stepWait, stepReply,
}

var writeSteps = map[State]step{
	StateClaimed:   stepClaim,
	StateCompleted: stepRecord,
	StateNotRun:    stepRelease,
	StateUnknown:   stepUnknown,
	StateFencing:   stepRaiseFencing,
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
		return stepFence
	case Wait:
		return stepWait
	}
	return stepReply
}

// injection is a fault that is injected the first time a step is reached.
type injection struct {
	step       step
	fault      fault
	isInjected bool
}

// setupFor returns the injections that make a run reach a step that a run without
// faults skips.
func setupFor(s step) []*injection {
	switch s {
	case stepRead:
		return []*injection{{step: stepClaim, fault: answerLost}}
	case stepRelease:
		return []*injection{{step: stepSend, fault: endpointRefuses}}
	case stepUnknown, stepRaiseFencing:
		return []*injection{{step: stepSend, fault: answersTruncated}}
	case stepFence:
		return []*injection{{step: stepSend, fault: requestLost}}
	case stepWait:
		return []*injection{{step: stepRecord, fault: storeDown}}
	}
	return nil
}

// inject injects a fault at a step of a call.
func (w *world) inject(call *simCall, f fault) {
	switch f {
	case killBefore:
		w.kill(call.router)
	case pauseBefore:
		w.pause(call.router)
	case storeDown:
		w.storeDownUntil = w.now + faultDuration
	case clockForward:
		w.routers[call.router].clockOffset += faultDuration
	case clockBack:
		w.routers[call.router].clockOffset -= faultDuration
	case holderPresumedDead:
		w.routers[call.router].presumedDeadUntil = w.now + faultDuration
		w.after(w.latency(), func() { w.startCall(1-call.router, true) })
	case answersLate, answersTwice, answersTruncated, answersMismatched, endpointRefuses, requestLost, runsLate:
		w.endpointFault = f
	case secondRouter:
		w.after(w.latency(), func() { w.startCall(1-call.router, true) })
	case sameRouter:
		w.after(w.latency(), func() { w.startCall(call.router, true) })
	case deadline:
		w.after(w.latency(), func() { w.step(call, DeadlinePassed{}) })
	case callerDisconnected:
		call.isDisconnected = true
	}
}

// simulate runs one schedule: the caller calls, repeats the call during the faults, and
// repeats it after they ended to get a final outcome.
func (w *world) simulate() {
	w.startCall(0, false)
	for _, at := range []time.Duration{time.Second, 30 * time.Second, 4 * time.Minute, 20 * time.Minute} {
		router := w.rng.IntN(2)
		w.after(at, func() { w.startCall(router, true) })
	}
	w.run(faultsEnd)
	for range 5 {
		w.endpointFault = ""
		w.plan = nil
		w.startCall(1, true)
		w.run(w.now + time.Minute)
	}
}

func (w *world) last() *Result {
	return w.calls[len(w.calls)-1].result
}

// violation describes the first violated property of the run, or returns "".
func (w *world) violation() string {
	if len(w.runs) > 1 {
		return fmt.Sprintf("ran %d times", len(w.runs))
	}
	for _, call := range w.calls {
		if call.result == nil {
			continue
		}
		if broken := w.violationOf(call); broken != "" {
			return broken
		}
	}
	if last := w.last(); last == nil || !last.IsFinal {
		return "no final outcome after the faults ended"
	}
	return ""
}

func (w *world) violationOf(call *simCall) string {
	v := call.result
	switch {
	case v.Outcome == outcome.Completed && (len(w.runs) == 0 || string(v.Answer.Body) != w.runs[0]):
		return "completed with the answer of no run"
	case v.Outcome == outcome.NotRun && (v.IsFinal || call.isRepeat) && len(w.runs) > 0:
		return "not-run, but it ran"
	case v.Outcome == outcome.NotRun && len(w.runs) > 0 && w.runs[0] == call.name:
		return "not-run, but this call ran"
	}
	return ""
}

func newAttempt(r Request) machine { return New(r) }

// cellTally accumulates the results of the schedules of one matrix cell.
type cellTally struct {
	runs, unknown int
	broken        string
}

func (t *cellTally) simulate(seed uint64, newMachine func(Request) machine, plan ...*injection) {
	for _, isFenced := range []bool{false, true} {
		for _, planned := range plan {
			planned.isInjected = false
		}
		w := newWorld(seed, isFenced, plan, newMachine)
		w.simulate()
		if !allInjected(plan) {
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

func allInjected(plan []*injection) bool {
	for _, planned := range plan {
		if !planned.isInjected {
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

func (t *cellTally) record(m *matrix.Matrix, s step, f fault) {
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

// No single fault may run a request twice, report a wrong outcome or leave the
// caller without a final one.
func TestFaultsClaim(t *testing.T) {
	m := matrix.New(t)
	seed, runs := matrix.Seed(), matrix.Runs(20)
	for _, s := range allSteps {
		for _, f := range allFaults {
			var cell cellTally
			for i := range runs {
				cell.simulate(seed*1_000_003+uint64(i), newAttempt, append(setupFor(s), &injection{step: s, fault: f})...)
			}
			cell.record(m, s, f)
		}
	}
}

// The properties of TestFaultsClaim must also hold for any two faults.
func TestFaultsClaimPairs(t *testing.T) {
	m := matrix.New(t)
	seed, runs := matrix.Seed(), max(1, matrix.Runs(1)/50)
	for i := range allFaults {
		t.Run(string(allFaults[i]), func(t *testing.T) {
			t.Parallel()
			var cell cellTally
			for _, first := range allSteps {
				simulatePairs(&cell, injection{step: first, fault: allFaults[i]}, seed, runs, newAttempt)
			}
			cell.record(m, "any, with any second fault", allFaults[i])
		})
	}
}

// simulatePairs runs a fault with every other fault at every step until a run violates
// a property. Pairs are unordered: only faults from the first one on in allFaults
// are used as the second.
func simulatePairs(cell *cellTally, first injection, seed uint64, runs int, newMachine func(Request) machine) {
	for _, secondStep := range allSteps {
		for _, second := range allFaults[slices.Index(allFaults, first.fault):] {
			setup := setupFor(first.step)
			if setup == nil {
				setup = setupFor(secondStep)
			}
			for i := range runs {
				if cell.broken != "" {
					return
				}
				plan := append(setup, &injection{step: first.step, fault: first.fault}, &injection{step: secondStep, fault: second})
				cell.simulate(seed*1_000_003+uint64(i), newMachine, plan...)
			}
		}
	}
}

// naiveAttempt wraps an attempt and changes its events or actions.
type naiveAttempt struct {
	*Attempt
	onEvent func(*Attempt, Event) Event
	onReady func(*naiveAttempt, time.Time, []Action) []Action
	at      time.Time
}

func (n *naiveAttempt) Step(at time.Time, event Event) {
	n.at = at
	if n.onEvent != nil {
		event = n.onEvent(n.Attempt, event)
	}
	n.Attempt.Step(at, event)
}

func (n *naiveAttempt) Ready() []Action {
	actions := n.Attempt.Ready()
	if n.onReady != nil {
		actions = n.onReady(n, n.at, actions)
	}
	return actions
}

// skipClaim treats the claim as written without writing it.
func skipClaim(n *naiveAttempt, at time.Time, actions []Action) []Action {
	if len(actions) == 1 && stepOf(actions[0]) == stepClaim {
		n.Attempt.Step(at, Committed{})
		return n.Attempt.Ready()
	}
	return actions
}

// lateClaim sends first and writes the claim after the answer arrived.
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
		l.completeSend(at)
		return
	}
	if isAnswer {
		l.answer = &answered
	}
	l.ready = append(l.ready, *l.claim)
	l.claim = nil
}

// completeSend completes the attempt's own send with the answer already received.
func (l *lateClaim) completeSend(at time.Time) {
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

// overwriteOthers overwrites a row of another attempt after the result of a write was lost.
func overwriteOthers(a *Attempt, event Event) Event {
	read, ok := event.(RowRead)
	if !ok || a.phase != phaseClaim || !a.isClaimUncertain || read.Row == nil || read.Row.Attempt == a.request.Attempt {
		return event
	}
	a.write.version = read.Version
	return RowRead{Version: read.Version}
}

// timeoutAsNotSent treats a send without a response as not sent.
func timeoutAsNotSent(_ *Attempt, event Event) Event {
	if _, ok := event.(SendLost); ok {
		return NotSent{}
	}
	return event
}

// The simulation must detect faulty variants of the protocol.
func TestFaultInjectionDetectsNaiveVariants(t *testing.T) {
	for _, variant := range []struct {
		name       string
		newMachine func(Request) machine
	}{
		{"send without a claim", func(r Request) machine { return &naiveAttempt{Attempt: New(r), onReady: skipClaim} }},
		{"claim after send", func(r Request) machine { return &lateClaim{Attempt: New(r)} }},
		{"blind retry of the claim write", func(r Request) machine { return &naiveAttempt{Attempt: New(r), onEvent: overwriteOthers} }},
		{"not-run after a time-out", func(r Request) machine { return &naiveAttempt{Attempt: New(r), onEvent: timeoutAsNotSent} }},
	} {
		t.Run(variant.name, func(t *testing.T) {
			var cell cellTally
			for _, s := range allSteps {
				for _, f := range allFaults {
					simulatePairs(&cell, injection{step: s, fault: f}, matrix.Seed(), 1, variant.newMachine)
				}
			}
			t.Logf("%d schedules: %s", cell.runs, cell.broken)
			assert.Assert(t, cell.broken != "")
		})
	}
}

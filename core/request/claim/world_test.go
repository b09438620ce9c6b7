package claim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianhead/core/request/outcome"
	"gentianhead/core/virtual"
)

// machine is an Attempt, or a faulty variant that the simulation must detect.
type machine interface {
	Step(at time.Time, event Event)
	Ready() []Action
	IsDone() bool
}

// Durations in a simulation.
const (
	faultDuration   = 5 * time.Minute
	faultsEnd       = 2 * time.Hour
	membershipDelay = 5 * time.Second
	rebootTime      = 10 * time.Second
	maxLatency      = 20 * time.Millisecond
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type simRouter struct {
	incarnation       int
	downUntil         time.Duration
	pausedFrom        time.Duration
	pausedUntil       time.Duration
	presumedDeadUntil time.Duration
	clockOffset       time.Duration
	simCall           *simCall
}

type simCall struct {
	name           string
	router         int
	incarnation    int
	isRepeat       bool
	isDisconnected bool
	machine        machine
	result         *Result
}

// world simulates one key, two routers, the table service and one endpoint.
type world struct {
	rng   *rand.Rand
	now   time.Duration
	queue virtual.Queue

	row            *Row
	version        uint64
	storeDownUntil time.Duration

	isFenced bool
	fence    uint64
	accepted uint64
	runs     []string

	routers [2]*simRouter
	calls   []*simCall
	plan    []*injection
	// endpointFault is the fault of the next request or fence at the endpoint.
	endpointFault fault
	newMachine    func(Request) machine
}

func newWorld(seed uint64, isFenced bool, plan []*injection, newMachine func(Request) machine) *world {
	return &world{
		rng:        rand.New(rand.NewPCG(seed, 17)),
		isFenced:   isFenced,
		routers:    [2]*simRouter{{}, {}},
		plan:       plan,
		newMachine: newMachine,
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.queue.Add(w.now+d, run)
}

func (w *world) latency() time.Duration {
	return time.Duration(w.rng.Int64N(int64(maxLatency)))
}

// run executes queued events up to a time.
func (w *world) run(until time.Duration) {
	for {
		at, run, isDue := w.queue.Next(until)
		if !isDue {
			w.now = max(w.now, until)
			return
		}
		w.now = at
		run()
	}
}

// startCall sends a call to a router unless it is down or paused.
func (w *world) startCall(router int, isRepeat bool) *simCall {
	r := w.routers[router]
	if w.now < r.downUntil || w.now < r.pausedUntil {
		return nil
	}
	call := &simCall{name: fmt.Sprintf("ask-%d", len(w.calls)+1), router: router, incarnation: r.incarnation, isRepeat: isRepeat}
	w.calls = append(w.calls, call)
	if r.simCall != nil && r.simCall.incarnation == r.incarnation && !r.simCall.machine.IsDone() {
		result := InProgress()
		call.result = &result
		return call
	}
	r.simCall = call
	call.machine = w.newMachine(Request{
		Attempt: call.name, Holder: w.holder(router), BodySHA256: "body", IsRepeat: isRepeat,
		Endpoint: "endpoint", IsFenced: w.isFenced,
	})
	w.step(call, Started{})
	return call
}

func (w *world) holder(router int) string {
	return fmt.Sprintf("router-%d/%d", router, w.routers[router].incarnation)
}

func (w *world) isAlive(call *simCall) bool {
	return w.routers[call.router].incarnation == call.incarnation
}

// step passes an event to a call's attempt once its router is not paused.
func (w *world) step(call *simCall, event Event) {
	r := w.routers[call.router]
	if !w.isAlive(call) {
		return
	}
	if w.now < r.pausedUntil {
		w.after(r.pausedUntil-w.now, func() { w.step(call, event) })
		return
	}
	call.machine.Step(epoch.Add(w.now+r.clockOffset), event)
	for _, action := range call.machine.Ready() {
		w.begin(call, action)
	}
}

// begin injects the faults planned for this step, then performs it.
func (w *world) begin(call *simCall, action Action) {
	step := stepOf(action)
	var fired []fault
	for _, planned := range w.plan {
		if planned.step == step && !planned.isInjected {
			planned.isInjected = true
			fired = append(fired, planned.fault)
		}
	}
	if len(fired) == 0 {
		w.perform(call, action, "")
		return
	}
	for _, f := range fired[:len(fired)-1] {
		w.inject(call, f)
	}
	last := fired[len(fired)-1]
	w.inject(call, last)
	switch last {
	case killAfter, pauseAfter:
		w.perform(call, action, "")
		if last == killAfter {
			w.kill(call.router)
		} else {
			w.pause(call.router)
		}
	default:
		w.perform(call, action, last)
	}
}

// perform carries out an action once its router is not paused.
func (w *world) perform(call *simCall, action Action, f fault) {
	r := w.routers[call.router]
	if !w.isAlive(call) {
		return
	}
	if w.now < r.pausedUntil {
		w.after(r.pausedUntil-w.now, func() { w.perform(call, action, f) })
		return
	}
	switch act := action.(type) {
	case Commit:
		w.after(w.latency(), func() { w.commit(call, act, f) })
	case Read:
		w.after(w.latency(), func() { w.read(call, f) })
	case Send:
		w.after(w.latency(), func() { w.send(call, act) })
	case Fence:
		w.after(w.latency(), func() { w.raiseFence(call, act) })
	case Wait:
		w.after(act.For, func() { w.step(call, WaitElapsed{}) })
	case Reply:
		if !call.isDisconnected {
			call.result = &act.Result
		}
	}
}

func (w *world) respond(call *simCall, event Event) {
	w.after(w.latency(), func() { w.step(call, event) })
}

func (w *world) commit(call *simCall, c Commit, f fault) {
	if w.now < w.storeDownUntil {
		w.respond(call, WriteRefused{})
		return
	}
	switch f {
	case writeDelayed:
		w.after(time.Duration(w.rng.Int64N(int64(2*faultDuration))), func() { w.apply(c) })
		w.respond(call, WriteLost{})
	case callLost:
		w.respond(call, WriteLost{})
	case answerLost:
		w.apply(c)
		w.respond(call, WriteLost{})
	default:
		w.respond(call, w.apply(c))
	}
}

func (w *world) apply(c Commit) Event {
	current := w.version
	if w.row == nil {
		current = 0
	}
	if current != c.Version {
		return Conflicted{}
	}
	row := c.Row
	w.row = &row
	w.version++
	return Committed{Version: w.version}
}

func (w *world) read(call *simCall, f fault) {
	if w.now < w.storeDownUntil || f == answerLost || f == callLost {
		w.respond(call, ReadFailed{})
		return
	}
	event := RowRead{}
	if w.row != nil {
		row := *w.row
		event = RowRead{Row: &row, Version: w.version, IsHolderLive: w.isHolderLive(call, row)}
	}
	w.respond(call, event)
}

// isHolderLive reports whether the call's router presumes the holder live; it may be wrong.
func (w *world) isHolderLive(call *simCall, row Row) bool {
	if epoch.Add(w.now).Sub(time.UnixMilli(row.CreatedMs)) > HolderTimeout {
		return false
	}
	for i, r := range w.routers {
		isSilent := w.now < r.pausedUntil && w.now > r.pausedFrom+membershipDelay
		if w.holder(i) == row.Holder {
			return i != call.router && w.now >= r.downUntil && !isSilent && w.now >= r.presumedDeadUntil
		}
	}
	return false
}

// send simulates a request at the endpoint.
func (w *world) send(call *simCall, s Send) {
	f := w.endpointFault
	w.endpointFault = ""
	if f == endpointRefuses {
		w.respond(call, NotSent{})
		return
	}
	if f == requestLost {
		w.respond(call, SendLost{Code: outcome.CodeEndpointFailed})
		return
	}
	if f == runsLate {
		w.after(faultDuration, func() { w.execute(call, s) })
		w.respond(call, SendLost{Code: outcome.CodeEndpointFailed})
		return
	}
	if !w.execute(call, s) {
		w.respond(call, NotSent{})
		return
	}
	answered := Answered{Answer{Status: 200, Body: []byte(call.name)}}
	switch f {
	case answersLate:
		w.after(faultDuration, func() { w.step(call, answered) })
	case answersTwice:
		w.respond(call, answered)
		w.respond(call, answered)
	case answersTruncated, answersMismatched:
		w.respond(call, SendLost{Code: outcome.CodeAnswerTruncated})
	default:
		w.respond(call, answered)
	}
}

// execute runs the request unless the endpoint checks fencing numbers and accepted a
// higher one before.
func (w *world) execute(call *simCall, s Send) bool {
	if w.isFenced && s.Fencing < w.fence {
		return false
	}
	w.accepted = max(w.accepted, s.Fencing)
	w.runs = append(w.runs, call.name)
	return true
}

func (w *world) raiseFence(call *simCall, f Fence) {
	isDropped := w.endpointFault != "" && w.endpointFault != answersTwice
	w.endpointFault = ""
	if isDropped || f.Fencing < w.fence {
		w.respond(call, FenceFailed{})
		return
	}
	w.fence = f.Fencing
	w.respond(call, Fenced{Accepted: w.accepted})
}

func (w *world) kill(router int) {
	r := w.routers[router]
	r.incarnation++
	r.downUntil = w.now + rebootTime
	r.pausedUntil = 0
	r.clockOffset = 0
}

func (w *world) pause(router int) {
	r := w.routers[router]
	r.pausedFrom, r.pausedUntil = w.now, w.now+faultDuration
}

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

// simRouter is a simulated router.
type simRouter struct {
	incarnation       int
	downUntil         time.Duration
	pausedFrom        time.Duration
	pausedUntil       time.Duration
	presumedDeadUntil time.Duration
	clockOffset       time.Duration
	call              *call
}

// call is a simulated call.
type call struct {
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
	calls   []*call
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
func (w *world) startCall(router int, isRepeat bool) *call {
	r := w.routers[router]
	if w.now < r.downUntil || w.now < r.pausedUntil {
		return nil
	}
	a := &call{name: fmt.Sprintf("ask-%d", len(w.calls)+1), router: router, incarnation: r.incarnation, isRepeat: isRepeat}
	w.calls = append(w.calls, a)
	if r.call != nil && r.call.incarnation == r.incarnation && !r.call.machine.IsDone() {
		result := InProgress()
		a.result = &result
		return a
	}
	r.call = a
	a.machine = w.newMachine(Request{
		Attempt: a.name, Holder: w.holder(router), BodySHA256: "body", IsRepeat: isRepeat,
		Endpoint: "endpoint", IsFenced: w.isFenced,
	})
	w.step(a, Started{})
	return a
}

func (w *world) holder(router int) string {
	return fmt.Sprintf("router-%d/%d", router, w.routers[router].incarnation)
}

func (w *world) isAlive(a *call) bool {
	return w.routers[a.router].incarnation == a.incarnation
}

// step passes an event to a call's attempt once its router is not paused.
func (w *world) step(a *call, event Event) {
	r := w.routers[a.router]
	if !w.isAlive(a) {
		return
	}
	if w.now < r.pausedUntil {
		w.after(r.pausedUntil-w.now, func() { w.step(a, event) })
		return
	}
	a.machine.Step(epoch.Add(w.now+r.clockOffset), event)
	for _, action := range a.machine.Ready() {
		w.begin(a, action)
	}
}

// begin injects the faults planned for this step, then performs it.
func (w *world) begin(a *call, action Action) {
	step := stepOf(action)
	var fired []fault
	for _, planned := range w.plan {
		if planned.step == step && !planned.isInjected {
			planned.isInjected = true
			fired = append(fired, planned.fault)
		}
	}
	if len(fired) == 0 {
		w.perform(a, action, "")
		return
	}
	for _, f := range fired[:len(fired)-1] {
		w.inject(a, f)
	}
	last := fired[len(fired)-1]
	w.inject(a, last)
	switch last {
	case killAfter, pauseAfter:
		w.perform(a, action, "")
		if last == killAfter {
			w.kill(a.router)
		} else {
			w.pause(a.router)
		}
	default:
		w.perform(a, action, last)
	}
}

// perform carries out an action once its router is not paused.
func (w *world) perform(a *call, action Action, f fault) {
	r := w.routers[a.router]
	if !w.isAlive(a) {
		return
	}
	if w.now < r.pausedUntil {
		w.after(r.pausedUntil-w.now, func() { w.perform(a, action, f) })
		return
	}
	switch act := action.(type) {
	case Commit:
		w.after(w.latency(), func() { w.commit(a, act, f) })
	case Read:
		w.after(w.latency(), func() { w.read(a, f) })
	case Send:
		w.after(w.latency(), func() { w.send(a, act) })
	case Fence:
		w.after(w.latency(), func() { w.raiseFence(a, act) })
	case Wait:
		w.after(act.For, func() { w.step(a, WaitElapsed{}) })
	case Reply:
		if !a.isDisconnected {
			a.result = &act.Result
		}
	}
}

func (w *world) respond(a *call, event Event) {
	w.after(w.latency(), func() { w.step(a, event) })
}

func (w *world) commit(a *call, c Commit, f fault) {
	if w.now < w.storeDownUntil {
		w.respond(a, WriteRefused{})
		return
	}
	switch f {
	case writeDelayed:
		w.after(time.Duration(w.rng.Int64N(int64(2*faultDuration))), func() { w.apply(c) })
		w.respond(a, WriteLost{})
	case callLost:
		w.respond(a, WriteLost{})
	case answerLost:
		w.apply(c)
		w.respond(a, WriteLost{})
	default:
		w.respond(a, w.apply(c))
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

func (w *world) read(a *call, f fault) {
	if w.now < w.storeDownUntil || f == answerLost || f == callLost {
		w.respond(a, ReadFailed{})
		return
	}
	event := RowRead{}
	if w.row != nil {
		row := *w.row
		event = RowRead{Row: &row, Version: w.version, IsHolderLive: w.isHolderLive(a, row)}
	}
	w.respond(a, event)
}

// isHolderLive reports whether the router of a presumes the holder live; it may be wrong.
func (w *world) isHolderLive(a *call, row Row) bool {
	if epoch.Add(w.now).Sub(time.UnixMilli(row.CreatedMs)) > HolderTimeout {
		return false
	}
	for i, r := range w.routers {
		isSilent := w.now < r.pausedUntil && w.now > r.pausedFrom+membershipDelay
		if w.holder(i) == row.Holder {
			return i != a.router && w.now >= r.downUntil && !isSilent && w.now >= r.presumedDeadUntil
		}
	}
	return false
}

// send simulates a request at the endpoint.
func (w *world) send(a *call, s Send) {
	f := w.endpointFault
	w.endpointFault = ""
	if f == endpointRefuses {
		w.respond(a, NotSent{})
		return
	}
	if f == requestLost {
		w.respond(a, SendLost{Code: outcome.CodeEndpointFailed})
		return
	}
	if f == runsLate {
		w.after(faultDuration, func() { w.execute(a, s) })
		w.respond(a, SendLost{Code: outcome.CodeEndpointFailed})
		return
	}
	if !w.execute(a, s) {
		w.respond(a, NotSent{})
		return
	}
	answered := Answered{Answer{Status: 200, Body: []byte(a.name)}}
	switch f {
	case answersLate:
		w.after(faultDuration, func() { w.step(a, answered) })
	case answersTwice:
		w.respond(a, answered)
		w.respond(a, answered)
	case answersTruncated, answersMismatched:
		w.respond(a, SendLost{Code: outcome.CodeAnswerTruncated})
	default:
		w.respond(a, answered)
	}
}

// execute runs the request unless the endpoint checks fencing numbers and accepted a
// higher one before.
func (w *world) execute(a *call, s Send) bool {
	if w.isFenced && s.Fencing < w.fence {
		return false
	}
	w.accepted = max(w.accepted, s.Fencing)
	w.runs = append(w.runs, a.name)
	return true
}

func (w *world) raiseFence(a *call, f Fence) {
	isDropped := w.endpointFault != "" && w.endpointFault != answersTwice
	w.endpointFault = ""
	if isDropped || f.Fencing < w.fence {
		w.respond(a, FenceFailed{})
		return
	}
	w.fence = f.Fencing
	w.respond(a, Fenced{Accepted: w.accepted})
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

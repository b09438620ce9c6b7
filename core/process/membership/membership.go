// Package membership tracks which routers are live, from the platform's list,
// which may lag, and from heartbeats that each router exchanges with a few random
// peers (SWIM-style gossip). The views of two routers may differ for seconds, which
// may only affect cache reuse and the spread of load.
//
// Each router probes ProbesPerSecond peers a second, whatever the size of the
// fleet. A heartbeat carries its sender's own state and at most MaxRumors rumors
// about others, so the time to reach the whole fleet grows with the logarithm of
// its size.
//
// The core has no I/O, clock, goroutine or global random source. Only the
// router's control goroutine may use it: it passes events to Step, executes what
// Ready returns and calls Advance.
package membership

import (
	"slices"
	"strings"
	"time"

	"gentianhead/core/process/pacing"
)

// Router is one instance of gentianhead that callers and peers can reach.
type Router struct {
	Instance string `msgpack:"i"`
	Zone     string `msgpack:"z,omitempty"`
	// CallerAddress and PeerAddress are host:port.
	CallerAddress string `msgpack:"c,omitempty"`
	PeerAddress   string `msgpack:"p,omitempty"`
	// Incarnation increases with each start of the instance's process, and when the
	// router refutes a rumor that it is suspect or dead.
	Incarnation uint64 `msgpack:"n"`
	// Leaving routers finish their requests and are no longer offered to callers.
	Leaving bool `msgpack:"l,omitempty"`
}

// State is a router's opinion of another router.
type State uint8

const (
	// Alive is the state of a router unless a probe or rumor contradicts it.
	Alive State = iota
	// Suspect routers didn't answer a probe; they stay in the view until SuspicionTimeout.
	Suspect
	// Dead routers did not refute a suspicion in time.
	Dead
)

// Rumor is the sender's opinion of a router. The addresses are set only for a
// router that is alive.
type Rumor struct {
	State  State  `msgpack:"s,omitempty"`
	Router Router `msgpack:"r"`
}

// Event is an input of the core: one of the types in this file.
type Event interface{ isEvent() }

// ListRead is the platform's list of router instances, read at At.
type ListRead struct {
	At      time.Time
	Routers []Router
}

// Heartbeat is a heartbeat received from a peer at At by this router's clock.
type Heartbeat struct {
	At     time.Time
	Router Router
	Rumors []Rumor
	// IsAnswer marks the answer to a probe of this router, thus a round trip.
	IsAnswer bool
}

// ProbeFailed reports that a probe sent at SentAt was not answered.
type ProbeFailed struct {
	At       time.Time
	SentAt   time.Time
	Instance string
}

// PushRequested asks for a push to a few peers now instead of at the next probe.
type PushRequested struct{ At time.Time }

// Tick advances the time. It should be sent every TickInterval.
type Tick struct{ At time.Time }

func (ListRead) isEvent()      {}
func (Heartbeat) isEvent()     {}
func (ProbeFailed) isEvent()   {}
func (PushRequested) isEvent() {}
func (Tick) isEvent()          {}

const (
	// TickInterval is the time between two Ticks.
	TickInterval = 100 * time.Millisecond
	// ProbesPerSecond is how many peers a router probes each second.
	ProbesPerSecond = 3
	// ProbeTimeout is how long a probe waits for its answer.
	ProbeTimeout = time.Second
	// PushFanout is the maximum number of peers of one push.
	PushFanout = 4
	// PushInterval is the minimum time between two pushes.
	PushInterval = 250 * time.Millisecond
	// MaxRumors bounds the rumors in one heartbeat.
	MaxRumors = 3
	// SuspicionTimeout is how long a suspected router has to refute.
	SuspicionTimeout = 5 * time.Second
	// ImpairedTimeoutFactor multiplies SuspicionTimeout on a router most of whose
	// probes fail: the fault is probably its own.
	ImpairedTimeoutFactor = 3
	// MaxTickGap is the time without a tick after which a router assumes that it
	// was paused and restarts its timers.
	MaxTickGap = 2 * time.Second
	// LeftMemberTTL is how long a router that left is kept as a member, so that an
	// outdated list or rumor doesn't add it again as alive.
	LeftMemberTTL = 10 * time.Minute
	// UnlistedGracePeriod is how long a router that is not alive may be missing from
	// the list before it is removed.
	UnlistedGracePeriod = time.Minute
	// MaxMembers limits the peers that a router keeps.
	MaxMembers = 16384
)

// View is an immutable snapshot of the live routers, sorted by instance.
type View struct {
	Routers []Router
}

// Find returns the router with this instance name.
func (v *View) Find(instance string) (Router, bool) {
	i, ok := slices.BinarySearchFunc(v.Routers, instance, func(r Router, name string) int {
		return strings.Compare(r.Instance, name)
	})
	if !ok {
		return Router{}, false
	}
	return v.Routers[i], true
}

// Slot returns the position of an instance in the view, for pacing of reads.
func (v *View) Slot(instance string) pacing.Slot {
	rank, _ := slices.BinarySearchFunc(v.Routers, instance, func(r Router, name string) int {
		return strings.Compare(r.Instance, name)
	})
	return pacing.Slot{Rank: rank, Size: len(v.Routers)}
}

// Ready lists the pending work of the core's owner. The zero value means none.
type Ready struct {
	// Probe lists routers to send a heartbeat to, which answer with their own.
	// Probes go to random routers including dead ones, so the share that is
	// answered shows how much of the fleet is reachable.
	Probe []Router
	// Push lists live routers to send an unscheduled heartbeat to.
	Push []Router
	// View, if not nil, should be published to the request handlers.
	View *View
}

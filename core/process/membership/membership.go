// Package membership decides which routers a router believes to be live, from
// the platform's lagging list and from heartbeats that each router exchanges
// with a few random peers. Two routers may disagree for seconds; nothing but
// cache reuse and load skew may depend on their agreeing.
//
// Each router probes ProbesPerSecond peers a second, whatever the size of the
// fleet. A heartbeat carries its sender's own state and at most MaxRumors rumors
// about others, so that news reaches the fleet in a time that grows with the
// logarithm of its size.
//
// The core has no I/O, clock, goroutine or global random source. Only the
// router's control goroutine may use it: it passes events to Step, carries out
// what Ready returns and calls Advance.
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
	// Incarnation rises with each start of the instance's process, and when it
	// refutes a rumor of its death.
	Incarnation uint64 `msgpack:"n"`
	// Leaving routers finish what they have and are named in no entry answer.
	Leaving bool `msgpack:"l,omitempty"`
}

// State is what a router believes of another.
type State uint8

const (
	// Alive routers answered, or nothing speaks against them.
	Alive State = iota
	// Suspect routers missed a probe and stay in the view until SuspicionTimeout.
	Suspect
	// Dead routers did not refute a suspicion in time.
	Dead
)

// Rumor passes on what its sender believes of a router. The addresses are set
// only for a router that is alive.
type Rumor struct {
	State  State  `msgpack:"s,omitempty"`
	Router Router `msgpack:"r"`
}

// Event is something that the core learns. The types in this file are all of them.
type Event interface{ isEvent() }

// ListRead is the platform's list of router instances as read at At.
type ListRead struct {
	At      time.Time
	Routers []Router
}

// Heartbeat is a sign of life of a peer, at At by this router's clock.
type Heartbeat struct {
	At     time.Time
	Router Router
	Rumors []Rumor
	// IsAnswer marks the answer to a probe of this router, which is a round trip.
	IsAnswer bool
}

// ProbeFailed reports that a probe sent at SentAt found no answer.
type ProbeFailed struct {
	At       time.Time
	SentAt   time.Time
	Instance string
}

// Urgent asks for news to be pushed to a few peers now and not at the next probe.
type Urgent struct{ At time.Time }

// Tick lets time pass. It should come every TickInterval.
type Tick struct{ At time.Time }

func (ListRead) isEvent()    {}
func (Heartbeat) isEvent()   {}
func (ProbeFailed) isEvent() {}
func (Urgent) isEvent()      {}
func (Tick) isEvent()        {}

// Limits and intervals of the protocol.
const (
	// TickInterval is the time between two ticks.
	TickInterval = 100 * time.Millisecond
	// ProbesPerSecond is how many peers a router probes each second.
	ProbesPerSecond = 3
	// ProbeTimeout is how long a probe waits for its answer.
	ProbeTimeout = time.Second
	// PushFanOut is how many peers urgent news goes to at once.
	PushFanOut = 4
	// PushInterval is the least time between two pushes.
	PushInterval = 250 * time.Millisecond
	// MaxRumors bounds the rumors in one heartbeat.
	MaxRumors = 3
	// SuspicionTimeout is how long a suspected router has to refute.
	SuspicionTimeout = 5 * time.Second
	// ImpairedFactor lengthens SuspicionTimeout on a router most of whose own
	// probes fail, and which is thus likely to be at fault itself.
	ImpairedFactor = 3
	// GapLimit is the time without a tick after which a router takes itself for
	// paused and drops what it was waiting for.
	GapLimit = 2 * time.Second
	// ForgetAfter is how long a router that left is remembered.
	ForgetAfter = 10 * time.Minute
	// ListGrace is how long a router that is not alive may be missing from the
	// list before it is forgotten.
	ListGrace = time.Minute
	// MaxMembers bounds the peers that a router remembers.
	MaxMembers = 16384
)

// View is an immutable picture of the live routers, sorted by instance.
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

// Slot returns the position of an instance in the view, for the pacing of reads.
func (v *View) Slot(instance string) pacing.Slot {
	rank, _ := slices.BinarySearchFunc(v.Routers, instance, func(r Router, name string) int {
		return strings.Compare(r.Instance, name)
	})
	return pacing.Slot{Rank: rank, Size: len(v.Routers)}
}

// Ready is what the owner has to do now. The zero value asks for nothing.
type Ready struct {
	// Probe names a router to send a heartbeat to, which answers with its own.
	// Probes go to random routers, dead ones included, so that the share that is
	// answered tells how much of the fleet can be reached.
	Probe []Router
	// Push names live routers that should hear news at once by a heartbeat.
	Push []Router
	// View, when not nil, is to be published to traffic.
	View *View
}

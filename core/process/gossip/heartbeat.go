// Package gossip exchanges state between a router and its peers: the live
// routers, the revision in force, the withdrawn endpoints and the time of the last
// store read. It combines the cores of membership, isolation and withdrawal.
//
// The core has no I/O, clock, goroutine or global random source. The router's
// control goroutine passes events to Step, carries out what Ready returns and
// calls Advance. Message values are immutable and may be shared.
package gossip

import (
	"time"

	"gentianhead/core/process/membership"
	"gentianhead/core/process/presence"
	"gentianhead/core/process/withdrawal"
	"gentianhead/core/version/resource"
)

// Heartbeat shows that its sender is alive and carries the updates it disseminates.
// A router answers a heartbeat with its own. Its size is bounded by
// membership.MaxRumors and withdrawal.MaxMarks.
type Heartbeat struct {
	Router membership.Router `msgpack:"m"`
	// Revision is the revision in force on the sender.
	Revision resource.Revision  `msgpack:"r"`
	Rumors   []membership.Rumor `msgpack:"u,omitempty"`
	// IsOutOfTouch reports that the sender recently failed to reach most of its peers.
	IsOutOfTouch bool `msgpack:"k,omitempty"`
	// StoreAgeMillis is the age in milliseconds of the last known store read, plus
	// one; zero means unknown.
	StoreAgeMillis int64 `msgpack:"a,omitempty"`
	// WithdrawnHash is the Hash of the sender's withdrawal.Set.
	WithdrawnHash uint64 `msgpack:"h,omitempty"`
	// Withdrawn holds the sender's marks if they changed recently, or if this
	// heartbeat answers one with another WithdrawnHash.
	Withdrawn []withdrawal.Mark `msgpack:"w,omitempty"`
	// Verdicts are the sender's decisions on requests that crash endpoints. The owner sets
	// and reads them; the core doesn't.
	Verdicts []presence.Verdict `msgpack:"v,omitempty"`
	// Crashes are those that the sender saw, set and read as Verdicts are, without them.
	Crashes presence.CrashEvidence `msgpack:"c"`
	// Rates are the request rates that endpoints stated, set and read by the owner as well.
	Rates []presence.StatedRate `msgpack:"s,omitempty"`
}

// Message is the content of a router's heartbeats and answers until its state
// changes.
type Message struct {
	heartbeat Heartbeat
	marks     []withdrawal.Mark
}

// Answer returns the answer to a peer's heartbeat. It is safe for concurrent use.
func (m *Message) Answer(heartbeat Heartbeat) Heartbeat {
	answer := m.heartbeat
	if heartbeat.WithdrawnHash != answer.WithdrawnHash {
		answer.Withdrawn = m.marks
	}
	return answer
}

// Event is an input of the core: one of the types in this file.
type Event interface{ isEvent() }

// Tick advances the time. It should be sent every membership.TickInterval. InForce
// is the revision in force on this router.
type Tick struct {
	At      time.Time
	InForce resource.Revision
}

// Received reports a heartbeat received from a peer and the answer sent to it.
type Received struct {
	At        time.Time
	Heartbeat Heartbeat
	Answered  Heartbeat
}

// Sent reports the result of a Send. Answer is nil if none arrived in time.
type Sent struct {
	At     time.Time
	SentAt time.Time
	Send   Send
	Answer *Heartbeat
}

// StoreRead reports a successful read of the head row that started at SentAt.
type StoreRead struct {
	SentAt   time.Time
	Revision resource.Revision
}

// ListRead reports the platform's list, received at At by a call started at SentAt.
type ListRead struct {
	At        time.Time
	SentAt    time.Time
	Routers   []membership.Router
	Endpoints []withdrawal.ListedEndpoint
}

// Refused reports that the endpoint at Address refused work as withdrawn.
type Refused struct {
	At      time.Time
	Address string
}

// InForce reports that a revision came into force, with the addresses of its
// endpoints.
type InForce struct {
	At        time.Time
	Revision  resource.Revision
	Addresses []string
}

// Leave reports that this router starts its planned shutdown.
type Leave struct{ At time.Time }

func (Tick) isEvent()      {}
func (Received) isEvent()  {}
func (Sent) isEvent()      {}
func (StoreRead) isEvent() {}
func (ListRead) isEvent()  {}
func (Refused) isEvent()   {}
func (InForce) isEvent()   {}
func (Leave) isEvent()     {}

// Send is a request to send a heartbeat to a router.
type Send struct {
	To        membership.Router
	Heartbeat Heartbeat
	// IsProbe marks a probe of a randomly chosen member, which may be dead. Other
	// heartbeats push urgent updates to live routers.
	IsProbe bool
}

// Ready holds the actions that the owner should carry out now. The zero value holds
// none.
type Ready struct {
	Send []Send
	// IsChanged reports that View, IsIsolated or Withdrawn changed.
	IsChanged bool
}

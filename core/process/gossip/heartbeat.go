// Package gossip decides what a router tells its peers and what it takes from
// them: who is live, which revision is in force, which endpoints are withdrawn
// and when the store was last read. It puts the cores of membership, isolation
// and withdrawal together.
//
// The core has no I/O, clock, goroutine or global random source. The router's
// control goroutine passes events to Step, carries out what Ready returns and
// calls Advance. Message values are immutable and may be shared.
package gossip

import (
	"time"

	"gentianhead/core/process/membership"
	"gentianhead/core/process/withdrawal"
	"gentianhead/core/version/resource"
)

// Heartbeat is a sign of life of its sender with the news that it passes on. The
// answer to a heartbeat is the heartbeat of the router that answers. Its size is
// bounded by membership.MaxRumors and withdrawal.MaxMarks.
type Heartbeat struct {
	Router membership.Router `msgpack:"m"`
	// Revision is in force on the sender.
	Revision resource.Revision  `msgpack:"r"`
	Rumors   []membership.Rumor `msgpack:"u,omitempty"`
	// IsOutOfTouch says that the sender has not reached most of its peers lately.
	IsOutOfTouch bool `msgpack:"k,omitempty"`
	// StoreAgeMillis is how many milliseconds before this heartbeat the store is
	// known to have been read, plus one; zero means that it is not known.
	StoreAgeMillis int64 `msgpack:"a,omitempty"`
	// WithdrawnHash is the Hash of the sender's withdrawal.Set.
	WithdrawnHash uint64 `msgpack:"h,omitempty"`
	// Withdrawn are the sender's marks, if they are new or if the heartbeat that
	// this one answers had another WithdrawnHash.
	Withdrawn []withdrawal.Mark `msgpack:"w,omitempty"`
}

// Message is what a router sends and answers until the next one is made.
type Message struct {
	heartbeat Heartbeat
	marks     []withdrawal.Mark
}

// Answer returns the answer to a peer's heartbeat. It may be called from any
// goroutine.
func (m *Message) Answer(heartbeat Heartbeat) Heartbeat {
	answer := m.heartbeat
	if heartbeat.WithdrawnHash != answer.WithdrawnHash {
		answer.Withdrawn = m.marks
	}
	return answer
}

// Event is something that the core learns. The types in this file are all of them.
type Event interface{ isEvent() }

// Tick lets time pass. It should come every membership.TickInterval. InForce is
// the revision in force on this router.
type Tick struct {
	At      time.Time
	InForce resource.Revision
}

// Received is a heartbeat that a peer sent, with what it was answered.
type Received struct {
	At        time.Time
	Heartbeat Heartbeat
	Answered  Heartbeat
}

// Sent reports how a Send ended. Answer is nil if no answer came in time.
type Sent struct {
	At     time.Time
	SentAt time.Time
	Send   Send
	Answer *Heartbeat
}

// StoreRead reports a successful read of the head row that was begun at SentAt.
type StoreRead struct {
	SentAt   time.Time
	Revision resource.Revision
}

// ListRead is the platform's list as read at At by a call begun at SentAt.
type ListRead struct {
	At        time.Time
	SentAt    time.Time
	Routers   []membership.Router
	Endpoints []withdrawal.Listed
}

// Refused reports that the endpoint at Address answered that it is withdrawn.
type Refused struct {
	At      time.Time
	Address string
}

// InForce reports that a revision came in force, with the addresses of the
// endpoints that it names.
type InForce struct {
	At        time.Time
	Revision  resource.Revision
	Addresses []string
}

// Leave reports that this router begins its planned stop.
type Leave struct{ At time.Time }

func (Tick) isEvent()      {}
func (Received) isEvent()  {}
func (Sent) isEvent()      {}
func (StoreRead) isEvent() {}
func (ListRead) isEvent()  {}
func (Refused) isEvent()   {}
func (InForce) isEvent()   {}
func (Leave) isEvent()     {}

// Send asks for a heartbeat to be sent to a router.
type Send struct {
	To        membership.Router
	Heartbeat Heartbeat
	// IsProbe marks a heartbeat to a router picked at random from all, dead ones
	// included; the others carry urgent news to live routers.
	IsProbe bool
}

// Ready is what the owner has to do now. The zero value asks for nothing.
type Ready struct {
	Send []Send
	// IsChanged says that View, IsIsolated or Withdrawn changed.
	IsChanged bool
}

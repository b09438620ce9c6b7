package config

import (
	"time"

	"gentianhead/core/version/resource"
)

// Event is something that the core learns. The types in this file are all of them.
type Event interface{ isEvent() }

// StoreHead reports the fleet's head revision as read from the table service.
type StoreHead struct {
	Revision resource.Revision
	// IsConfirmed says that the table service's transaction check vouched for
	// the revision after the read, so that it was not a stale one.
	IsConfirmed bool
}

// PeerHead reports the revision that a peer has in force. It may be lower than
// before, when the peer started anew.
type PeerHead struct {
	Instance string
	Revision resource.Revision
}

// Changes delivers consecutive changes, from the store or from a peer.
type Changes struct {
	// Fetch is the ID of the Fetch that is answered.
	Fetch   FetchID
	Objects []resource.Object
}

// State delivers the whole configuration at one revision.
type State struct {
	// Fetch is the ID of the Fetch that is answered.
	Fetch    FetchID
	Revision resource.Revision
	Objects  []resource.Object
}

// FetchFailed reports that a Fetch ended without an answer.
type FetchFailed struct{ Fetch FetchID }

// Tick tells the time. Only differences between ticks count, and a step back
// counts as no time at all.
type Tick struct{ At time.Time }

func (StoreHead) isEvent()   {}
func (PeerHead) isEvent()    {}
func (Changes) isEvent()     {}
func (State) isEvent()       {}
func (FetchFailed) isEvent() {}
func (Tick) isEvent()        {}

// Source is where a Fetch should read.
type Source int

const (
	// SourceStore is the table service.
	SourceStore Source = iota
	// SourcePeer is another router.
	SourcePeer
)

// FetchID numbers the fetches of one core; zero is no fetch.
type FetchID uint64

// Fetch asks for the changes after a revision. Its answer comes back as
// Changes, State or FetchFailed with the same ID.
type Fetch struct {
	ID     FetchID
	Source Source
	// Instance is the peer to ask when Source is SourcePeer.
	Instance string
	After    resource.Revision
}

// Ready is what the owner has to do now. The zero value asks for nothing.
type Ready struct {
	// Snapshot, when not nil, is to be published to traffic.
	Snapshot *resource.Snapshot
	// IsReady says that the router may serve: it has in force at least the
	// revision that the store confirmed after the router started.
	IsReady bool
	// Fetch, when not nil, is to be started; it is in flight after Advance.
	Fetch *Fetch
	// TickWithin is the longest time until the next Tick; zero means that the
	// core waits for no time to pass.
	TickWithin time.Duration
}

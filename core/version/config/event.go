package config

import (
	"time"

	"gentianhead/core/version/resource"
)

// Event is an input of the core: one of the types in this file.
type Event interface{ isEvent() }

// StoreHead reports the fleet's head revision as read from the table service.
type StoreHead struct {
	Revision resource.Revision
	// IsConfirmed means that the read was not stale, as a transaction that checked
	// the head row after the read confirmed.
	IsConfirmed bool
}

// PeerHead reports the revision in force on a peer. It may decrease when the peer
// restarts.
type PeerHead struct {
	Instance string
	Revision resource.Revision
}

// Changes delivers consecutive changes, from the store or from a peer.
type Changes struct {
	Fetch   FetchID
	Objects []resource.Object
}

// State delivers the whole configuration at one revision.
type State struct {
	Fetch    FetchID
	Revision resource.Revision
	Objects  []resource.Object
}

// FetchFailed reports that a Fetch ended without an answer.
type FetchFailed struct{ Fetch FetchID }

// Tick reports the current time. Only differences between ticks count; a backward
// clock step counts as zero.
type Tick struct{ At time.Time }

func (StoreHead) isEvent()   {}
func (PeerHead) isEvent()    {}
func (Changes) isEvent()     {}
func (State) isEvent()       {}
func (FetchFailed) isEvent() {}
func (Tick) isEvent()        {}

// Source is the kind of source that a Fetch reads from.
type Source int

const (
	// SourceStore is the table service.
	SourceStore Source = iota
	// SourcePeer is another router.
	SourcePeer
)

// FetchID identifies a fetch of one core; zero means none.
type FetchID uint64

// Fetch requests the changes after a revision. The answer is a Changes, State or
// FetchFailed event with the same ID.
type Fetch struct {
	ID     FetchID
	Source Source
	// Instance is the peer to fetch from when Source is SourcePeer.
	Instance string
	After    resource.Revision
}

// Ready holds the actions that the owner should carry out. The zero value holds none.
type Ready struct {
	// Snapshot, when not nil, should be published to request handling.
	Snapshot *resource.Snapshot
	// IsReady reports whether the router may serve: it has received at least the
	// revision that the store confirmed after the start.
	IsReady bool
	// Fetch, when not nil, should be started; it is in flight after Advance.
	Fetch *Fetch
	// MaxTickDelay is the maximum time until the next Tick; zero means that no
	// timer is pending.
	MaxTickDelay time.Duration
}

// Package config decides which configuration revision a router has in force.
//
// The core is a state machine without I/O, clock or goroutine: the owner passes
// events to Step, carries out what Ready returns, and calls Advance. Only the
// router's control goroutine may use a Core.
//
// Invariant: the revision in force never falls, whatever order events arrive in.
package config

import "gentianhead/core/version/resource"

// Event is something that the core learns. The types in this file are all of them.
type Event interface{ isEvent() }

// StoreHead reports the fleet's head revision as read from the table service.
type StoreHead struct{ Revision resource.Revision }

// PeerHead reports the revision that a peer has in force.
type PeerHead struct {
	Instance string
	Revision resource.Revision
}

// Changes delivers consecutive changes, from the store or from a peer.
type Changes struct{ Objects []resource.Object }

// State delivers the whole configuration at one revision.
type State struct {
	Revision resource.Revision
	Objects  []resource.Object
}

func (StoreHead) isEvent() {}
func (PeerHead) isEvent()  {}
func (Changes) isEvent()   {}
func (State) isEvent()     {}

// Source is where a Fetch should read.
type Source int

const (
	// SourceStore is the table service.
	SourceStore Source = iota
	// SourcePeer is another router.
	SourcePeer
)

// Fetch asks for the changes after a revision.
type Fetch struct {
	Source   Source
	Instance string
	After    resource.Revision
}

// Ready is what the owner has to do now. The zero value asks for nothing.
type Ready struct {
	// Snapshot, when not nil, is to be published to traffic.
	Snapshot *resource.Snapshot
	// Fetch, when not nil, is to be carried out; its answer comes back as
	// Changes or State.
	Fetch *Fetch
}

// Core holds the configuration of one router.
type Core struct {
	snapshot  *resource.Snapshot
	published resource.Revision
	known     resource.Revision
	source    Fetch
}

// New returns a core with nothing in force.
func New() *Core {
	return &Core{snapshot: resource.NewSnapshot(0, nil)}
}

// InForce returns the revision in force.
func (c *Core) InForce() resource.Revision {
	return c.snapshot.Revision()
}

// Snapshot returns the configuration in force.
func (c *Core) Snapshot() *resource.Snapshot {
	return c.snapshot
}

// Step takes one event in.
func (c *Core) Step(event Event) {
	switch e := event.(type) {
	case StoreHead:
		c.learn(e.Revision, Fetch{Source: SourceStore})
	case PeerHead:
		c.learn(e.Revision, Fetch{Source: SourcePeer, Instance: e.Instance})
	case Changes:
		c.applyChanges(e.Objects)
	case State:
		if e.Revision > c.snapshot.Revision() {
			c.snapshot = resource.NewSnapshot(e.Revision, e.Objects)
		}
	}
}

func (c *Core) learn(revision resource.Revision, from Fetch) {
	if revision > c.known {
		c.known = revision
		c.source = from
	}
}

// applyChanges skips what is in force already and stops at the first gap.
func (c *Core) applyChanges(changes []resource.Object) {
	for i, change := range changes {
		if change.Revision > c.snapshot.Revision() {
			c.snapshot, _ = c.snapshot.Apply(changes[i:])
			return
		}
	}
}

// Ready returns what is to be done.
func (c *Core) Ready() Ready {
	var ready Ready
	if c.snapshot.Revision() > c.published {
		ready.Snapshot = c.snapshot
	}
	if c.known > c.snapshot.Revision() {
		fetch := c.source
		fetch.After = c.snapshot.Revision()
		ready.Fetch = &fetch
	}
	return ready
}

// Advance tells the core that the last Ready was carried out.
func (c *Core) Advance() {
	c.published = c.snapshot.Revision()
}

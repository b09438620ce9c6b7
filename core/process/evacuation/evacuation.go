// Package evacuation keeps the set of zones whose endpoints get no requests.
//
// An operator states the zones as rows of a table of the store. The set is known as of a
// revision of that table: a read of the store, or another router's set of a higher revision,
// replaces it. It is kept while the store is unavailable.
//
// The store may also come back from an older copy, which can lack a row that the operator
// will write again. Zones stay evacuated for endpoints.RecoveryGrace after that.
//
// The core has no I/O, clock or goroutine and is not safe for concurrent use. Sets are
// immutable.
package evacuation

import (
	"slices"
	"time"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/table"
)

// MaxZones is the number of zones above which further ones are skipped. All routers send each
// other the set in every beacon.
const MaxZones = 64

// MaxZoneBytes is the length of the longest name of a zone, far above those in use. A beacon
// with MaxZones of them, and as many that are kept, fits into a datagram.
const MaxZoneBytes = 64

// Row is a row that requests the evacuation of a zone, or its removal.
type Row struct {
	Zone      string
	Revision  table.Revision
	IsRemoved bool
}

// State is the set of a router as it is sent to others.
type State struct {
	Era     uint64 `msgpack:"e,omitempty"`
	Version uint64 `msgpack:"v,omitempty"`
	// Zones are the zones in the store as of Era and Version, sorted.
	Zones []string `msgpack:"z,omitempty"`
	// Kept are the zones that stay evacuated for KeptFor, since the store has a new era.
	Kept    []string      `msgpack:"k,omitempty"`
	KeptFor time.Duration `msgpack:"u,omitempty"`
}

func (s *State) revision() table.Revision { return table.Revision{Era: s.Era, Version: s.Version} }

// Core holds the set known to one router. Times are read from a clock that keeps running
// during suspend.
type Core struct {
	isKnown  bool
	revision table.Revision
	// zones are those in the store as of revision, sorted.
	zones []string
	// era is the highest era of the store that is known.
	era uint64
	// kept are the zones that stay evacuated until keptUntil; zero in an era that this router
	// has known from its start.
	kept      []string
	keptUntil time.Duration
}

// New returns a core that knows no set yet.
func New() *Core { return &Core{} }

// IsKnown reports whether a set was read or adopted.
func (c *Core) IsKnown() bool { return c.isKnown }

// Revision returns the revision as of which the set is known.
func (c *Core) Revision() table.Revision { return c.revision }

// Zones returns the evacuated zones, sorted. Callers must not modify the slice.
func (c *Core) Zones(now time.Duration) []string {
	if now >= c.keptUntil || len(c.kept) == 0 {
		return c.zones
	}
	return union(c.zones, c.kept)
}

func union(a, b []string) []string {
	all := slices.Sorted(slices.Values(slices.Concat(a, b)))
	return slices.Compact(all)
}

// Read applies a response of the store that brings its reader to a revision: the whole table
// if it is a snapshot, or else the changes since the response before. It returns the number of
// zones skipped because there are too many.
func (c *Core) Read(now time.Duration, revision table.Revision, isSnapshot bool, rows []Row) (skipped int) {
	c.RaiseEra(now, revision.Era)
	if c.isKnown && revision.Compare(c.revision) < 0 || !c.isKnown && !isSnapshot {
		return 0
	}
	zones := c.zones
	if isSnapshot {
		zones = nil
	}
	// The last change of a row counts, also where an adopted set contains some of the changes.
	// With too many rows, the oldest count: later ones displace no zone.
	rows = slices.SortedStableFunc(slices.Values(rows), func(a, b Row) int { return a.Revision.Compare(b.Revision) })
	for _, row := range rows {
		at, isListed := slices.BinarySearch(zones, row.Zone)
		switch {
		case isListed != row.IsRemoved:
		case isListed:
			zones = slices.Delete(slices.Clone(zones), at, at+1)
		case len(zones) == MaxZones:
			skipped++
		default:
			zones = slices.Insert(slices.Clone(zones), at, row.Zone)
		}
	}
	c.isKnown, c.revision, c.zones = true, revision, zones
	return skipped
}

// Adopt applies the set of another router; nil if it stated none.
func (c *Core) Adopt(now time.Duration, other *State) {
	if other == nil || len(other.Zones) > MaxZones || len(other.Kept) > 2*MaxZones {
		return
	}
	c.RaiseEra(now, other.Era)
	if !c.isKnown || other.revision().Compare(c.revision) > 0 {
		c.isKnown, c.revision, c.zones = true, other.revision(), union(other.Zones, nil)
	}
	// Only once in an era: routers that adopt the rest of the time from each other would
	// prolong it by the delay of each beacon.
	if len(other.Kept) > 0 && other.Era == c.era && c.keptUntil == 0 {
		c.kept, c.keptUntil = union(other.Kept, nil), now+min(max(0, other.KeptFor), endpoints.RecoveryGrace)
	}
}

// RaiseEra records an era of the store. If it is higher than the known one, the store has come
// back from an older copy.
func (c *Core) RaiseEra(now time.Duration, era uint64) {
	if era <= c.era {
		return
	}
	c.era = era
	if c.isKnown {
		c.kept, c.keptUntil = c.Zones(now), now+endpoints.RecoveryGrace
	}
}

// State returns the set to send to other routers, or nil while none is known.
func (c *Core) State(now time.Duration) *State {
	if !c.isKnown {
		return nil
	}
	state := &State{Era: c.revision.Era, Version: c.revision.Version, Zones: c.zones}
	if now < c.keptUntil && len(c.kept) > 0 && c.revision.Era == c.era {
		state.Kept, state.KeptFor = c.kept, c.keptUntil-now
	}
	return state
}

// Equals reports whether another router is known to have the same zones from the store.
func (c *Core) Equals(other *State) bool {
	return c.isKnown && other != nil && slices.Equal(c.zones, other.Zones)
}

// Contains reports whether a zone is in a sorted set.
func Contains(zones []string, zone string) bool {
	_, isFound := slices.BinarySearch(zones, zone)
	return isFound
}

// Package endpoints decides which endpoints may be sent new work, based on the
// entries that endpoints renew in the store.
//
// A removed entry means that its endpoint is gone, unless the store was
// unavailable: entries that can't be renewed expire, and live endpoints write
// theirs again within RecoveryGrace of the store's recovery. Until then, endpoints
// whose entries were removed stay in the view.
//
// The store may also come back from an older copy, which can have entries of endpoints
// that have left since, and lack entries of others until they are written again. An
// endpoint that was found draining or removed before is not used again until a later
// process of it writes an entry.
//
// The core has no I/O, clock or goroutine and is not safe for concurrent use.
// Views are immutable.
package endpoints

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// RecoveryGrace is how long after the store's recovery the entry of a live endpoint
// may be missing. The platform documents about 2 s. Withdrawals must take effect
// again 3 s after the recovery, which a router may notice 0.8 s late.
const RecoveryGrace = 2200 * time.Millisecond

// Entry is an endpoint's own description of itself.
type Entry struct {
	ID      string
	Service string
	// Address is host:port. Another endpoint may reuse it later.
	Address string
	Zone    string
	// Slots is how many requests the endpoint runs concurrently.
	Slots int
	// IsDraining endpoints take no new work.
	IsDraining bool
	// StartedAt is the endpoint's start in Unix milliseconds. An endpoint that
	// restarts under the same id has lost its state.
	StartedAt int64
	// Cold is how long the endpoint is still cold, as its entry states; IsColdUnknown is set
	// if that doesn't say.
	Cold          time.Duration
	IsColdUnknown bool
	// ColdFrom is when the entry of an endpoint that may be cold arrived, zero for others.
	// The core sets it.
	ColdFrom time.Duration
}

// MaxCold bounds the time for which an endpoint may be cold, so that a mistake doesn't last.
const MaxCold = time.Minute

// ColdUntil returns when the endpoint is no longer cold, on the clock of ColdFrom; zero if it
// never was. An endpoint whose entry doesn't say is cold for coldStart after it started.
func (e Entry) ColdUntil(coldStart time.Duration) time.Duration {
	if e.ColdFrom == 0 {
		return 0
	}
	cold := e.Cold
	if e.IsColdUnknown {
		cold = coldStart
	}
	return e.ColdFrom + max(0, min(cold, MaxCold))
}

// Process names one process of an endpoint: a restarted one, or another endpoint at the
// address, has another name.
func (e Entry) Process() string { return fmt.Sprintf("%s/%s/%d", e.ID, e.Address, e.StartedAt) }

// View is an immutable snapshot of the endpoints that may be sent new work and of
// those that are draining.
type View struct {
	byService map[string][]Entry
	byID      map[string]Entry
	draining  map[string][]Entry
}

// InService returns the endpoints of a service that may be sent new work, sorted by
// id. Callers must not modify the slice.
func (v *View) InService(service string) []Entry { return v.byService[service] }

// Draining returns the endpoints of a service that take no new work and are about to
// stop, sorted by id. Callers must not modify the slice.
func (v *View) Draining(service string) []Entry { return v.draining[service] }

// Find returns the endpoint with the given id if it may be sent new work.
func (v *View) Find(id string) (Entry, bool) {
	entry, ok := v.byID[id]
	return entry, ok
}

// All returns the endpoints that may be sent new work, sorted by id.
func (v *View) All() []Entry {
	return slices.SortedFunc(maps.Values(v.byID), func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
}

// Len returns the number of endpoints that may be sent new work.
func (v *View) Len() int { return len(v.byID) }

// Core holds the entries known to one router. Times are read from a clock that
// keeps running during suspend.
type Core struct {
	entries map[string]Entry
	// lapsed maps the ids of entries that were removed around a store outage to the
	// times of their removal.
	lapsed            map[string]time.Duration
	isStoreDown       bool
	hasStoreResponded bool
	recoveredAt       time.Duration
	// departed maps the ids of endpoints whose entries were draining or removed to the
	// start of that process, and barred those that were when the store came back from an
	// older copy.
	departed, barred map[string]int64
	view             *View
}

// maxDeparted is the number of departed endpoints above which they are forgotten.
const maxDeparted = 8192

// New returns an empty core.
func New() *Core {
	c := &Core{
		entries: make(map[string]Entry), lapsed: make(map[string]time.Duration),
		departed: make(map[string]int64), barred: make(map[string]int64),
	}
	c.rebuild()
	return c
}

// View returns the current view.
func (c *Core) View() *View { return c.view }

// StoreFailed records that a store call failed.
func (c *Core) StoreFailed() { c.isStoreDown = true }

// StoreResponded records that a store call succeeded.
func (c *Core) StoreResponded(now time.Duration) {
	if c.isStoreDown && c.hasStoreResponded {
		c.recoveredAt = now
	}
	c.isStoreDown, c.hasStoreResponded = false, true
}

// StoreRestored records that the store has come back from an older copy.
func (c *Core) StoreRestored(now time.Duration) {
	c.recoveredAt, c.hasStoreResponded = now, true
	if len(c.barred)+len(c.departed) > maxDeparted {
		clear(c.barred)
	}
	maps.Copy(c.barred, c.departed)
}

// IsSettled reports whether a missing entry means that its endpoint is gone: the
// store responds, and any recovery was at least RecoveryGrace ago.
func (c *Core) IsSettled(now time.Duration) bool {
	return !c.isStoreDown && (c.recoveredAt == 0 || now-c.recoveredAt >= RecoveryGrace)
}

// IsLapsed reports whether an entry was removed but its endpoint is kept, as the
// entry may only have expired.
func (c *Core) IsLapsed(id string) bool {
	_, isLapsed := c.lapsed[id]
	return isLapsed
}

// Apply applies written entries and the ids of removed ones.
func (c *Core) Apply(now time.Duration, written []Entry, removed []string) {
	c.apply(now, written, removed, c.IsSettled(now))
}

// ApplySettled is Apply for changes read by another router that is settled. The
// store may refuse this router while it serves the other.
func (c *Core) ApplySettled(now time.Duration, written []Entry, removed []string) {
	c.apply(now, written, removed, true)
}

func (c *Core) apply(now time.Duration, written []Entry, removed []string, isSettled bool) {
	isFirst := len(c.entries) == 0
	for _, entry := range written {
		entry.ColdFrom = c.coldFrom(now, entry, isFirst)
		c.put(entry)
	}
	for _, id := range removed {
		c.remove(now, id, isSettled)
	}
	c.rebuild()
}

// Tick removes endpoints kept during an outage whose entries did not reappear.
func (c *Core) Tick(now time.Duration) (isChanged bool) {
	if len(c.lapsed) == 0 || !c.IsSettled(now) {
		return false
	}
	for id := range c.lapsed {
		c.depart(c.entries[id])
		delete(c.entries, id)
	}
	clear(c.lapsed)
	c.rebuild()
	return true
}

// coldFrom returns ColdFrom of an entry. One that doesn't say whether it is cold may be if its
// process is new, unless isFirst is set: the first entries read are of endpoints that may have
// started long ago.
func (c *Core) coldFrom(now time.Duration, entry Entry, isFirst bool) time.Duration {
	if !entry.IsColdUnknown {
		if entry.Cold > 0 {
			return now
		}
		return 0
	}
	known, isKnown := c.entries[entry.ID]
	if isKnown && known.StartedAt == entry.StartedAt && known.Address == entry.Address {
		return known.ColdFrom
	}
	startedAt, hasDeparted := c.departed[entry.ID]
	if isFirst || hasDeparted && startedAt == entry.StartedAt {
		return 0
	}
	return now
}

func (c *Core) put(entry Entry) {
	if startedAt, isBarred := c.barred[entry.ID]; isBarred {
		if entry.StartedAt <= startedAt {
			// Draining entries stay in the view as sources of cached parts.
			entry.IsDraining = true
		} else {
			delete(c.barred, entry.ID)
		}
	}
	delete(c.lapsed, entry.ID)
	c.entries[entry.ID] = entry
	delete(c.departed, entry.ID)
	if entry.IsDraining {
		c.depart(entry)
	}
}

func (c *Core) depart(entry Entry) {
	if len(c.departed) >= maxDeparted {
		clear(c.departed)
	}
	c.departed[entry.ID] = entry.StartedAt
}

func (c *Core) remove(now time.Duration, id string, isSettled bool) {
	entry, known := c.entries[id]
	if !known {
		return
	}
	if isSettled || entry.IsDraining {
		c.depart(entry)
		delete(c.entries, id)
		delete(c.lapsed, id)
		return
	}
	c.lapsed[id] = now
}

func (c *Core) rebuild() {
	view := &View{
		byService: make(map[string][]Entry),
		byID:      make(map[string]Entry, len(c.entries)),
		draining:  make(map[string][]Entry),
	}
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		entry := c.entries[id]
		if c.isSuperseded(entry) {
			continue
		}
		if entry.IsDraining {
			view.draining[entry.Service] = append(view.draining[entry.Service], entry)
			continue
		}
		view.byID[id] = entry
		view.byService[entry.Service] = append(view.byService[entry.Service], entry)
	}
	c.view = view
}

// isSuperseded reports whether a lapsed entry's address was reused by a current entry.
func (c *Core) isSuperseded(entry Entry) bool {
	if _, isLapsed := c.lapsed[entry.ID]; !isLapsed {
		return false
	}
	for id, other := range c.entries {
		if _, otherLapsed := c.lapsed[id]; !otherLapsed && strings.EqualFold(other.Address, entry.Address) {
			return true
		}
	}
	return false
}

package hosted

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/freshness"
	"gentianhead/core/process/presence"
	"gentianhead/core/process/staleness"
	"gentianhead/core/process/table"
	"gentianhead/fleet/process/boottime"
	"gentianhead/fleet/process/watch"
	"gentianhead/platform"
)

const (
	// entriesDelay is how long another router may have different entries before this one
	// calls the store. Beacons of watchers usually arrive first.
	entriesDelay = 500 * time.Millisecond
	// entriesSpread is the time over which routers with groups read different entries
	// one after the other: the first of a group passes them on.
	entriesSpread = time.Second
	// refreshInterval is the minimum time between two refreshes of a table.
	refreshInterval = 500 * time.Millisecond
	// maxRows is the number of rows above which removed ones are discarded: several
	// times the endpoints of the largest supported fleet.
	maxRows = 8192
)

// syncState is the state of the control loop's synchronization with the store.
type syncState struct {
	followers map[string]*watch.Follower
	// completeAt is, by view, the time until which it is known to be complete, for metrics.
	completeAt [len(staleness.Bounds{}.Tables)]atomic.Int64
	// isWatcher is read by the followers before each call.
	isWatcher atomic.Bool
	// rows holds the state of each row of the endpoints' table, including removed
	// ones: beacons and store responses may arrive out of order.
	rows map[string]rowState
	// newest is the revision of the newest row, and hash covers the existing rows.
	newest table.Revision
	hash   uint64
	// era is the highest era of the store that this router knows of.
	era uint64
	// isBehind is set while another router has different entries, since behindSince.
	isBehind    bool
	behindSince time.Duration
	refreshedAt map[string]time.Duration
	// readAt is the start time of the latest successful call, by table.
	readAt map[string]time.Duration
}

// rowState is the latest known state of a row.
type rowState struct {
	revision  table.Revision
	isRemoved bool
}

// eraBits is the position of the era in the input of a row's hash, above any version.
const eraBits = 48

// rowHash returns the contribution of an existing row to the hash over all rows.
func rowHash(key string, revision table.Revision) uint64 {
	return entry.Mix(xxhash.Sum64String(key), revision.Version^revision.Era<<eraBits)
}

// init creates the followers of the store. bounds returns the bounds of staleness; followers
// call it before each store call.
func (s *syncState) init(store table.Feed, bounds func() staleness.Bounds) {
	s.followers = make(map[string]*watch.Follower)
	for name, view := range viewOf {
		s.followers[name] = watch.New(store, name, s.watcherWait(func() time.Duration { return bounds().Wait(view) }))
	}
	s.rows = make(map[string]rowState)
	s.refreshedAt = make(map[string]time.Duration)
	s.readAt = make(map[string]time.Duration)
}

// viewOf holds the tables whose staleness is bounded.
var viewOf = map[string]staleness.Table{
	platform.TableOperator:  staleness.Configuration,
	platform.TableEndpoints: staleness.Endpoints,
}

// watcherWait returns the long-poll timeout for a follower: wait on a watcher, and
// watch.Idle on other routers.
func (s *syncState) watcherWait(wait func() time.Duration) func() time.Duration {
	return func() time.Duration {
		if s.isWatcher.Load() {
			return wait()
		}
		return watch.Idle
	}
}

// newer records the rows that are newer than the known ones and returns them.
func (s *syncState) newer(rows []table.Row) []table.Row {
	if len(s.rows) > maxRows {
		maps.DeleteFunc(s.rows, func(_ string, known rowState) bool { return known.isRemoved })
	}
	var newer []table.Row
	for _, row := range rows {
		known, isKnown := s.rows[row.Key]
		revision := row.Revision()
		if isKnown && revision.Compare(known.revision) <= 0 {
			continue
		}
		if isKnown && !known.isRemoved {
			s.hash ^= rowHash(row.Key, known.revision)
		}
		if !row.IsRemoved {
			s.hash ^= rowHash(row.Key, revision)
		}
		s.rows[row.Key] = rowState{revision: revision, isRemoved: row.IsRemoved}
		if revision.Compare(s.newest) > 0 {
			s.newest = revision
		}
		newer = append(newer, row)
	}
	return newer
}

// missing returns, as removed, the known rows that a snapshot no longer contains.
// It gives them the lowest revision that the removal can have.
func (s *syncState) missing(snapshot watch.Update) []table.Row {
	listed := make(map[string]bool, len(snapshot.Rows))
	for _, row := range snapshot.Rows {
		listed[row.Key] = true
	}
	var removed []table.Row
	for key, known := range s.rows {
		if listed[key] || known.isRemoved || known.revision.Compare(snapshot.Revision) > 0 {
			continue
		}
		row := table.Row{Key: key, Version: known.revision.Version + 1, Era: known.revision.Era, IsRemoved: true}
		if known.revision.Era < snapshot.Revision.Era {
			row.Version, row.Era = 0, snapshot.Revision.Era
		}
		removed = append(removed, row)
	}
	return s.newer(removed)
}

// hasStore reports whether the store responds to this router and the router is not
// shutting down.
func (c *control) hasStore() bool {
	isUnavailable, wasCalled := c.isUnavailable[platform.TableOperator]
	return wasCalled && !isUnavailable && !c.state.isShuttingDown
}

// age returns the age of a view, zero if it was never confirmed. It may be called from any
// goroutine.
func (s *syncState) age(view staleness.Table) time.Duration {
	completeAt := s.completeAt[view].Load()
	if completeAt == 0 {
		return 0
	}
	return boottime.Now() - time.Duration(completeAt)
}

// bounds returns the bounds of staleness.
func (c *control) bounds() staleness.Bounds {
	settings := c.settings.Load()
	operator := settings.MaxActivationDelay
	if delay := settings.MaxEvacuationDelay; delay > 0 && (operator == 0 || delay < operator) {
		operator = delay
	}
	return staleness.Bounds{
		Tables: [...]time.Duration{staleness.Configuration: operator, staleness.Endpoints: settings.MaxWithdrawalDelay},
		Lease:  freshness.NewLease(settings.MaxRevocationDelay).Lifetime,
	}
}

// keepInSync watches the store if this router has to. It refreshes tables from the store if
// another router has newer data or their views may be too old.
func (c *control) keepInSync(now time.Duration, live []*presence.Member) {
	self, peers := c.watchPeers(live)
	leaseAge, isLeased := c.state.lease.Age(now)
	if !isLeased {
		leaseAge = 0
	}
	decision := c.staleness.Step(now, staleness.Input{Self: self, Peers: peers, Bounds: c.bounds(), Turn: c.turn(), LeaseAge: leaseAge, IsBehind: c.state.isBehind})
	if decision.IsWatcher != c.sync.isWatcher.Load() {
		c.sync.isWatcher.Store(decision.IsWatcher)
		c.log.Info("Role of watcher changed.", "isWatcher", decision.IsWatcher)
		if decision.IsWatcher {
			c.catchUp(now, platform.TableOperator)
			c.catchUp(now, platform.TableEndpoints)
		}
	}
	for _, view := range viewOf {
		if age, isConfirmed := c.staleness.Age(now, view); isConfirmed {
			c.sync.completeAt[view].Store(int64(now - age))
		}
	}
	c.catchUpWithFleet(now, live)
	if c.hasOtherEntries(now, live, entriesDelay+time.Duration(c.turn()*float64(entriesSpread))) {
		c.refresh(now, platform.TableEndpoints, "another router has different entries")
	}
	for name, view := range viewOf {
		if decision.Read[view] {
			age, _ := c.staleness.Age(now, view)
			c.log.Info("Refreshing a table from the store.", "table", name, "reason", "no confirmation", "age", age, "leaseAge", leaseAge)
			c.sync.refreshedAt[name] = now
			c.sync.followers[name].Refresh()
		}
	}
}

// catchUp reads changes that a new watcher may have missed. At startup, the table is
// being read anyway.
func (c *control) catchUp(now time.Duration, name string) {
	if at, wasRead := c.sync.readAt[name]; wasRead && now-at > refreshInterval {
		c.refresh(now, name, "watcher")
		return
	}
	c.sync.followers[name].Wake()
}

// watchPeers returns what this router and the live ones state about their contact to the store.
func (c *control) watchPeers(live []*presence.Member) (self staleness.Peer, peers []staleness.Peer) {
	settings := c.settings.Load()
	self = staleness.Peer{Instance: settings.Instance, LinkMbps: linkMbps(settings)}
	return self, lo.Map(live, func(m *presence.Member, _ int) staleness.Peer {
		return staleness.Peer{Instance: m.Instance, LinkMbps: m.LinkMbps, HasStore: m.HasStore, IsWatching: m.IsWatching}
	})
}

// linkMbps returns the bandwidth of a router's link as beacons state it.
func linkMbps(settings *platform.Settings) uint32 { return uint32(settings.LinkMbps) }

// hasOtherEntries reports whether another router has had different entries, no older than
// this one's, for delay.
func (c *control) hasOtherEntries(now time.Duration, live []*presence.Member, delay time.Duration) bool {
	isBehind := slices.ContainsFunc(live, func(member *presence.Member) bool {
		return c.presence.IsCurrent(now, member) && member.HasStore && member.EndpointsHash != c.sync.hash &&
			table.Revision{Era: member.StoreEra, Version: member.EndpointsVersion}.Compare(c.sync.newest) >= 0
	})
	if !isBehind {
		c.sync.isBehind = false
		return false
	}
	if !c.sync.isBehind {
		c.sync.isBehind, c.sync.behindSince = true, now
	}
	return now-c.sync.behindSince >= delay
}

// turn returns this router's position, from 0 to 1, among the routers of a fleet with groups
// that act one after the other. It is zero without groups.
func (c *control) turn() float64 {
	if c.presence.Group() == 0 {
		return 0
	}
	const steps = 1 << 16
	return float64(presence.KeyOf(c.settings.Load().Instance)%steps) / steps
}

// confirmViews adopts another router's confirmations of the views that are equal to this
// router's. It follows the changes that a beacon brings.
func (c *control) confirmViews(now time.Duration, received presence.Beacon) {
	echo := received.Views
	if echo == nil || echo.Start != c.start || received.StoreEra != c.sync.era {
		return
	}
	for _, view := range viewOf {
		isEqual := c.state.hasEndpoints && received.EndpointsHash == c.sync.hash
		if view == staleness.Configuration {
			// One table of the store holds both.
			isEqual = c.state.table != nil && received.Version == c.state.table.Version && c.evacuations.Equals(received.Evacuations)
		}
		if at, isConfirmed := echo.ConfirmedAt(view); isEqual && isConfirmed && at <= now {
			c.staleness.Confirm(view, at)
		}
	}
}

func (c *control) refresh(now time.Duration, name, reason string) {
	if last, done := c.sync.refreshedAt[name]; done && now-last < refreshInterval {
		return
	}
	c.sync.refreshedAt[name] = now
	c.log.Info("Refreshing a table from the store.", "table", name, "reason", reason)
	c.sync.followers[name].Refresh()
}

// readConfiguration reads the configuration from the store, without its history.
func (c *control) readConfiguration(now time.Duration, reason string) {
	const name = platform.TableOperator
	if last, done := c.sync.refreshedAt[name]; done && now-last < refreshInterval {
		return
	}
	c.sync.refreshedAt[name] = now
	c.log.Info("Reading a table from the store.", "table", name, "reason", reason)
	c.sync.followers[name].Reload()
}

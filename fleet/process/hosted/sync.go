package hosted

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/presence"
	"gentianhead/core/process/table"
	"gentianhead/fleet/process/watch"
	"gentianhead/platform"
)

const (
	// maxWatchers is how many routers of the fleet watch the store; the others
	// receive changes from them, since each store call counts against its rate
	// limit. With three, one may be paused and another cut off from the store.
	maxWatchers = 3
	// configurationWait and entriesWait are the long-poll timeouts of a watcher. A
	// confirmation counts from the start of its call and must last until the next
	// call ends: twice the wait plus a beacon interval must stay below
	// unconfirmedShare of the lease's life, so a short life reduces the wait to
	// waitShare of it. entriesWait limits how long a dead connection goes unnoticed.
	configurationWait = 800 * time.Millisecond
	entriesWait       = 1500 * time.Millisecond
	waitShare         = 0.18
	// watcherDelay is how long a router waits after its start before it may become a
	// watcher. Until then it does not know the others, and if all start at once, each
	// would watch.
	watcherDelay = 1500 * time.Millisecond
	// unconfirmedShare is the share of a lease's life after which a router without
	// a confirmation calls the store itself. In a fleet with groups, where confirmations
	// take more steps, routers do so one after the other within unconfirmedSpread, so
	// that the first can confirm the others.
	unconfirmedShare  = 0.55
	unconfirmedSpread = 0.2
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
	// configurationWait returns the long-poll timeout for the configuration.
	configurationWait func() time.Duration
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

// init creates the followers of the store. leaseLifetime returns the lifetime of a
// lease, zero if unlimited; followers call it before each store call.
func (s *syncState) init(store table.Feed, leaseLifetime func() time.Duration) {
	s.followers = make(map[string]*watch.Follower)
	s.configurationWait = s.watcherWait(func() time.Duration {
		if life := leaseLifetime(); life > 0 {
			return min(configurationWait, time.Duration(waitShare*float64(life)))
		}
		return configurationWait
	})
	s.followers[platform.TableOperator] = watch.New(store, platform.TableOperator, s.configurationWait)
	s.followers[platform.TableEndpoints] = watch.New(store, platform.TableEndpoints, s.watcherWait(func() time.Duration { return entriesWait }))
	s.rows = make(map[string]rowState)
	s.refreshedAt = make(map[string]time.Duration)
	s.readAt = make(map[string]time.Duration)
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

// keepInSync decides whether this router is a watcher. It refreshes tables from the
// store if another router has newer data or the lease is not confirmed.
func (c *control) keepInSync(now time.Duration, live []*presence.Member) {
	if isWatcher := now-c.startedAt >= watcherDelay && c.shouldWatch(live); isWatcher != c.sync.isWatcher.Load() {
		c.sync.isWatcher.Store(isWatcher)
		c.log.Info("Role of watcher changed.", "isWatcher", isWatcher)
		if isWatcher {
			c.catchUp(now, platform.TableOperator)
			c.catchUp(now, platform.TableEndpoints)
		}
	}
	c.catchUpWithFleet(now, live)
	if c.hasOtherEntries(now, live, entriesDelay+c.turn(entriesSpread)) {
		c.refresh(now, platform.TableEndpoints, "another router has different entries")
	}
	if c.isUnconfirmed(now) {
		// Without confirmations, changes of entries may not arrive either.
		c.refresh(now, platform.TableOperator, "no confirmation")
		c.refresh(now, platform.TableEndpoints, "no confirmation")
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

// shouldWatch reports whether this router is among the first, by link and then by name, of
// those with contact to the store. Routers may disagree for a while, or while releases
// before Beacon.LinkMbps, which go by name, run beside this one; then more or fewer of them
// watch, and those without a confirmation call the store themselves.
func (c *control) shouldWatch(live []*presence.Member) bool {
	rank, _ := c.rankWithStore(live)
	return rank < maxWatchers
}

// rankWithStore returns how many of the other routers with contact to the store sort
// before this one, those with faster links first and then by name, and how many there are.
// What a watcher reads, all others wait for.
func (c *control) rankWithStore(live []*presence.Member) (rank, others int) {
	settings := c.settings.Load()
	for _, member := range live {
		if !member.HasStore {
			continue
		}
		others++
		if cmp.Or(cmp.Compare(linkMbps(settings), member.LinkMbps), cmp.Compare(member.Instance, settings.Instance)) <= 0 {
			rank++
		}
	}
	return rank, others
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

// isUnconfirmed reports whether the latest confirmation is older than this router's
// share of the lease's life.
func (c *control) isUnconfirmed(now time.Duration) bool {
	lifetime := c.state.lease.Lifetime
	limit := unconfirmedShare*float64(lifetime) + float64(c.turn(time.Duration(unconfirmedSpread*float64(lifetime))))
	age, isConfirmed := c.state.lease.Age(now)
	return lifetime > 0 && isConfirmed && float64(age) > limit
}

// turn returns this router's delay within a span over which the routers of a fleet with
// groups act one after the other. It is zero without groups.
func (c *control) turn(span time.Duration) time.Duration {
	if c.presence.Group() == 0 {
		return 0
	}
	const steps = 1 << 16
	return span * time.Duration(presence.KeyOf(c.settings.Load().Instance)%steps) / steps
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

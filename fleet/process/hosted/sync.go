package hosted

import (
	"slices"
	"sync/atomic"
	"time"

	"gentianhead/core/process/table"
	"gentianhead/fleet/process/watch"
	"gentianhead/platform"
)

const (
	// watchers is how many routers of the fleet ask the store often. The others
	// wait long for changes and take the watchers' confirmations over, since each
	// call to the store is paid for by its rate limit.
	watchers = 2
	// watcherWait is how long the store is asked to wait by a watcher. It bounds
	// the age of confirmations and how long a silent connection goes unnoticed.
	watcherWait = time.Second
	// followerWait is how long the store is asked to wait by the others. It stays
	// below the store's limit of half a minute and its history.
	followerWait = 15 * time.Second
	// unconfirmedShare is the part of a lease's life after which a router that has
	// heard no confirmation asks the store itself.
	unconfirmedShare = 0.5
	// newsDelay is how long another router may know a change before this one asks
	// for it: changes reach routers some milliseconds apart.
	newsDelay = 200 * time.Millisecond
	// refreshInterval is the least time between two calls out of turn.
	refreshInterval = 500 * time.Millisecond
)

// syncState is what the control goroutine knows of how far it follows the store.
type syncState struct {
	followers map[string]*watch.Follower
	// isWatcher is read by the followers before each call.
	isWatcher atomic.Bool
	// endpointsVersion is the version of the newest change of entries that was
	// seen, and endpointsKnown the store's version up to which they are known.
	endpointsVersion, endpointsKnown int64
	// versions holds the version of each entry, removed ones included: answers of
	// two calls may overtake each other.
	versions map[string]int64
	// behindSince is since when another router is known to be ahead; zero if none is.
	behindSince map[string]time.Duration
	refreshedAt map[string]time.Duration
}

func (s *syncState) init(store table.Table) {
	s.followers = make(map[string]*watch.Follower)
	for _, name := range []string{platform.TableOperator, platform.TableEndpoints} {
		s.followers[name] = watch.New(store, name, s.wait)
	}
	s.versions = make(map[string]int64)
	s.behindSince = make(map[string]time.Duration)
	s.refreshedAt = make(map[string]time.Duration)
}

// wait is how long the store is asked to wait for changes.
func (s *syncState) wait() time.Duration {
	if s.isWatcher.Load() {
		return watcherWait
	}
	return followerWait
}

// isNewer reports whether a row is newer than what was known of its entry, and
// notes it.
func (s *syncState) isNewer(row table.Row) bool {
	if row.Version < s.versions[row.Key] {
		return false
	}
	s.versions[row.Key] = row.Version
	s.endpointsVersion = max(s.endpointsVersion, row.Version)
	return true
}

// hasStore reports whether the store answers this router.
func (c *control) hasStore() bool {
	return c.state.table != nil && !c.isAway[platform.TableOperator]
}

// keepInSync decides whether this router is a watcher and asks the store out of
// turn where another router knows more or nobody confirms.
func (c *control) keepInSync(now time.Duration) {
	if isWatcher := c.shouldWatch(); isWatcher != c.sync.isWatcher.Load() {
		c.sync.isWatcher.Store(isWatcher)
		c.log.Info("Role of watcher changed.", "isWatcher", isWatcher)
		if isWatcher {
			c.refresh(now, platform.TableOperator)
			c.refresh(now, platform.TableEndpoints)
		}
	}
	if c.isBehind(now, platform.TableOperator) || c.isUnconfirmed(now) {
		c.refresh(now, platform.TableOperator)
	}
	if c.isBehind(now, platform.TableEndpoints) {
		c.refresh(now, platform.TableEndpoints)
	}
}

// shouldWatch reports whether this router is among the first of those that the
// store answers. Routers may disagree for a while; then more or fewer of them
// watch, and those that hear no confirmation ask for themselves.
func (c *control) shouldWatch() bool {
	var names []string
	for _, member := range c.state.live {
		if member.IsServing && member.HasStore {
			names = append(names, member.Instance)
		}
	}
	if len(names) < watchers {
		return true
	}
	slices.Sort(names)
	return c.settings.Instance < names[watchers-1]
}

// isBehind reports whether another router has known more of a table for a while.
func (c *control) isBehind(now time.Duration, name string) bool {
	isBehind := false
	for _, member := range c.state.live {
		switch name {
		case platform.TableOperator:
			isBehind = isBehind || c.state.table == nil || member.Version > c.state.table.Version
		case platform.TableEndpoints:
			isBehind = isBehind || member.EndpointsVersion > c.sync.endpointsKnown
		}
	}
	since, wasBehind := c.sync.behindSince[name]
	switch {
	case !isBehind:
		delete(c.sync.behindSince, name)
	case !wasBehind:
		c.sync.behindSince[name] = now
	}
	return isBehind && wasBehind && now-since >= newsDelay
}

// isUnconfirmed reports whether the lease has been without a confirmation for long.
func (c *control) isUnconfirmed(now time.Duration) bool {
	age, isConfirmed := c.state.lease.Age(now)
	return c.state.lease.Life > 0 && isConfirmed && float64(age) > unconfirmedShare*float64(c.state.lease.Life)
}

func (c *control) refresh(now time.Duration, name string) {
	if last, done := c.sync.refreshedAt[name]; done && now-last < refreshInterval {
		return
	}
	c.sync.refreshedAt[name] = now
	c.sync.followers[name].Refresh()
}

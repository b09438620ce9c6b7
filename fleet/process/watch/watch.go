// Package watch follows a table of the table service: it reads the whole table
// and then long-polls for changes.
package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/table"
	"gentianhead/fleet/process/boottime"
)

const (
	// minBackoff and maxBackoff bound the delay after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// burstPause is the longest delay of the call after one that returned changes. When
	// many rows change one after the other, as when all endpoints start, each change
	// would end a call.
	burstPause = 100 * time.Millisecond
)

// Update is the result of one call.
type Update struct {
	Table string
	// IsSnapshot reports that Rows is the whole table rather than the changes.
	IsSnapshot bool
	Rows       []table.Row
	// Revision is the table revision that this update brings the follower to.
	Revision table.Revision
	// Unreadable is the number of invalid rows left out of Rows.
	Unreadable int
	// StartedAt is the start of the call, by the clock of package boottime.
	StartedAt time.Duration
	// CompleteAt is the time until which the update has all changes: the start of the call,
	// or the end of its wait if it returned no changes then.
	CompleteAt time.Duration
	// Err is the error of a failed call.
	Err error
}

// Follower follows one table. Refresh, Reload and Wake may be called from any goroutine
// while Run runs.
type Follower struct {
	service table.Feed
	name    string
	// wait returns the long-poll duration for the next call, or Idle.
	wait     func() time.Duration
	revision table.Revision
	// isStale requests a read of the whole table.
	isStale bool

	mu sync.Mutex
	// isUrgent makes the next call return at once, and isWhole makes it read the whole
	// table.
	isUrgent, isWhole bool
	// isCallImmediate is set during a call that returns at once.
	isCallImmediate bool
	// cancel cancels the pending long poll; nil if there is none.
	cancel context.CancelFunc
	// wakeup makes an idle follower check wait and isUrgent again.
	wakeup chan struct{}
}

// Idle is a wait that suspends calls for changes until the next Refresh, or until
// Wake is called and the wait has changed.
const Idle time.Duration = -1

// New returns a follower of the table name. wait is called before each call for
// changes and returns how long the service may hold it open.
func New(service table.Feed, name string, wait func() time.Duration) *Follower {
	return &Follower{service: service, name: name, wait: wait, isStale: true, wakeup: make(chan struct{}, 1)}
}

// Refresh replaces a pending long poll by a call that returns at once, since a
// hanging connection looks like a table without changes. It does nothing while such a call
// is under way: calls that are repeated faster than they end would fill a slow link.
func (f *Follower) Refresh() { f.request(false) }

// Reload is Refresh with a read of the whole table, which is shorter than its changes
// where rows have changed several times.
func (f *Follower) Reload() { f.request(true) }

func (f *Follower) request(isWhole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isCallImmediate {
		return
	}
	f.isUrgent, f.isWhole = true, f.isWhole || isWhole
	if f.cancel != nil {
		f.cancel()
	}
	f.Wake()
}

// Wake makes an idle follower check its wait again.
func (f *Follower) Wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// Run calls handle with each update until ctx ends.
func (f *Follower) Run(ctx context.Context, handle func(Update)) {
	backoff, expired := minBackoff, 0
	for ctx.Err() == nil {
		f.waitWhileIdle(ctx)
		update := f.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.IsAny(update.Err, errRefreshed, errNewEra) {
			continue
		}
		if errors.Is(update.Err, table.ErrHistoryExpired) {
			// The first read of the whole table follows at once. A store that has expired
			// its history again by then is not asked in a loop.
			if expired++; expired > 1 {
				SleepWithJitter(ctx, minBackoff)
			}
			continue
		}
		expired = 0
		handle(update)
		if update.Err == nil {
			backoff = minBackoff
			if !update.IsSnapshot && len(update.Rows) > 0 {
				SleepWithJitter(ctx, burstPause)
			}
			continue
		}
		SleepWithJitter(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
		// The next call returns at once, so that a recovery of the service is noticed
		// before the next change.
		f.Refresh()
	}
}

func (f *Follower) waitWhileIdle(ctx context.Context) {
	for !f.isStale && f.wait() == Idle && !f.isCallRequested() && ctx.Err() == nil {
		select {
		case <-f.wakeup:
		case <-ctx.Done():
		}
	}
}

func (f *Follower) isCallRequested() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isUrgent
}

// errNewEra is the error of a call for changes that found the store in a new era: the
// versions that the follower knows mean nothing there.
var errNewEra = errors.New("watch: the store has a new era")

// errOldEra is the error of a call whose response is older than one received before.
var errOldEra = errors.New("watch: response of an older era")

// errRefreshed is the error of a long poll that Refresh cancelled.
var errRefreshed = errors.New("watch: refreshed")

// SleepWithJitter waits for a random time between d/2 and d, or until ctx ends. The
// jitter keeps routers that failed together from retrying in step.
func SleepWithJitter(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// startCall returns the context of the next call and, for a call for changes, its long-poll
// duration.
func (f *Follower) startCall(ctx context.Context) (callCtx context.Context, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isStale = f.isStale || f.isWhole
	if f.isUrgent || f.isStale {
		// The call has a timeout of its own, so it needs no cancel.
		f.isUrgent, f.isWhole, f.isCallImmediate = false, false, true
		return ctx, 0
	}
	ctx, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	return ctx, max(f.wait(), 0)
}

// finishCall releases the call's context and reports whether a refresh cancelled the call.
func (f *Follower) finishCall() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCallImmediate = false
	if f.cancel == nil {
		return false
	}
	f.cancel()
	f.cancel = nil
	return f.isUrgent
}

func (f *Follower) poll(ctx context.Context) Update {
	callCtx, wait := f.startCall(ctx)
	update := Update{Table: f.name, IsSnapshot: f.isStale, StartedAt: boottime.Now()}
	var rows table.Rows
	if f.isStale {
		rows, update.Err = f.service.Rows(callCtx, f.name)
	} else {
		rows, update.Err = f.service.Changes(callCtx, f.name, f.revision.Version, wait)
	}
	if isCancelled := f.finishCall(); isCancelled && update.Err != nil {
		update.Err = errRefreshed
	}
	if update.Err != nil {
		f.isStale = f.isStale || errors.IsAny(update.Err, table.ErrHistoryExpired, table.ErrIncomplete)
		return update
	}
	switch {
	case rows.Era < f.revision.Era:
		update.Err = errOldEra
		return update
	case rows.Era > f.revision.Era && !update.IsSnapshot:
		f.isStale = true
		update.Err = errNewEra
		return update
	}
	f.isStale = false
	if read := (table.Revision{Era: rows.Era, Version: rows.Version}); read.Compare(f.revision) > 0 {
		f.revision = read
	}
	update.Revision = f.revision
	update.setRows(rows, wait, boottime.Now())
	return update
}

// setRows sets the rows of a response that ended at now and was to wait for changes.
func (u *Update) setRows(rows table.Rows, wait, now time.Duration) {
	u.Rows, u.Unreadable, u.CompleteAt = rows.Rows, rows.Unreadable, u.StartedAt
	if isEmpty := len(rows.Rows)+rows.Unreadable == 0; isEmpty && !u.IsSnapshot && now-u.StartedAt >= wait {
		// The service would have returned earlier with a change during the wait.
		u.CompleteAt += wait
	}
}

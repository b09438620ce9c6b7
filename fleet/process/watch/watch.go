// Package watch follows a table of the table service: it reads the table whole
// and then asks for changes, again and again.
package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/table"
	"gentianhead/fleet/process/boottime"
)

const (
	// minBackoff and maxBackoff bound the wait after a call that failed.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Update is what one call showed.
type Update struct {
	Table string
	// IsWhole says that Rows is the whole table and not what changed.
	IsWhole bool
	Rows    []table.Row
	// Unreadable counts rows that were left out.
	Unreadable int
	// StartedAt is when the call was begun, by the clock of package boottime.
	StartedAt time.Duration
	// Err is why the call showed nothing.
	Err error
}

// Follow calls handle with each update until ctx ends. The service is asked to
// wait for changes for at most wait; that also bounds how long a connection that
// fell silent goes unnoticed.
func Follow(ctx context.Context, service table.Table, name string, wait time.Duration, handle func(Update)) {
	f := follower{service: service, name: name, wait: wait, isStale: true}
	backoff := minBackoff
	for ctx.Err() == nil {
		update := f.next(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(update.Err, table.ErrHistoryGone) {
			continue
		}
		handle(update)
		if update.Err == nil {
			backoff = minBackoff
			continue
		}
		pause(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// pause waits between half of d and d, so that routers do not ask in step.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

type follower struct {
	service table.Table
	name    string
	wait    time.Duration
	version int64
	// isStale says that the table has to be read whole.
	isStale bool
}

func (f *follower) next(ctx context.Context) Update {
	update := Update{Table: f.name, IsWhole: f.isStale, StartedAt: boottime.Now()}
	var rows table.Rows
	if f.isStale {
		rows, update.Err = f.service.Rows(ctx, f.name)
	} else {
		rows, update.Err = f.service.Changes(ctx, f.name, f.version, f.wait)
	}
	if update.Err != nil {
		f.isStale = f.isStale || errors.Is(update.Err, table.ErrHistoryGone)
		return update
	}
	f.isStale = false
	f.version = max(f.version, rows.Version)
	update.Rows, update.Unreadable = rows.Rows, rows.Unreadable
	return update
}

package claims

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"gentianhead/core/process/table"
	"gentianhead/core/process/table/tabletest"
	"gentianhead/core/request/claim"
)

// fakeTable is an in-memory table whose commits can fail.
type fakeTable struct {
	*tabletest.Memory
	commits int
	fail    func(commit int) error
}

func newFakeTable() *fakeTable {
	return &fakeTable{Memory: tabletest.New(), fail: func(int) error { return nil }}
}

func (f *fakeTable) Commit(ctx context.Context, tx table.Transaction) (table.CommitResult, error) {
	f.commits++
	if err := f.fail(f.commits); err != nil {
		return table.CommitResult{}, err
	}
	return f.Memory.Commit(ctx, tx)
}

func rowWrite(key string, version uint64) Write {
	return Write{Key: key, Value: []byte(key), Version: version}
}

// A transaction fails as a whole on one conflict; the other writes of the batch
// must still be committed.
func TestConflictFailsOnlyItsWrite(t *testing.T) {
	table := newFakeTable()
	TableSink(table)([]Write{rowWrite("taken-1", 0), rowWrite("taken-2", 0)})
	events := TableSink(table)([]Write{rowWrite("a", 0), rowWrite("taken-1", 0), rowWrite("b", 0), rowWrite("taken-2", 0)})
	assert.DeepEqual(t, events, []claim.Event{
		claim.Committed{Version: 2}, claim.Conflicted{}, claim.Committed{Version: 2}, claim.Conflicted{},
	})
}

func TestFailedCommitFailsWholeBatch(t *testing.T) {
	for _, failure := range []struct {
		err  error
		want claim.Event
	}{
		{table.ErrRefused, claim.WriteRefused{}},
		{table.ErrIndeterminate, claim.WriteLost{}},
		{errors.New("anything else"), claim.WriteLost{}},
	} {
		table := newFakeTable()
		table.fail = func(int) error { return failure.err }
		events := TableSink(table)([]Write{rowWrite("a", 0), rowWrite("b", 0)})
		assert.DeepEqual(t, events, []claim.Event{failure.want, failure.want})
	}
}

// A table service that checks all conditions before writing accepts two writes
// of one row in one transaction; both callers would then send.
func TestDuplicateRowInTransactionCommitsTwice(t *testing.T) {
	events := TableSink(newFakeTable())([]Write{rowWrite("a", 0), rowWrite("a", 0)})
	assert.DeepEqual(t, events, []claim.Event{claim.Committed{Version: 1}, claim.Committed{Version: 1}})
}

// Concurrent writes of one row must not share a batch, where all would commit.
func TestWriterBatchesRowOnce(t *testing.T) {
	table := newFakeTable()
	w := NewWriter(TableSink(table), newCommitPacer())
	defer w.Close()
	const writers = 50
	events := make(chan claim.Event, writers)
	for range writers {
		go func() { events <- w.Do(rowWrite("a", 0)) }()
	}
	committed := 0
	for range writers {
		if _, ok := (<-events).(claim.Committed); ok {
			committed++
		}
	}
	assert.Equal(t, committed, 1)
}

func TestWriterGroupsConcurrentWrites(t *testing.T) {
	table := newFakeTable()
	w := NewWriter(TableSink(table), newCommitPacer())
	defer w.Close()
	const writers = 200
	events := make(chan claim.Event, writers)
	for i := range writers {
		go func() { events <- w.Do(rowWrite(fmt.Sprint(i), 0)) }()
	}
	for range writers {
		_, ok := (<-events).(claim.Committed)
		assert.Assert(t, ok)
	}
	t.Logf("%d writes in %d commits", writers, table.commits)
	assert.Assert(t, table.commits < writers/4, "%d commits", table.commits)
}

func TestWriterRefusesWhenQueueFull(t *testing.T) {
	release := make(chan struct{})
	w := NewWriter(func(writes []Write) []claim.Event {
		<-release
		events := make([]claim.Event, len(writes))
		fillPending(events, claim.WriteRefused{})
		return events
	}, newCommitPacer())
	defer w.Close()
	defer close(release)
	for range cap(w.queue) + 2*maxBatchRows {
		go w.Do(rowWrite("a", 0))
	}
	for len(w.queue) < cap(w.queue) {
		runtime.Gosched()
	}
	assert.DeepEqual(t, w.Do(rowWrite("b", 0)), claim.WriteRefused{})
}

package claims

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/request/claim"
	"gentianhead/core/request/outcome"
)

// keyCreatedAt returns a version 7 UUID with the given creation time.
func keyCreatedAt(at time.Time, number int) string {
	millis := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", millis>>16, millis&0xffff, number)
}

func storeRow(t *testing.T, table *fakeTable, key string, state claim.State, created time.Time) {
	t.Helper()
	row := claim.Row{State: state, Key: key, CreatedMs: created.UnixMilli(), BodySHA256: RequestDigest(newTestRequest("POST", "", key, nil))}
	if state == claim.StateCompleted {
		row.Answer = &claim.Answer{Status: 200, Body: []byte("answer")}
	}
	value, err := json.Marshal(row)
	assert.NilError(t, err)
	TableSink(table)([]Write{{Key: RowKey(claim.ID{Account: "a", Key: key}), Value: value}})
}

func (f *fakeTable) hasRow(t *testing.T, key string) bool {
	t.Helper()
	rows, err := f.Read(t.Context(), RowKey(claim.ID{Account: "a", Key: key}))
	assert.NilError(t, err)
	return rows[0].Version != 0
}

// A swept key must not run again: the sweep deletes a row only when the key's own
// time is past retention, so that a repeat is refused as expired.
func TestSweptKeyNotRunAgain(t *testing.T) {
	table := newFakeTable()
	m, _ := newTestManager(t, table)
	now := time.Now()
	old := now.Add(-claim.DeleteAfter - time.Hour)
	oldUUID, newUUID, openUUID := keyCreatedAt(old, 1), keyCreatedAt(now.Add(-time.Hour), 2), keyCreatedAt(old, 3)
	storeRow(t, table, oldUUID, claim.StateCompleted, old)
	storeRow(t, table, newUUID, claim.StateCompleted, now.Add(-time.Hour))
	storeRow(t, table, openUUID, claim.StateUnknown, old)
	storeRow(t, table, "no-time", claim.StateCompleted, old)

	for after := m.sweepPage(t.Context(), "", now); after != ""; after = m.sweepPage(t.Context(), after, now) {
	}
	assert.Assert(t, !table.hasRow(t, oldUUID))
	assert.Assert(t, table.hasRow(t, newUUID))
	assert.Assert(t, table.hasRow(t, openUUID), "the sweep deleted an open claim")
	assert.Assert(t, table.hasRow(t, "no-time"), "the sweep deleted a key without a time")

	// None of them runs again: nothing listens at the endpoint, so a send would
	// be reported as not-run.
	for key, want := range map[string]outcome.Outcome{
		oldUUID: outcome.Unknown, newUUID: outcome.Completed, openUUID: outcome.Unknown, "no-time": outcome.Completed,
	} {
		result := m.Do(t.Context(), newTestRequest("POST", "http://127.0.0.1:1", key, nil))
		assert.Equal(t, result.Outcome, want, key)
	}
}

func TestSweepDeletesInBatches(t *testing.T) {
	table := newFakeTable()
	m, _ := newTestManager(t, table)
	now := time.Now()
	old := now.Add(-claim.DeleteAfter - time.Hour)
	const rows = 1200
	for i := range rows {
		storeRow(t, table, keyCreatedAt(old, i), claim.StateCompleted, old)
	}
	table.commits = 0
	for after := m.sweepPage(t.Context(), "", now); after != ""; after = m.sweepPage(t.Context(), after, now) {
	}
	left, err := table.Scan(t.Context(), RowPrefix, "", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(left), 0)
	t.Logf("%d rows deleted in %d commits", rows, table.commits)
	assert.Assert(t, table.commits <= rows/maxSweepBatchRows+3, "%d commits", table.commits)
}

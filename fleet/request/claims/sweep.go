package claims

import (
	"context"
	"encoding/json"
	"expvar"
	"time"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/table"
	"gentianhead/core/request/claim"
)

// Limits of the sweep.
const (
	// sweepScanInterval is the time between two page scans of one router.
	sweepScanInterval = time.Second
	// sweepPassInterval is the time between two passes over all rows.
	sweepPassInterval = time.Hour
	// maxSweepBatchRows limits the rows in one transaction: each needs a check and
	// a put.
	maxSweepBatchRows = table.MaxEntries / 2
)

// rowsSwept counts the deleted or trimmed rows.
var rowsSwept = expvar.NewInt("claims.rowsSwept")

// Sweep deletes and trims rows whose retention period has ended, until ctx ends.
// One router of the view sweeps. If two do, that only costs reads, since every
// deletion checks the row's version. Node runs it on a separate goroutine.
func (m *Manager) Sweep(ctx context.Context) {
	after := ""
	for wait := sweepScanInterval; ; {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		wait = sweepScanInterval
		if !m.isSweeper() {
			continue
		}
		after = m.sweepPage(ctx, after, time.Now())
		if after == "" {
			wait = sweepPassInterval
		}
	}
}

// isSweeper reports whether this router has the highest sweep score in the view.
func (m *Manager) isSweeper() bool {
	best, bestScore := "", uint64(0)
	for _, router := range m.options.View().Routers {
		if score := entry.Score("claims-sweep", router.Instance); !router.Leaving && score >= bestScore {
			best, bestScore = router.Instance, score
		}
	}
	return best == m.options.Self.Instance
}

// sweepPage sweeps one page of rows and returns the key to continue after, or
// "" at the end of the rows or if the scan fails.
func (m *Manager) sweepPage(ctx context.Context, after string, now time.Time) string {
	rows, err := m.options.Store.Scan(ctx, RowPrefix, after, scanPageRows)
	if err != nil || len(rows) == 0 {
		return ""
	}
	var tx table.Transaction
	for _, stored := range rows {
		put, isDue := expire(stored, now)
		if !isDue {
			continue
		}
		tx.Checks = append(tx.Checks, table.Check{Key: stored.Key, Version: stored.Version})
		tx.Puts = append(tx.Puts, put)
		if len(tx.Puts) == maxSweepBatchRows {
			m.commitSweep(ctx, tx)
			tx = table.Transaction{}
		}
	}
	if len(tx.Puts) > 0 {
		m.commitSweep(ctx, tx)
	}
	if len(rows) < scanPageRows {
		return ""
	}
	return rows[len(rows)-1].Key
}

// commitSweep commits one batch. The next pass retries a failed one.
func (m *Manager) commitSweep(ctx context.Context, tx table.Transaction) {
	result, err := m.options.Store.Commit(ctx, tx)
	if err == nil && result.Conflict == "" {
		rowsSwept.Add(int64(len(tx.Puts)))
	}
}

// expire returns the write that retention requires for a row, if any.
func expire(stored table.Row, now time.Time) (table.Put, bool) {
	row, err := DecodeRow(stored.Value)
	if err != nil {
		return table.Put{}, false
	}
	switch claim.ExpiryOf(row, keyCreated(row.Key), now) {
	case claim.Delete:
		return table.Put{Key: stored.Key, Delete: true}, true
	case claim.Trim:
		row.Answer = nil
		value, err := json.Marshal(row)
		return table.Put{Key: stored.Key, Value: value}, err == nil
	}
	return table.Put{}, false
}

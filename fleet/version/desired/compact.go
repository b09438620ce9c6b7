package desired

import (
	"context"

	"gentianhead/core/process/table"
	"gentianhead/core/version/resource"
)

const (
	// KeptChanges is the number of latest changes that are kept, with their
	// attempts.
	KeptChanges = 5000
	// CompactionInterval is the number of changes between two compactions.
	CompactionInterval = 250
	// changesPerCompaction is the number of changes that one transaction removes:
	// two puts each, plus the check and the put of the oldest row.
	changesPerCompaction = (table.MaxEntries - 2) / 2
)

// IsCompactionDue reports whether the writer of this revision should call
// Compact. If it does not, the writer of a later one removes the remaining rows.
func IsCompactionDue(revision resource.Revision) bool {
	return revision > KeptChanges && revision%CompactionInterval == 0
}

// Compact removes the changes older than the latest KeptChanges, and their
// attempts. The object rows hold the whole configuration, so nothing is lost.
// Several routers may compact concurrently: each transaction checks the row with
// the oldest kept revision, and a router whose check fails stops.
func (s *Store) Compact(ctx context.Context) error {
	head, err := s.Head(ctx)
	if err != nil || head <= KeptChanges {
		return err
	}
	for {
		more, err := s.compactBatch(ctx, head-KeptChanges)
		if err != nil || !more {
			return err
		}
	}
}

// compactBatch removes a batch of changes up to last and reports whether there may be more.
func (s *Store) compactBatch(ctx context.Context, last resource.Revision) (bool, error) {
	oldest, err := s.table.Read(ctx, keyOldest)
	if err != nil {
		return false, err
	}
	before, err := decode[oldestRow](oldest[0])
	if err != nil {
		return false, err
	}
	rows, err := s.table.Scan(ctx, prefixLog, "", changesPerCompaction)
	if err != nil {
		return false, err
	}
	var puts []table.Put
	removed := resource.Revision(0)
	for _, row := range rows {
		logged, err := decode[logRow](row)
		if err != nil || row.Key != logKey(logged.Object.Revision) {
			// A row of another writer.
			continue
		}
		if logged.Object.Revision > last {
			break
		}
		removed = logged.Object.Revision
		puts = append(puts,
			table.Put{Key: row.Key, Delete: true},
			table.Put{Key: prefixAttempt + logged.Attempt, Delete: true})
	}
	// No change to remove, or a stale scan.
	if removed < max(before.Revision, 1) {
		return false, nil
	}
	result, err := s.table.Commit(ctx, table.Transaction{
		Checks: []table.Check{{Key: keyOldest, Version: oldest[0].Version}},
		Puts:   append(puts, table.Put{Key: keyOldest, Value: encode(oldestRow{Revision: removed + 1})}),
	})
	return result.Conflict == "" && removed < last, err
}

// Package tabletest provides an in-memory table for tests and measurements.
package tabletest

import (
	"context"
	"slices"
	"strings"
	"sync"

	"gentianhead/core/process/table"
)

// Memory is an in-memory table. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	version uint64
}

var _ table.Table = (*Memory)(nil)

// New returns an empty table.
func New() *Memory {
	return &Memory{rows: make(map[string]table.Row)}
}

// Commit implements table.Table.
func (m *Memory) Commit(_ context.Context, tx table.Transaction) (table.CommitResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(tx.Checks)+len(tx.Puts) > table.MaxEntries {
		return table.CommitResult{}, table.ErrRefused
	}
	for _, check := range tx.Checks {
		if m.rows[check.Key].Version != check.Version {
			return table.CommitResult{Version: m.version, Conflict: check.Key}, nil
		}
	}
	m.version++
	for _, put := range tx.Puts {
		if put.Delete {
			delete(m.rows, put.Key)
			continue
		}
		m.rows[put.Key] = table.Row{Key: put.Key, Value: put.Value, Version: m.version}
	}
	return table.CommitResult{Version: m.version}, nil
}

// Read implements table.Table.
func (m *Memory) Read(_ context.Context, keys ...string) ([]table.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make([]table.Row, len(keys))
	for i, key := range keys {
		rows[i] = m.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

// Scan implements table.Table. A limit of zero means no limit.
func (m *Memory) Scan(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []table.Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

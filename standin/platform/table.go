// Package platform is a stand-in for the platform: a transactional table
// service, an object store and a lagging list of instances, with faults that
// tests can switch on.
package platform

import (
	"slices"
	"strings"
	"sync"
)

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Check is a condition on a row's version.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes or deletes a row.
type Put struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction takes effect whole or not at all.
type Transaction struct {
	Checks []Check `json:"checks,omitempty"`
	Puts   []Put   `json:"puts"`
}

// CommitResult is the answer to a transaction.
type CommitResult struct {
	Version  uint64 `json:"version"`
	Conflict string `json:"conflict,omitempty"`
}

// Table keeps rows in memory. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	rows    map[string]Row
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]Row)}
}

// Commit carries out tx if all its checks hold.
func (t *Table) Commit(tx Transaction) CommitResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, check := range tx.Checks {
		if t.rows[check.Key].Version != check.Version {
			return CommitResult{Version: t.version, Conflict: check.Key}
		}
	}
	t.version++
	for _, put := range tx.Puts {
		if put.Delete {
			delete(t.rows, put.Key)
			continue
		}
		t.rows[put.Key] = Row{Key: put.Key, Value: put.Value, Version: t.version}
	}
	return CommitResult{Version: t.version}
}

// Read returns one row for each key; a missing row has version 0.
func (t *Table) Read(keys []string) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]Row, len(keys))
	for i, key := range keys {
		rows[i] = t.rows[key]
		rows[i].Key = key
	}
	return rows
}

// Scan returns rows with the prefix and a key above after, in key order.
func (t *Table) Scan(prefix, after string, limit int) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows
}

// Package table declares what the router needs of a table service. The adapter
// of a platform implements Table; the parts that watch tables call it.
package table

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone means that the changes asked for are not kept any more. The
// table has to be read whole.
var ErrHistoryGone = errors.New("table: history is gone")

// Row is a row, or the removal of one.
type Row struct {
	Key     string `msgpack:"k"`
	Value   []byte `msgpack:"v,omitempty"`
	Version int64  `msgpack:"n"`
	// IsRemoved rows carry no value.
	IsRemoved bool `msgpack:"r,omitempty"`
}

// Rows is an answer about rows of one table.
type Rows struct {
	Rows []Row
	// Version is what to ask for changes after.
	Version int64
	// Unreadable counts rows that were left out since they can't be decoded.
	Unreadable int
}

// Table is a table service. Each call is bounded in time; an error other than
// ErrHistoryGone means that the service did not answer or refused.
type Table interface {
	// Rows returns all rows of a table as of one moment.
	Rows(ctx context.Context, name string) (Rows, error)
	// Changes returns the changes after a version, oldest first, as soon as there
	// is one, or none after wait.
	Changes(ctx context.Context, name string, after int64, wait time.Duration) (Rows, error)
	// Put writes a row unconditionally. After an error it may still take effect.
	Put(ctx context.Context, name, key string, value []byte) error
	// Delete removes a row. After an error it may still take effect.
	Delete(ctx context.Context, name, key string) error
}

// Package table declares the router's interfaces to the platform's store: tables of
// rows that can be read, watched and updated in conditional transactions, and
// objects. A platform's adapter implements Feed, Table and Objects; tabletest has an
// in-memory Table.
package table

import (
	"cmp"
	"context"
	"errors"
	"time"
)

var (
	// ErrHistoryExpired means that the requested changes are no longer kept. The
	// caller must read the full table.
	ErrHistoryExpired = errors.New("table: requested changes are no longer kept")
	// ErrRefused means that a call certainly had no effect: it was never sent, or
	// the service rejected it.
	ErrRefused = errors.New("table: call refused")
	// ErrIndeterminate means that the outcome of a call is unknown: a write may
	// have taken effect or may still do so. Writers must read back before they
	// write again.
	ErrIndeterminate = errors.New("table: outcome of the call is unknown")
	// ErrIncomplete means that a response began and did not end: it took too long or is
	// too large. Where changes end so, the full table may be the shorter response.
	ErrIncomplete = errors.New("table: response incomplete")
)

// MaxEntries is the maximum number of checks and puts together in one transaction,
// the platform's limit.
const MaxEntries = 100

// Row is a row or its removal.
type Row struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v,omitempty"`
	// Version is the version of the latest transaction that wrote the row; zero means
	// that the row does not exist.
	Version uint64 `msgpack:"n"`
	// IsRemoved rows carry no value.
	IsRemoved bool `msgpack:"r,omitempty"`
	// Era is the store's era in which Version was given out.
	Era uint64 `msgpack:"e,omitempty"`
}

// Revision returns the revision of the row.
func (r Row) Revision() Revision { return Revision{Era: r.Era, Version: r.Version} }

// Revision orders the states of a table. The store may come back from an older copy; it
// then gives versions out again with other contents, in a higher era.
type Revision struct{ Era, Version uint64 }

// Compare orders revisions by era and then by version.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version))
}

// Rows is a response with rows of one table.
type Rows struct {
	Rows []Row
	// Version is the version after which to request changes.
	Version uint64
	// Era is the store's era at the time of the response.
	Era uint64
	// Unreadable counts rows that were skipped because they can't be decoded.
	Unreadable int
}

// Check is a precondition of a transaction: the row has exactly this version.
type Check struct {
	Key     string
	Version uint64
}

// Put writes a row, or deletes it.
type Put struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is applied atomically if all checks hold, and not at all otherwise.
type Transaction struct {
	Checks []Check
	Puts   []Put
}

// CommitResult is the outcome of a transaction: either it was applied and Version is
// that of the rows it wrote, or Conflict is set.
type CommitResult struct {
	Version uint64
	// Conflict is the key whose check failed; if set, nothing was written.
	Conflict string
}

// Feed reads and watches tables. Each call has a time limit; an error other than
// ErrHistoryExpired means that the service did not answer or refused the call.
type Feed interface {
	// Rows returns a consistent snapshot of all rows of a table.
	Rows(ctx context.Context, name string) (Rows, error)
	// Changes waits until there are changes after a version and returns them, oldest
	// first, or returns none after wait.
	Changes(ctx context.Context, name string, after uint64, wait time.Duration) (Rows, error)
}

// Table is one table of the service.
type Table interface {
	// Commit returns ErrRefused if nothing was written and ErrIndeterminate if the
	// outcome is unknown. A failed check is a result, not an error.
	Commit(ctx context.Context, tx Transaction) (CommitResult, error)
	// Read returns one row for each key, in order. It is not a consistent snapshot.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows with this prefix and a key above after, in
	// key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects are named values that are too large for rows.
type Objects interface {
	PutObject(ctx context.Context, name string, value []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

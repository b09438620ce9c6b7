// Package desired keeps the fleet's configuration in the table service: a head
// row with the newest revision, a log row for each revision, a row for each
// object and a row for each write attempt.
package desired

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/platform"
)

// Keys of the rows.
const (
	keyHead       = "config/head"
	prefixLog     = "config/log/"
	prefixObject  = "config/object/"
	prefixAttempt = "config/attempt/"
)

// MaxChangesRead is the most changes that one read returns.
const MaxChangesRead = 1000

// maxWriteTries bounds how often a write races others for the head row.
const maxWriteTries = 16

var (
	// ErrConflict means that the object is not at the revision that the writer expected.
	ErrConflict = errors.New("desired: object was changed by another writer")
	// ErrOutcomeUnknown means that the store stayed silent; the same attempt id
	// may be sent again and takes effect at most once.
	ErrOutcomeUnknown = errors.New("desired: outcome unknown; send the same attempt again")
)

// Store reads and writes the configuration. It is safe for concurrent use.
type Store struct {
	table platform.Table
}

// NewStore returns a store over table.
func NewStore(table platform.Table) *Store {
	return &Store{table: table}
}

// Write is one change that an operator asks for.
type Write struct {
	Object resource.Object
	// Attempt identifies the write; sent again, it takes effect at most once.
	Attempt string
	// IfRevision, when not nil, is the revision that the object must have; 0
	// means that it must not exist.
	IfRevision *resource.Revision
}

type headRow struct {
	Revision resource.Revision `json:"revision"`
}

// Head returns the newest accepted revision.
func (s *Store) Head(ctx context.Context) (resource.Revision, error) {
	rows, err := s.table.Read(ctx, keyHead)
	if err != nil {
		return 0, err
	}
	return decodeHead(rows[0])
}

func decodeHead(row platform.Row) (resource.Revision, error) {
	if row.Version == 0 {
		return 0, nil
	}
	var head headRow
	err := json.Unmarshal(row.Value, &head)
	return head.Revision, errors.Wrap(err, "desired: head row")
}

// Changes returns the changes after a revision, oldest first, at most MaxChangesRead.
func (s *Store) Changes(ctx context.Context, after resource.Revision) ([]resource.Object, error) {
	rows, err := s.table.Scan(ctx, prefixLog, logKey(after), MaxChangesRead)
	if err != nil {
		return nil, err
	}
	changes := make([]resource.Object, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &changes[i]); err != nil {
			return nil, errors.Wrapf(err, "desired: row %s", row.Key)
		}
	}
	return changes, nil
}

// Apply writes a change and returns the object at its new revision. A write
// whose answer was lost is resolved by reading its attempt row back.
func (s *Store) Apply(ctx context.Context, write Write) (resource.Object, error) {
	if err := write.Object.Validate(); err != nil {
		return resource.Object{}, err
	}
	mayHaveRun := false
	for range maxWriteTries {
		object, tx, done, err := s.prepare(ctx, write)
		if done || err != nil {
			return object, orUnknown(err, mayHaveRun)
		}
		result, err := s.table.Commit(ctx, tx)
		switch {
		case errors.Is(err, platform.ErrAnswerLost):
			mayHaveRun = true
		case err != nil:
			return resource.Object{}, orUnknown(err, mayHaveRun)
		case result.Conflict == "":
			return object, nil
		}
	}
	return resource.Object{}, orUnknown(ErrConflict, mayHaveRun)
}

// orUnknown keeps a write that may have taken effect from being reported as refused.
func orUnknown(err error, mayHaveRun bool) error {
	if err != nil && mayHaveRun {
		return errors.Mark(err, ErrOutcomeUnknown)
	}
	return err
}

// prepare reads the rows that the write depends on and builds its transaction.
// It reports done with the object when the attempt took effect already.
func (s *Store) prepare(ctx context.Context, write Write) (resource.Object, platform.Transaction, bool, error) {
	none := platform.Transaction{}
	rows, err := s.table.Read(ctx, keyHead, objectKey(write.Object.Key()), prefixAttempt+write.Attempt)
	if err != nil {
		return resource.Object{}, none, false, err
	}
	head, current, attempt := rows[0], rows[1], rows[2]
	if attempt.Version != 0 {
		object, err := decodeObject(attempt)
		return object, none, true, err
	}
	existing, err := decodeObject(current)
	if err != nil {
		return resource.Object{}, none, false, err
	}
	if write.IfRevision != nil && *write.IfRevision != existing.Revision {
		return existing, none, false, ErrConflict
	}
	revision, err := decodeHead(head)
	if err != nil {
		return resource.Object{}, none, false, err
	}
	object := write.Object
	object.Revision = revision + 1
	return object, transaction(object, write.Attempt, head, current), false, nil
}

func transaction(object resource.Object, attempt string, head, current platform.Row) platform.Transaction {
	encoded := mustEncode(object)
	return platform.Transaction{
		Checks: []platform.Check{
			{Key: keyHead, Version: head.Version},
			{Key: current.Key, Version: current.Version},
		},
		Puts: []platform.Put{
			{Key: keyHead, Value: mustEncode(headRow{Revision: object.Revision})},
			{Key: current.Key, Value: encoded, Delete: object.Deleted},
			{Key: logKey(object.Revision), Value: encoded},
			{Key: prefixAttempt + attempt, Value: encoded},
		},
	}
}

func decodeObject(row platform.Row) (resource.Object, error) {
	if row.Version == 0 {
		return resource.Object{}, nil
	}
	var object resource.Object
	err := json.Unmarshal(row.Value, &object)
	return object, errors.Wrapf(err, "desired: row %s", row.Key)
}

// mustEncode panics only on a type that JSON cannot hold, which would be a broken invariant.
func mustEncode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// logKey pads the revision, so that keys sort by number.
func logKey(revision resource.Revision) string {
	return fmt.Sprintf("%s%020d", prefixLog, revision)
}

func objectKey(key resource.Key) string {
	return prefixObject + string(key.Kind) + "/" + key.Name
}

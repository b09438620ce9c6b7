// Package desired stores the fleet's configuration, its desired state, in these
// rows of the table service:
//   - the head, with the latest revision and a digest of all objects,
//   - one row for each object,
//   - one log row for each of the latest revisions,
//   - the oldest of these revisions,
//   - one row for each write attempt whose log row is kept,
//   - one row for each client account's token, which keeps tokens unique.
//
// Every write is one transaction that checks the head row, so revisions have no
// gaps and two writers never get the same one.
package desired

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"gentianhead/core/process/table"
	"gentianhead/core/version/resource"
)

const (
	keyHead       = "config/head"
	keyOldest     = "config/oldest"
	prefixLog     = "config/log/"
	prefixObject  = "config/object/"
	prefixAttempt = "config/attempt/"
	prefixToken   = "config/token/"
)

const (
	// MaxChangesRead is the maximum number of changes that one read returns.
	MaxChangesRead = 1000
	objectsPerScan = 1000
	// maxStateTries bounds the reads of the whole state when the digest does not
	// match.
	maxStateTries = 3
)

var (
	// ErrConflict means that the object is not at the expected revision.
	ErrConflict = errors.New("desired: object was changed by another writer")
	// ErrNotFound means that the object to delete does not exist.
	ErrNotFound = errors.New("desired: no such object")
	// ErrAttemptReused means that the attempt id belongs to another write.
	ErrAttemptReused = errors.New("desired: attempt id belongs to another write")
	// ErrNotWritten means that the store was unavailable or contended; nothing was written.
	ErrNotWritten = errors.New("desired: not written")
	// ErrOutcomeUnknown means that the store did not answer; the write may be
	// retried with the same attempt id and takes effect at most once.
	ErrOutcomeUnknown = errors.New("desired: outcome unknown; send the same attempt again")
	// ErrStaleRead means that the rows read are outdated or of different revisions.
	ErrStaleRead = errors.New("desired: rows of different revisions")
)

// CompactedError reports that requested changes are no longer kept.
type CompactedError struct {
	// Oldest is the oldest revision whose change is kept.
	Oldest resource.Revision
}

// Error returns a message with the oldest revision whose change is kept.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("desired: changes before revision %d are no longer kept", e.Oldest)
}

// Store reads and writes the configuration. It is safe for concurrent use.
type Store struct {
	table table.Table
}

// NewStore returns a Store that keeps the configuration in table.
func NewStore(table table.Table) *Store {
	return &Store{table: table}
}

// headRow is the row that writes and reads of the whole state check.
type headRow struct {
	Revision resource.Revision `json:"revision"`
	// Digest combines the digests of all objects that exist at Revision.
	Digest uint64 `json:"digest"`
}

type logRow struct {
	Object  resource.Object `json:"object"`
	Attempt string          `json:"attempt"`
}

type oldestRow struct {
	Revision resource.Revision `json:"revision"`
}

// Head returns the latest accepted revision, or an older one if the read is stale.
func (s *Store) Head(ctx context.Context) (resource.Revision, error) {
	head, _, err := s.readHead(ctx)
	return head.Revision, err
}

// ConfirmedHead returns a revision that was the latest accepted one at some time
// during the call, as confirmed by a transaction that only checks the head row.
func (s *Store) ConfirmedHead(ctx context.Context) (resource.Revision, error) {
	head, row, err := s.readHead(ctx)
	if err != nil {
		return 0, err
	}
	return head.Revision, s.confirm(ctx, row)
}

func (s *Store) readHead(ctx context.Context) (headRow, table.Row, error) {
	rows, err := s.table.Read(ctx, keyHead)
	if err != nil {
		return headRow{}, table.Row{}, err
	}
	head, err := decode[headRow](rows[0])
	return head, rows[0], err
}

// confirm fails with ErrStaleRead unless the head row is still at this version.
func (s *Store) confirm(ctx context.Context, head table.Row) error {
	check := table.Check{Key: keyHead, Version: head.Version}
	result, err := s.table.Commit(ctx, table.Transaction{Checks: []table.Check{check}})
	if err == nil && result.Conflict != "" {
		return ErrStaleRead
	}
	return err
}

// Changes returns at most MaxChangesRead changes after a revision, oldest first.
// It fails with a CompactedError when the next one is no longer kept.
func (s *Store) Changes(ctx context.Context, after resource.Revision) ([]resource.Object, error) {
	rows, err := s.table.Scan(ctx, prefixLog, logKey(after), MaxChangesRead)
	if err != nil {
		return nil, err
	}
	var changes []resource.Object
	for _, row := range rows {
		next := after + resource.Revision(len(changes)) + 1
		if row.Key != logKey(next) {
			// A row of another writer. If the next change is missing, no other follows.
			continue
		}
		logged, err := decode[logRow](row)
		if err != nil {
			return nil, err
		}
		if logged.Object.Revision != next {
			break
		}
		changes = append(changes, logged.Object)
	}
	if len(changes) == 0 {
		return nil, s.checkKept(ctx, after+1)
	}
	return changes, nil
}

func (s *Store) checkKept(ctx context.Context, revision resource.Revision) error {
	rows, err := s.table.Read(ctx, keyOldest)
	if err != nil {
		return err
	}
	oldest, err := decode[oldestRow](rows[0])
	if err == nil && revision < oldest.Revision {
		return &CompactedError{Oldest: oldest.Revision}
	}
	return err
}

// State returns the whole configuration at one revision. It scans the object
// rows, applies the changes made during the scan, and checks the result against
// the digest of the head row. Rows of other writers, which are not counted in that, are
// left out.
func (s *Store) State(ctx context.Context) (resource.Revision, []resource.Object, error) {
	var unreadable error
	for range maxStateTries {
		var head headRow
		var objects []resource.Object
		var err error
		head, objects, unreadable, err = s.readState(ctx)
		if err != nil {
			return 0, nil, err
		}
		if stateDigest(objects) == head.Digest {
			return head.Revision, objects, nil
		}
	}
	return 0, nil, errors.CombineErrors(ErrStaleRead, unreadable)
}

// readState reads the whole configuration once. unreadable is the error of a row that was
// left out.
func (s *Store) readState(ctx context.Context) (head headRow, objects []resource.Object, unreadable, err error) {
	before, _, err := s.readHead(ctx)
	if err != nil {
		return headRow{}, nil, nil, err
	}
	objects, unreadable, err = s.scanObjects(ctx)
	if err != nil {
		return headRow{}, nil, nil, err
	}
	after, _, err := s.readHead(ctx)
	if err != nil || after.Revision <= before.Revision {
		return before, objects, unreadable, err
	}
	changes, err := s.Changes(ctx, before.Revision)
	if err != nil {
		return headRow{}, nil, nil, err
	}
	changes = slices.DeleteFunc(changes, func(o resource.Object) bool { return o.Revision > after.Revision })
	// State detects a failed Apply by the digest.
	snapshot, _ := resource.NewSnapshot(before.Revision, objects).Apply(changes)
	return after, snapshot.List(""), unreadable, nil
}

// scanObjects reads the object rows. unreadable is the error of the last one that can't be read.
func (s *Store) scanObjects(ctx context.Context) (objects []resource.Object, unreadable, err error) {
	after := ""
	for {
		rows, err := s.table.Scan(ctx, prefixObject, after, objectsPerScan)
		if err != nil {
			return nil, nil, err
		}
		for _, row := range rows {
			after = row.Key
			object, err := decode[resource.Object](row)
			switch {
			case err != nil:
				unreadable = err
			case row.Key == objectKey(object.Key()):
				objects = append(objects, object)
			}
		}
		if len(rows) < objectsPerScan {
			return objects, unreadable, nil
		}
	}
}

// objectDigest hashes one object; stateDigest combines these hashes.
func objectDigest(o resource.Object) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s@%d", o.Kind, o.Name, o.Revision))
}

func stateDigest(objects []resource.Object) uint64 {
	sum := uint64(0)
	for _, o := range objects {
		sum ^= objectDigest(o)
	}
	return sum
}

// decode returns the zero value for a row that does not exist.
func decode[T any](row table.Row) (T, error) {
	var value T
	if row.Version == 0 {
		return value, nil
	}
	err := json.Unmarshal(row.Value, &value)
	return value, errors.Wrapf(err, "desired: row %s", row.Key)
}

// encode panics on a type that JSON cannot encode, which is a programming error.
func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// logKey pads the revision so that keys sort numerically.
func logKey(revision resource.Revision) string {
	return fmt.Sprintf("%s%020d", prefixLog, revision)
}

func objectKey(key resource.Key) string {
	return prefixObject + string(key.Kind) + "/" + key.Name
}

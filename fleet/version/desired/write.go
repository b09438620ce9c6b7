package desired

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/table"
	"gentianhead/core/version/resource"
)

const (
	// WriteTimeout bounds a write with all its retries and reads.
	WriteTimeout = 6 * time.Second
	// maxRetryWait is the maximum delay before a retry; the delay is random to
	// separate conflicting writers.
	maxRetryWait = 50 * time.Millisecond
	// MaxAttemptBytes is the maximum length of an attempt id.
	MaxAttemptBytes = 128
)

// Write is one change requested by an operator.
type Write struct {
	Object resource.Object
	// Attempt identifies the write, which takes effect at most once if retried.
	Attempt string
	// IfRevision, when not nil, is the required revision of the object; 0 means
	// that it must not exist.
	IfRevision *resource.Revision
}

// rowsRead holds the rows that a write depends on. A write or refusal based on them
// counts only if the head row still has the version read, so that they are of one moment.
type rowsRead struct {
	head, object, attempt, token table.Row
}

// Apply writes a change and returns the object at its new revision. If the answer
// to a commit is lost, it reads the attempt row to learn the outcome.
//
// When the attempt row is missing, the lost transaction may still be in flight.
// The next try fences it: both check the head row, which the first to commit changes,
// so only one takes effect.
func (s *Store) Apply(ctx context.Context, write Write) (resource.Object, error) {
	if err := write.Object.Validate(); err != nil {
		return resource.Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, WriteTimeout)
	defer cancel()
	mayHaveRun := false
	for {
		object, outcome, err := s.tryWrite(ctx, write)
		switch outcome {
		case outcomeFinal:
			return object, err
		case outcomeNotWritten:
			if !mayHaveRun {
				return object, errors.Mark(err, ErrNotWritten)
			}
		case outcomeUnknown:
			mayHaveRun = true
		}
		if waitBeforeRetry(ctx) == nil {
			continue
		}
		if mayHaveRun {
			return resource.Object{}, ErrOutcomeUnknown
		}
		return resource.Object{}, errors.Wrap(ErrNotWritten, "too many concurrent writers")
	}
}

type outcome int

const (
	// outcomeFinal is a definite answer to the operator.
	outcomeFinal outcome = iota
	// outcomeConflict means that another writer committed first; nothing was written.
	outcomeConflict
	// outcomeNotWritten means that the store was unavailable; nothing was written.
	outcomeNotWritten
	// outcomeUnknown means that the transaction may take effect or have done so.
	outcomeUnknown
)

func (s *Store) tryWrite(ctx context.Context, write Write) (resource.Object, outcome, error) {
	rows, err := s.readRows(ctx, write)
	if err != nil {
		return resource.Object{}, outcomeNotWritten, err
	}
	if rows.attempt.Version != 0 {
		object, err := acceptedObject(rows.attempt, write)
		return object, outcomeFinal, err
	}
	object, tx, err := prepareTransaction(rows, write)
	if err != nil {
		return s.confirmRefusal(ctx, rows.head, err)
	}
	result, err := s.table.Commit(ctx, tx)
	switch {
	case errors.Is(err, table.ErrRefused):
		return resource.Object{}, outcomeNotWritten, err
	case err != nil:
		return resource.Object{}, outcomeUnknown, err
	case result.Conflict != "":
		return resource.Object{}, outcomeConflict, nil
	}
	return object, outcomeFinal, nil
}

// confirmRefusal returns the refusal only if the rows that it is based on were not stale.
func (s *Store) confirmRefusal(ctx context.Context, head table.Row, refusal error) (resource.Object, outcome, error) {
	err := s.confirm(ctx, head)
	switch {
	case err == nil:
		return resource.Object{}, outcomeFinal, refusal
	case errors.Is(err, ErrStaleRead):
		return resource.Object{}, outcomeConflict, nil
	}
	return resource.Object{}, outcomeNotWritten, err
}

func (s *Store) readRows(ctx context.Context, write Write) (rowsRead, error) {
	token := ""
	if write.Object.Account != nil {
		token = write.Object.Account.TokenSHA256
	}
	rows, err := s.table.Read(ctx, keyHead, objectKey(write.Object.Key()), prefixAttempt+write.Attempt, prefixToken+token)
	if err != nil {
		return rowsRead{}, err
	}
	return rowsRead{head: rows[0], object: rows[1], attempt: rows[2], token: rows[3]}, nil
}

// acceptedObject returns the object that the attempt has already written.
func acceptedObject(attempt table.Row, write Write) (resource.Object, error) {
	accepted, err := decode[resource.Object](attempt)
	if err != nil {
		return resource.Object{}, err
	}
	// The revision was assigned by the commit.
	normalized := accepted
	normalized.Revision = write.Object.Revision
	if !bytes.Equal(encode(normalized), encode(write.Object)) {
		return resource.Object{}, ErrAttemptReused
	}
	return accepted, nil
}

// prepareTransaction builds the transaction of a write, or returns why it is refused.
func prepareTransaction(rows rowsRead, write Write) (resource.Object, table.Transaction, error) {
	noTransaction := table.Transaction{}
	existing, err := decode[resource.Object](rows.object)
	if err != nil {
		return resource.Object{}, noTransaction, err
	}
	head, err := decode[headRow](rows.head)
	if err != nil {
		return resource.Object{}, noTransaction, err
	}
	tokenHolder, err := decode[string](rows.token)
	if err != nil {
		return resource.Object{}, noTransaction, err
	}
	if err := checkPreconditions(write, existing, tokenHolder); err != nil {
		return resource.Object{}, noTransaction, err
	}
	object := write.Object
	object.Revision = head.Revision + 1
	head = headRow{Revision: object.Revision, Digest: head.Digest}
	if existing.Revision != 0 {
		head.Digest ^= objectDigest(existing)
	}
	if !object.Deleted {
		head.Digest ^= objectDigest(object)
	}
	puts := []table.Put{
		{Key: keyHead, Value: encode(head)},
		{Key: rows.object.Key, Value: encode(object), Delete: object.Deleted},
		{Key: logKey(object.Revision), Value: encode(logRow{Object: object, Attempt: write.Attempt})},
		{Key: rows.attempt.Key, Value: encode(object)},
	}
	return object, table.Transaction{
		Checks: []table.Check{{Key: keyHead, Version: rows.head.Version}},
		Puts:   append(puts, tokenPuts(existing, object)...),
	}, nil
}

func checkPreconditions(write Write, existing resource.Object, tokenHolder string) error {
	object := write.Object
	switch {
	case write.IfRevision != nil && *write.IfRevision != existing.Revision:
		return ErrConflict
	case object.Deleted && existing.Revision == 0:
		return ErrNotFound
	case object.Account != nil && tokenHolder != "" && tokenHolder != object.Name:
		return &resource.ValidationError{
			Key: object.Key(), Field: "clientAccount.tokenSha256",
			Allowed: "a token that no other client account uses; " + tokenHolder + " uses this one",
		}
	}
	return nil
}

// tokenPuts updates the rows that keep the account's token unique.
func tokenPuts(existing, object resource.Object) []table.Put {
	var puts []table.Put
	isChanged := existing.Account != nil && (object.Account == nil || object.Account.TokenSHA256 != existing.Account.TokenSHA256)
	if isChanged {
		puts = append(puts, table.Put{Key: prefixToken + existing.Account.TokenSHA256, Delete: true})
	}
	if object.Account != nil {
		puts = append(puts, table.Put{Key: prefixToken + object.Account.TokenSHA256, Value: encode(object.Name)})
	}
	return puts
}

// waitBeforeRetry waits for a random delay and fails when ctx ends first.
func waitBeforeRetry(ctx context.Context) error {
	timer := time.NewTimer(1 + rand.N(maxRetryWait))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

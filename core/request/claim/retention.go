package claim

import (
	"errors"
	"net/http"
	"time"

	"gentianhead/core/request/outcome"
)

const (
	// Retention is how long an answer is kept and its key may be repeated.
	Retention = 7 * 24 * time.Hour
	// DeleteAfter is the age at which a row is deleted or trimmed. The day
	// beyond Retention allows for clock skew between routers.
	DeleteAfter = Retention + 24*time.Hour
	// MaxKeySkew is how far in the future a key's creation time may be.
	MaxKeySkew = time.Hour
)

// CheckKeyTime refuses a key whose embedded creation time is outside the
// retention period: its row may be deleted, so it is unknown whether the request
// ran. It returns nil for a valid key.
func CheckKeyTime(created, now time.Time) *Result {
	age := now.Sub(created)
	if age > Retention {
		result := problemResult(http.StatusGone, outcome.Unknown, outcome.CodeKeyExpired,
			"the key is older than the retention period of 7 days; it is no longer recorded whether the request ran", 0)
		return &result
	}
	if age < -MaxKeySkew {
		result := problemResult(http.StatusBadRequest, outcome.NotRun, outcome.CodeBadRequest,
			"the key's creation time is more than 1 hour in the future", 0)
		return &result
	}
	return nil
}

// Expiry is the retention action for a row.
type Expiry int

const (
	// Keep leaves the row unchanged.
	Keep Expiry = iota
	// Trim removes the answer and keeps the state, for a key without a creation time.
	Trim
	// Delete removes the row; CheckKeyTime refuses its key from then on.
	Delete
)

// ExpiryOf returns the retention action for a row at now. keyCreated is the
// creation time in the key, or zero if there is none. Rows in no final state are kept.
func ExpiryOf(row Row, keyCreated, now time.Time) Expiry {
	isFinal := row.State == StateCompleted || row.State == StateNotRun
	if !isFinal || now.Sub(time.UnixMilli(row.CreatedMs)) <= DeleteAfter {
		return Keep
	}
	if !keyCreated.IsZero() && now.Sub(keyCreated) > DeleteAfter {
		return Delete
	}
	if keyCreated.IsZero() && row.Answer != nil {
		return Trim
	}
	return Keep
}

var (
	// ErrNotSettleable means that a claim is settled or its request may be in
	// progress. Its text calls a claimed or fencing row open.
	ErrNotSettleable = errors.New("claim: only an unknown claim, or an open one older than the holder timeout, can be settled")
	// ErrWrongState means that a claim can't be settled to this state.
	ErrWrongState = errors.New("claim: allowed states: completed, not-run")
)

// Settle returns the row as settled by an operator who determined the outcome.
func Settle(row Row, to State, operator string, now time.Time) (Row, error) {
	if to != StateCompleted && to != StateNotRun {
		return row, ErrWrongState
	}
	isOld := now.Sub(time.UnixMilli(row.CreatedMs)) > HolderTimeout
	canSettle := row.State == StateUnknown || (isOld && (row.State == StateClaimed || row.State == StateFencing))
	if !canSettle {
		return row, ErrNotSettleable
	}
	row.State = to
	row.SettledBy = operator
	return row, nil
}

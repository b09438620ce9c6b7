package claim

import (
	"errors"
	"net/http"
	"time"

	"gentianhead/core/request/outcome"
)

// Times of retention.
const (
	// Retention is how long an answer is kept and a key may be asked again.
	Retention = 7 * 24 * time.Hour
	// DeleteAfter is the age at which a row is deleted or trimmed. The day
	// beyond Retention covers clocks of routers that differ.
	DeleteAfter = Retention + 24*time.Hour
	// MaxKeyAhead is how far in the future a key's time may lie.
	MaxKeyAhead = time.Hour
)

// CheckKeyTime refuses a key that carries its time of creation when that lies
// outside the retention: the row may be deleted, so nobody knows whether it
// ran. It returns nil for a key that may be asked.
func CheckKeyTime(created, now time.Time) *Verdict {
	age := now.Sub(created)
	if age > Retention {
		verdict := refuse(http.StatusGone, outcome.Unknown, outcome.CodeKeyExpired,
			"the key is older than the retention of 7 days; whether it ran is not recorded any more", 0)
		return &verdict
	}
	if age < -MaxKeyAhead {
		verdict := refuse(http.StatusBadRequest, outcome.NotRun, outcome.CodeBadRequest,
			"the key's time lies more than 1 hour in the future", 0)
		return &verdict
	}
	return nil
}

// Expiry says what retention does with a row.
type Expiry int

const (
	// Keep leaves the row.
	Keep Expiry = iota
	// Trim drops the answer and keeps the state, for a key without a time.
	Trim
	// Delete drops the row; CheckKeyTime refuses its key from then on.
	Delete
)

// ExpiryOf says what becomes of a row at now. keyCreated is the time that the
// key carries; zero when it carries none. A row that is not settled is kept.
func ExpiryOf(row Row, keyCreated, now time.Time) Expiry {
	isSettled := row.State == StateCompleted || row.State == StateNotRun
	if !isSettled || now.Sub(time.UnixMilli(row.CreatedMs)) <= DeleteAfter {
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
	// ErrNotOpen means that a claim is settled or still at work.
	ErrNotOpen = errors.New("claim: only an unknown claim, or one older than its holder's life, can be settled")
	// ErrWrongState means that a claim can't be settled to this state.
	ErrWrongState = errors.New("claim: allowed states: completed, not-run")
)

// Settle returns the row after an operator found out what became of a request.
func Settle(row Row, to State, operator string, now time.Time) (Row, error) {
	if to != StateCompleted && to != StateNotRun {
		return row, ErrWrongState
	}
	isOld := now.Sub(time.UnixMilli(row.CreatedMs)) > HolderLife
	isOpen := row.State == StateUnknown || (isOld && (row.State == StateClaimed || row.State == StateFencing))
	if !isOpen {
		return row, ErrNotOpen
	}
	row.State = to
	row.SettledBy = operator
	return row, nil
}

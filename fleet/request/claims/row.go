package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/claim"
)

// RowPrefix is the key prefix of all claim rows.
const RowPrefix = "claims/"

// MaxRowAnswerBytes is the maximum size of an answer body stored in the row.
const MaxRowAnswerBytes = 16 << 10

// RowKey returns the key of a request's claim row. The caller's key is hashed
// because it may be long and contain any characters.
func RowKey(id claim.ID) string {
	digest := sha256.Sum256([]byte(id.Key))
	return RowPrefix + id.Account + "/" + hex.EncodeToString(digest[:])
}

// DecodeRow decodes the value of a claim row.
func DecodeRow(value []byte) (claim.Row, error) {
	var row claim.Row
	err := json.Unmarshal(value, &row)
	return row, errors.Wrap(err, "decode claim row")
}

// encodeRow returns the value of a row. A large answer is stored in the object
// store first, under a name unique to its attempt, so that no other attempt
// overwrites it.
func (r *run) encodeRow(ctx context.Context, row claim.Row) ([]byte, error) {
	if row.Answer == nil || len(row.Answer.Body) <= MaxRowAnswerBytes {
		return json.Marshal(row)
	}
	answer := *row.Answer
	answer.Object = "claim-answer-" + row.Attempt
	if err := r.manager.options.Store.PutObject(ctx, answer.Object, answer.Body); err != nil {
		return nil, err
	}
	answer.Body = nil
	row.Answer = &answer
	return json.Marshal(row)
}

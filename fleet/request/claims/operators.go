package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/table"
	"gentianhead/core/request/claim"
)

var (
	// ErrNoClaim means that no claim has this account and key.
	ErrNoClaim = errors.New("claims: no such claim")
	// ErrConflict means that another writer changed the claim, so Settle did not.
	ErrConflict = errors.New("claims: the claim was changed concurrently")
)

const scanPageRows = 500

// Claim is a claim row with its client account.
type Claim struct {
	Account string
	Row     claim.Row
}

// ListOpen returns at most limit claims of an account that may need an operator's
// decision. It scans the account's rows and skips those that can't be decoded.
func ListOpen(ctx context.Context, rows table.Table, account string, limit int) ([]Claim, error) {
	var open []Claim
	prefix, after := RowPrefix+account+"/", ""
	for {
		page, err := rows.Scan(ctx, prefix, after, scanPageRows)
		if err != nil {
			return nil, err
		}
		for _, stored := range page {
			row, err := DecodeRow(stored.Value)
			if err == nil && isOpen(row.State) && len(open) < limit {
				open = append(open, Claim{Account: account, Row: row})
			}
		}
		if len(page) < scanPageRows || len(open) >= limit {
			return open, nil
		}
		after = page[len(page)-1].Key
	}
}

func isOpen(state claim.State) bool {
	return state == claim.StateUnknown || state == claim.StateClaimed || state == claim.StateFencing
}

// Settle records the outcome that an operator determined for a request. It
// returns ErrNoClaim, ErrConflict, claim.ErrNotSettleable, claim.ErrWrongState, or
// an error of the table service. After table.ErrIndeterminate the caller must read
// the claim again.
func Settle(ctx context.Context, rows table.Table, id claim.ID, to claim.State, operator string) (claim.Row, error) {
	stored, err := rows.Read(ctx, RowKey(id))
	if err != nil {
		return claim.Row{}, err
	}
	if stored[0].Version == 0 {
		return claim.Row{}, ErrNoClaim
	}
	row, err := DecodeRow(stored[0].Value)
	if err != nil {
		return claim.Row{}, err
	}
	settled, err := claim.Settle(row, to, operator, time.Now())
	if err != nil {
		return row, err
	}
	value, err := json.Marshal(settled)
	if err != nil {
		return row, err
	}
	result, err := rows.Commit(ctx, table.Transaction{
		Checks: []table.Check{{Key: stored[0].Key, Version: stored[0].Version}},
		Puts:   []table.Put{{Key: stored[0].Key, Value: value}},
	})
	if err != nil {
		return row, err
	}
	if result.Conflict != "" {
		return row, ErrConflict
	}
	return settled, nil
}

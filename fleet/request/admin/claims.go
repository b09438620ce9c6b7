package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/danielgtaylor/huma/v2"

	"gentianhead/core/process/table"
	"gentianhead/core/request/claim"
	"gentianhead/fleet/request/claims"
)

// maxOpenClaims is the maximum number of claims in one list answer.
const maxOpenClaims = 1000

// ClaimBody is the representation of a claim.
type ClaimBody struct {
	Account  string      `json:"account"`
	Key      string      `json:"key"`
	State    claim.State `json:"state"`
	Endpoint string      `json:"endpoint"`
	// Holder is the instance and incarnation of the last router to write the claim.
	Holder    string    `json:"holder"`
	CreatedAt time.Time `json:"createdAt"`
	SettledBy string    `json:"settledBy,omitempty"`
}

type claimsInput struct {
	Account string `query:"account" required:"true" doc:"client account whose open claims are listed"`
}

type claimsOutput struct {
	Body struct {
		Items []ClaimBody `json:"items"`
	}
}

// SettleBody is the outcome that an operator determined for a request.
type SettleBody struct {
	Account  string      `json:"account"`
	Key      string      `json:"key"`
	State    claim.State `json:"state" enum:"completed,not-run"`
	Operator string      `json:"operator" minLength:"1" doc:"who settles, for the record"`
	// SenderStopped is required for not-run.
	SenderStopped bool `json:"senderStopped,omitempty" doc:"the endpoint's books show no run, and the router that held the claim has stopped"`
}

type settleInput struct{ Body SettleBody }

type settleOutput struct{ Body ClaimBody }

func (a *api) registerClaims(h huma.API) {
	huma.Register(h, huma.Operation{
		OperationID: "list-open-claims", Method: http.MethodGet, Path: "/v1/claims",
		Summary: "List at-most-once requests of an account whose outcome is open",
	}, a.listClaims)
	huma.Register(h, huma.Operation{
		OperationID: "settle-claim", Method: http.MethodPost, Path: "/v1/claims/settle",
		Summary: "Record what became of an at-most-once request",
	}, a.settleClaim)
}

func toClaimBody(account string, row claim.Row) ClaimBody {
	return ClaimBody{
		Account: account, Key: row.Key, State: row.State, Endpoint: row.Endpoint, Holder: row.Holder,
		CreatedAt: time.UnixMilli(row.CreatedMs).UTC(), SettledBy: row.SettledBy,
	}
}

func (a *api) listClaims(ctx context.Context, in *claimsInput) (*claimsOutput, error) {
	open, err := claims.ListOpen(ctx, a.options.Table, in.Account, maxOpenClaims)
	if err != nil {
		return nil, huma.Error503ServiceUnavailable("claims not read: the table service is unavailable")
	}
	out := &claimsOutput{}
	out.Body.Items = make([]ClaimBody, len(open))
	for i, c := range open {
		out.Body.Items[i] = toClaimBody(c.Account, c.Row)
	}
	return out, nil
}

func (a *api) settleClaim(ctx context.Context, in *settleInput) (*settleOutput, error) {
	body := in.Body
	if body.State == claim.StateNotRun && !body.SenderStopped {
		return nil, huma.Error422UnprocessableEntity("not-run requires senderStopped: a router that still holds the claim could send the request")
	}
	id := claim.ID{Account: body.Account, Key: body.Key}
	row, err := claims.Settle(ctx, a.options.Table, id, body.State, body.Operator)
	if err != nil {
		return nil, settleError(err)
	}
	a.options.Log.Info("Claim settled.", "account", body.Account, "state", body.State, "operator", body.Operator)
	return &settleOutput{Body: toClaimBody(body.Account, row)}, nil
}

func settleError(err error) error {
	switch {
	case errors.Is(err, claims.ErrNoClaim):
		return huma.Error404NotFound("no claim has this account and key")
	case errors.IsAny(err, claims.ErrConflict, claim.ErrNotSettleable):
		return huma.Error409Conflict(err.Error())
	case errors.Is(err, table.ErrRefused):
		return huma.Error503ServiceUnavailable("not settled: the table service is unavailable")
	}
	return huma.Error500InternalServerError("outcome unknown: the claim may have been settled; read it again")
}

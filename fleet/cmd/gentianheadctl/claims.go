package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"gentianhead/core/request/claim"
	"gentianhead/fleet/request/admin"
)

func (c *commands) claimsCommand() *ff.Command {
	return &ff.Command{
		Name:      "claims",
		Usage:     "gentianheadctl claims ACCOUNT",
		ShortHelp: "list an account's at-most-once requests that have no final outcome",
		Flags:     ff.NewFlagSet("claims").SetParent(c.flags),
		Exec:      c.claims,
	}
}

type settleOptions struct {
	operator      *string
	senderStopped *bool
}

func (c *commands) settleCommand() *ff.Command {
	flags := ff.NewFlagSet("settle").SetParent(c.flags)
	options := settleOptions{
		operator:      flags.StringLong("operator", "", "name of the operator, for the record"),
		senderStopped: flags.BoolLong("sender-stopped", "required for not-run: confirms that the endpoint's records show no run and that the router that held the claim has stopped"),
	}
	return &ff.Command{
		Name:      "settle",
		Usage:     "gentianheadctl settle --operator NAME [--sender-stopped] ACCOUNT KEY completed|not-run",
		ShortHelp: "record the outcome of an at-most-once request",
		LongHelp:  "DANGER: settling as not-run lets the caller send the request again. Read docs/operators/claims.md first.",
		Flags:     flags,
		Exec:      c.settleExec(options),
	}
}

func (c *commands) claims(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return errors.Wrap(errUsage, "claims needs ACCOUNT")
	}
	var answer struct {
		Items []admin.ClaimBody `json:"items"`
	}
	if err := c.read(ctx, "/v1/claims?account="+url.QueryEscape(args[0]), &answer); err != nil {
		return err
	}
	t := table{header: []string{"KEY", "STATE", "CREATED", "ENDPOINT", "HOLDER"}}
	for _, item := range answer.Items {
		t.add(item.Key, item.State, item.CreatedAt.Format(time.RFC3339), item.Endpoint, item.Holder)
	}
	return c.print(answer, t)
}

func (c *commands) settleExec(options settleOptions) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) != 3 {
			return errors.Wrap(errUsage, "settle needs ACCOUNT, KEY and completed or not-run")
		}
		body := admin.SettleBody{
			Account: args[0], Key: args[1], State: claim.State(args[2]),
			Operator: *options.operator, SenderStopped: *options.senderStopped,
		}
		var settled admin.ClaimBody
		if err := c.doJSON(ctx, http.MethodPost, "/v1/claims/settle", http.Header{}, body, &settled); err != nil {
			return err
		}
		_, err := fmt.Fprintf(c.stdout, "%s %s is %s\n", settled.Account, settled.Key, settled.State)
		return err
	}
}

package gateway

import (
	"context"
	"encoding/json"
	"net/http"

	"gentianhead/core/request/outcome"
	"gentianhead/core/request/placement"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/engine"
)

// chatRequest is the part of a chat request that the router reads.
type chatRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// Messages are only used to compute the prefix key.
	Messages []json.RawMessage `json:"messages"`
}

// chat serves POST /v1/chat/completions.
func (g *Gateway) chat(ctx context.Context, x *exchange) *outcome.Problem {
	var request chatRequest
	if err := json.Unmarshal(x.body, &request); err != nil {
		return notRun(http.StatusBadRequest, outcome.CodeBadRequest, "the body is not a chat request in JSON").Problem
	}
	if _, known := x.state.Config.Get(resource.KindModel, request.Model); !known {
		return notRun(http.StatusNotFound, outcome.CodeUnknownModel, "no model has this name").Problem
	}
	if problem := g.drain.admit(ctx, x, "model "+request.Model); problem != nil {
		return problem
	}
	info := placement.PickInfo{
		Chat:    x.chat,
		Model:   request.Model,
		Account: x.account,
		Prefix:  prefixKey(x.account, request.Messages),
	}
	x.parts = messageParts(x.account, request.Messages)
	call := endpointCall{method: http.MethodPost, path: engine.ChatPath, isResumable: true}
	return g.dispatch(ctx, x, info, call, func(response *http.Response) *outcome.Problem {
		if request.Stream && response.StatusCode == http.StatusOK {
			return g.forwardStream(ctx, x, response)
		}
		return g.forwardChat(ctx, x, response)
	})
}

package engine

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"

	"gentianhead/core/request/answer"
	"gentianhead/fleet/process/telemetry"
)

// HeaderLastEventID names the last event that the asking side has, as in the
// standard of server-sent events.
const HeaderLastEventID = "Last-Event-ID"

const (
	// cancelTimeout bounds one cancel call.
	cancelTimeout = 2 * time.Second
	// maxCancels is how many cancel calls may be under way; more are left out,
	// and the engine learns from the closed connection alone.
	maxCancels = 256
)

// errNotResumable means that the engine does not resume this answer.
var errNotResumable = errors.New("engine: answer can't be resumed")

// recover carries out resumes until one is answered, or the core gives up. It
// returns either the answer or the core's last decision.
func (c *Client) recover(ctx context.Context, core *answer.Core, to target, decision answer.Decision) (*http.Response, answer.Decision) {
	for decision.Action == answer.ActionResume {
		response, err := c.resume(ctx, to, decision)
		switch {
		case err == nil:
			return response, core.Step(answer.Head{ID: to.id})
		case ctx.Err() != nil:
			decision = core.Step(endOf(ctx))
		case errors.Is(err, ErrMismatched):
			decision = core.Step(answer.Head{})
		default:
			decision = core.Step(answer.ResumeFailed{IsFinal: errors.Is(err, errNotResumable)})
		}
	}
	return nil, decision
}

// resume asks the engine for the events of an answer after decision.From. An
// answer that is not streamed comes whole.
func (c *Client) resume(ctx context.Context, to target, decision answer.Decision) (*http.Response, error) {
	if err := wait(ctx, decision.After); err != nil {
		return nil, err
	}
	resumes.Add(1)
	ctx, span := telemetry.StartChild(ctx, "endpoint resume",
		attribute.String("request.id", to.callerID), attribute.Int("event.last", decision.From))
	defer span.End()
	header := http.Header{}
	header.Set(HeaderLastEventID, strconv.Itoa(decision.From))
	response, err := c.send(ctx, Request{
		Method: http.MethodPost,
		URL:    to.url("resume"),
		Header: header,
		ID:     to.callerID,
	}, to.id)
	if errors.Is(err, ErrWithdrawn) {
		return nil, errNotResumable
	}
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		_ = response.Body.Close()
		return nil, errors.Wrapf(errNotResumable, "status %d", response.StatusCode)
	}
	return response, nil
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t target) url(action string) string {
	return t.base + "/v1/streams/" + url.PathEscape(t.id) + "/" + action
}

// cancel tells the engine that nobody waits for the answer. It does not wait
// for the engine.
func (c *Client) cancel(ctx context.Context, to target) {
	select {
	case c.cancels <- struct{}{}:
	default:
		cancelsLeftOut.Add(1)
		return
	}
	cancels.Add(1)
	c.wg.Go(func() {
		defer func() { <-c.cancels }()
		ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer stop()
		ctx, span := telemetry.StartChild(ctx, "endpoint cancel", attribute.String("request.id", to.callerID))
		defer span.End()
		request := Request{Method: http.MethodPost, URL: to.url("cancel"), ID: to.callerID}
		if response, err := c.send(ctx, request, to.id); err == nil {
			_ = response.Body.Close()
		}
	})
}

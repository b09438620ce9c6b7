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

// HeaderLastEventID is the header of the server-sent events standard with the id
// of the last event that the client received.
const HeaderLastEventID = "Last-Event-ID"

const (
	cancelTimeout = 2 * time.Second
	// maxConcurrentCancels limits the cancel calls in flight. Further ones are
	// skipped; the engine can then only detect that the connection was closed.
	maxConcurrentCancels = 256
)

var errNotResumable = errors.New("engine: answer can't be resumed")

// recover sends resume calls until one is answered or the core gives up. It
// returns either the answer or the core's last decision.
func (c *Client) recover(ctx context.Context, core *answer.Core, to target, decision answer.Decision) (*http.Response, answer.Decision) {
	for decision.Action == answer.ActionResume {
		response, err := c.resume(ctx, to, decision)
		switch {
		case err == nil:
			return response, core.Step(answer.Head{ID: to.id})
		case ctx.Err() != nil:
			decision = core.Step(contextEndEvent(ctx))
		case errors.Is(err, ErrMismatched):
			decision = core.Step(answer.Head{})
		default:
			decision = core.Step(answer.ResumeFailed{IsFinal: errors.Is(err, errNotResumable)})
		}
	}
	return nil, decision
}

// resume requests the events of an answer after decision.From. An answer that is
// not streamed is returned in full.
func (c *Client) resume(ctx context.Context, to target, decision answer.Decision) (*http.Response, error) {
	if err := sleep(ctx, decision.After); err != nil {
		return nil, err
	}
	resumes.Add(1)
	ctx, span := telemetry.StartClientSpan(ctx, "endpoint resume",
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

func sleep(ctx context.Context, d time.Duration) error {
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

// cancel tells the engine, in the background, that the answer is no longer
// needed.
func (c *Client) cancel(ctx context.Context, to target) {
	select {
	case c.cancels <- struct{}{}:
	default:
		skippedCancels.Add(1)
		return
	}
	cancels.Add(1)
	c.wg.Go(func() {
		defer func() { <-c.cancels }()
		ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer stop()
		ctx, span := telemetry.StartClientSpan(ctx, "endpoint cancel", attribute.String("request.id", to.callerID))
		defer span.End()
		request := Request{Method: http.MethodPost, URL: to.url("cancel"), ID: to.callerID}
		if response, err := c.send(ctx, request, to.id); err == nil {
			_ = response.Body.Close()
		}
	})
}

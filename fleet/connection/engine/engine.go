// Package engine sends requests to endpoints, says for each failure what is
// certain about the request, and reads answers whole: an answer that broke or
// was crossed with another is asked for again under the request's id.
package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"gentianhead/core/request/answer"
	"gentianhead/fleet/connection/transport"
)

// Headers of requests and answers.
const (
	// HeaderRequestID carries the id of a request on one hop. Endpoints echo it.
	HeaderRequestID = "X-Request-Id"
	// HeaderCallerRequestID carries the id that the caller chose to the endpoint.
	HeaderCallerRequestID = "X-Caller-Request-Id"
	HeaderFencing         = "X-Fencing-Number"
	HeaderKey             = "Idempotency-Key"
	HeaderPriority        = "X-Priority"
	// HeaderDeadline is the time left for the request, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
)

// ChatPath is where engines take chats.
const ChatPath = "/v1/chat/completions"

var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = transport.ErrNotSent
	// ErrNoAnswer means that the request was sent and no answer came.
	ErrNoAnswer = transport.ErrNoAnswer
	// ErrMismatched means that the answer carries another request's id.
	ErrMismatched = errors.New("engine: answer to another request")
	// ErrTruncated means that the answer ended before it was whole.
	ErrTruncated = errors.New("engine: answer truncated")
	// ErrWithdrawn means that the endpoint refused the request because it is withdrawn.
	ErrWithdrawn = errors.New("engine: endpoint is withdrawn")
)

// MaxAnswerBytes is the largest answer that is read whole.
const MaxAnswerBytes = 64 << 20

// Connection limits of the client.
const (
	dialTimeout       = 2 * time.Second
	idleConnTimeout   = 90 * time.Second
	keepAliveInterval = 15 * time.Second
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// ID is the request's id as the caller knows it. It need not be unique: Do
	// makes an id of its own for the hop, which the answer has to carry.
	ID string
	// Resumable says that the endpoint is an engine whose answer can be asked
	// for again under the hop's id. It is set for chats only.
	Resumable bool
	// Ungated requests are no new work, such as fence orders. They go out while
	// the endpoint is withdrawn or this router isolated.
	Ungated bool
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	http *http.Client
	gate Gate
	// cancels bounds and counts the cancel calls under way.
	cancels chan struct{}
	wg      sync.WaitGroup
}

// NewClient returns a client that keeps connections to endpoints open.
func NewClient() *Client {
	return &Client{
		http: &http.Client{
			Transport: transport.New(transport.Options{
				DialTimeout: dialTimeout,
				IdleTimeout: idleConnTimeout,
				KeepAlive:   net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval},
			}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		cancels: make(chan struct{}, maxCancels),
	}
}

// Do sends the request and returns the answer's head with its body still to be
// read. The caller closes the body. An answer to another request is never
// returned: its connection is closed, and the request's own answer is asked for
// again where the request is resumable.
func (c *Client) Do(ctx context.Context, request Request) (*http.Response, error) {
	gatedCtx, err := c.admit(ctx, request)
	if err != nil {
		return nil, err
	}
	target := newTarget(request)
	response, err := c.send(gatedCtx, request, target.id)
	if err == nil || !request.Resumable || errors.IsAny(err, ErrNotSent, ErrWithdrawn) {
		return response, err
	}
	core := answer.New(target.id)
	response, decision := c.recover(ctx, core, target, core.Step(headEvent(ctx, err)))
	if response != nil {
		return response, nil
	}
	c.cancel(ctx, target)
	if decision.Action == answer.ActionCancel {
		err = reasonError(decision.Reason)
	}
	return nil, err
}

// headEvent returns what a failed request means to the answer core.
func headEvent(ctx context.Context, err error) answer.Event {
	if ctx.Err() != nil {
		return endOf(ctx)
	}
	if errors.Is(err, ErrMismatched) {
		return answer.Head{}
	}
	return answer.End{IsBroken: true}
}

// endOf returns why ctx ended.
func endOf(ctx context.Context) answer.Event {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return answer.DeadlinePassed{}
	}
	return answer.CallerGone{}
}

func reasonError(reason answer.Reason) error {
	switch reason {
	case answer.ReasonMismatched:
		return ErrMismatched
	case answer.ReasonDeadline:
		return fmt.Errorf("%w: %w", ErrNoAnswer, context.DeadlineExceeded)
	case answer.ReasonCallerGone:
		return fmt.Errorf("%w: %w", ErrNoAnswer, context.Canceled)
	}
	return ErrTruncated
}

// send sends a request once and checks the head of its answer.
func (c *Client) send(ctx context.Context, request Request, id string) (*http.Response, error) {
	var used transport.Usage
	httpRequest, err := newHTTPRequest(used.Trace(ctx), request, id)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil && !used.GiveUp() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if err := checkHead(response, id); err != nil {
		used.GiveUp()
		_ = response.Body.Close()
		c.noteRefusal(request.URL, err)
		return nil, err
	}
	return response, nil
}

// newHopID returns an id that no other request has, whatever id the caller
// chose. It starts with the caller's id, so that logs can be searched for it.
func newHopID(callerID string) string {
	return callerID + "~" + uuid.NewString()
}

func newHTTPRequest(ctx context.Context, request Request, id string) (*http.Request, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, request.URL, nil)
	if err != nil {
		return nil, err
	}
	// net/http sends a request that failed on a kept connection again by itself
	// when it has no body or an Idempotency-Key and no body. A body that it
	// can't rewind, also where it is empty, keeps it from that.
	httpRequest.Body = io.NopCloser(bytes.NewReader(request.Body))
	httpRequest.ContentLength = int64(len(request.Body))
	if request.Header != nil {
		httpRequest.Header = request.Header.Clone()
	}
	httpRequest.Header.Set(HeaderRequestID, id)
	httpRequest.Header.Set(HeaderCallerRequestID, request.ID)
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		httpRequest.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(httpRequest.Header))
	return httpRequest, nil
}

// checkHead checks that the answer belongs to the request. That goes for every
// status: a refusal that was meant for another request says nothing about this one.
func checkHead(response *http.Response, id string) error {
	if answered := response.Header.Get(HeaderRequestID); answered != id {
		return errors.Wrapf(ErrMismatched, "got id %q with status %d", answered, response.StatusCode)
	}
	if response.StatusCode == http.StatusGone {
		return ErrWithdrawn
	}
	return nil
}

// ReadWhole reads the rest of an answer and closes it. It returns ErrTruncated
// when the connection ends before the announced length or the last chunk, and
// for an answer whose length is told by neither, since its end proves nothing.
func ReadWhole(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	if response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, errors.Wrap(ErrTruncated, "answer has neither a length nor chunks")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if len(body) > MaxAnswerBytes {
		return nil, errors.Wrapf(ErrTruncated, "answer above %d bytes", MaxAnswerBytes)
	}
	return body, nil
}

// Close waits for the cancel calls under way and closes idle connections.
func (c *Client) Close() {
	c.wg.Wait()
	c.http.CloseIdleConnections()
}

// target is a request as the resume and cancel calls name it.
type target struct {
	base     string
	id       string
	callerID string
}

func newTarget(request Request) target {
	return target{
		base:     strings.TrimSuffix(request.URL, ChatPath),
		id:       newHopID(request.ID),
		callerID: request.ID,
	}
}

// Package engine sends requests to endpoints and reports for each failure whether
// the request was sent. A broken or mismatched answer of an engine, which is an
// endpoint that serves models, is requested again with the same request id.
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

// Request and answer headers.
const (
	// HeaderRequestID is the id of a request on one hop. Endpoints echo it.
	HeaderRequestID = "X-Request-Id"
	// HeaderCallerRequestID is the id that the caller chose.
	HeaderCallerRequestID = "X-Caller-Request-Id"
	// HeaderFencing is the number of an attempt at an at-most-once request. Endpoints
	// that check it refuse numbers below the highest received.
	HeaderFencing        = "X-Fencing-Number"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "X-Priority"
	// HeaderDeadline is the time left for the request, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
)

// ChatPath is the path of the engines' chat API.
const ChatPath = "/v1/chat/completions"

var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = transport.ErrNotSent
	// ErrNoAnswer means that the request was sent but not answered.
	ErrNoAnswer = transport.ErrNoAnswer
	// ErrMismatched means that the answer carries another request's id.
	ErrMismatched = errors.New("engine: answer to another request")
	// ErrTruncated means that the answer is incomplete.
	ErrTruncated = errors.New("engine: answer truncated")
	// ErrWithdrawn means that the endpoint refused the request because it is withdrawn.
	ErrWithdrawn = errors.New("engine: endpoint is withdrawn")
)

// MaxAnswerBytes is the largest body that ReadBody accepts, as much as one router passes to
// another in a frame. An endpoint may send a body without end.
const MaxAnswerBytes = 16 << 20

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
	// ID is the id that the caller chose. It need not be unique: Do generates
	// an id for the hop, which the answer must carry.
	ID string
	// Resumable means that the endpoint is an engine whose answer can be
	// requested again under the hop's id. It is set for chats only.
	Resumable bool
	// Ungated requests, such as fence calls, start no new work. They are sent even
	// if the endpoint is withdrawn or this router is isolated.
	Ungated bool
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	http *http.Client
	gate Gate
	// rates may be nil.
	rates Rates
	// cancels is a semaphore for cancel calls in flight.
	cancels chan struct{}
	wg      sync.WaitGroup
}

// NewClient returns a client that reuses connections to endpoints.
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
		cancels: make(chan struct{}, maxConcurrentCancels),
	}
}

// Do sends the request and returns the answer with its body unread. The caller
// closes the body. An answer to another request is never returned: its
// connection is closed, and the answer of a resumable request is requested again.
func (c *Client) Do(ctx context.Context, request Request) (*http.Response, error) {
	gatedCtx, err := c.admit(ctx, request)
	if err != nil {
		return nil, err
	}
	takenAt, err := c.takeRate(request)
	if err != nil {
		return nil, err
	}
	target := newTarget(request)
	response, err := c.send(gatedCtx, request, target.id)
	if err == nil {
		c.recordRate(request, takenAt, response)
	}
	if err == nil || !request.Resumable || errors.IsAny(err, ErrNotSent, ErrWithdrawn) {
		return response, err
	}
	core := answer.New(target.id)
	response, decision := c.recover(ctx, core, target, core.Step(errorEvent(ctx, err)))
	if response != nil {
		return response, nil
	}
	c.cancel(ctx, target)
	if decision.Action == answer.ActionCancel {
		// The first error is for the log only.
		err = fmt.Errorf("%w: %v", reasonError(decision.Reason), err)
	}
	return nil, err
}

// errorEvent converts the error of a request to an event of the answer core.
func errorEvent(ctx context.Context, err error) answer.Event {
	if ctx.Err() != nil {
		return contextEndEvent(ctx)
	}
	if errors.Is(err, ErrMismatched) {
		return answer.Head{}
	}
	return answer.End{IsBroken: true}
}

func contextEndEvent(ctx context.Context) answer.Event {
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

// send sends a request once and checks the headers of its answer.
func (c *Client) send(ctx context.Context, request Request, id string) (*http.Response, error) {
	var tracker transport.ConnTracker
	httpRequest, err := newHTTPRequest(tracker.Trace(ctx), request, id)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil && !tracker.Abort() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if err := checkHeaders(response, id); err != nil {
		tracker.Abort()
		_ = response.Body.Close()
		c.reportRefusal(request.URL, err)
		return nil, err
	}
	return response, nil
}

// newHopID returns an id that is unique even if the caller's id is not. It
// starts with the caller's id, so that logs can be searched for that.
func newHopID(callerID string) string {
	return callerID + "~" + uuid.NewString()
}

func newHTTPRequest(ctx context.Context, request Request, id string) (*http.Request, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, request.URL, nil)
	if err != nil {
		return nil, err
	}
	// net/http retries some requests that fail on a reused connection, such as those
	// with an Idempotency-Key, if they have no body or one that it can rewind. A body
	// that it can't rewind prevents that, even an empty one.
	httpRequest.Body = io.NopCloser(bytes.NewReader(request.Body))
	httpRequest.ContentLength = int64(len(request.Body))
	if request.Header != nil {
		httpRequest.Header = request.Header.Clone()
	}
	httpRequest.Header.Set(HeaderRequestID, id)
	httpRequest.Header.Set(HeaderCallerRequestID, request.ID)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		httpRequest.Header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(httpRequest.Header))
	return httpRequest, nil
}

// checkHeaders checks that the answer belongs to the request, whatever its status:
// a refusal of another request says nothing about this one.
func checkHeaders(response *http.Response, id string) error {
	if answered := response.Header.Get(HeaderRequestID); answered != id {
		return errors.Wrapf(ErrMismatched, "got id %q with status %d", answered, response.StatusCode)
	}
	switch {
	case response.StatusCode < http.StatusOK:
		return errors.Wrap(ErrNoAnswer, "the endpoint switched to another protocol")
	case response.StatusCode == http.StatusGone:
		return ErrWithdrawn
	}
	return nil
}

// ReadBody reads the body of an answer and closes it. It returns ErrTruncated
// if the connection ends before the Content-Length or the last chunk, and for
// an answer with neither, whose completeness can't be verified.
func ReadBody(response *http.Response) ([]byte, error) {
	return ReadBodyWithin(response, MaxAnswerBytes)
}

// ReadBodyWithin is ReadBody for bodies of at most limit bytes.
func ReadBodyWithin(response *http.Response, limit int64) ([]byte, error) {
	defer response.Body.Close()
	if response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, errors.Wrap(ErrTruncated, "answer has neither a Content-Length nor chunks")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if int64(len(body)) > limit {
		return nil, errors.Wrapf(ErrTruncated, "answer exceeds %d bytes", limit)
	}
	return body, nil
}

// Close waits for the cancel calls in flight and closes idle connections.
func (c *Client) Close() {
	c.wg.Wait()
	c.http.CloseIdleConnections()
}

// target identifies a request in resume and cancel calls.
type target struct {
	// base is the engine's URL without ChatPath.
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

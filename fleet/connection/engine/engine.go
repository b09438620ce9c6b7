// Package engine sends requests to endpoints and says for each failure what is
// certain about the request.
package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// Headers of requests and answers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderFencing   = "X-Fencing-Number"
	HeaderKey       = "Idempotency-Key"
	HeaderPriority  = "X-Priority"
	HeaderDeadline  = "X-Deadline-Ms"
)

var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("engine: request not sent")
	// ErrNoAnswer means that the request was sent and no answer came.
	ErrNoAnswer = errors.New("engine: no answer")
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
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerHost = 256
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// ID is the request's id; the answer has to carry it.
	ID string
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	http *http.Client
	gate Gate
}

// NewClient returns a client that keeps connections to endpoints open.
func NewClient() *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DisableCompression = true
	transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
	transport.MaxIdleConns = 0
	transport.IdleConnTimeout = idleConnTimeout
	return &Client{http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends the request and returns the answer's head with its body still to be
// read. The caller closes the body. An answer to another request is closed and
// reported as ErrMismatched.
func (c *Client) Do(ctx context.Context, request Request) (*http.Response, error) {
	if err := c.admit(request.URL); err != nil {
		return nil, err
	}
	var isSent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { isSent.Store(true) },
	})
	httpRequest, err := newHTTPRequest(ctx, request)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil && !isSent.Load() {
		return nil, errors.Mark(errors.Wrap(err, "engine"), ErrNotSent)
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "engine"), ErrNoAnswer)
	}
	if err := checkHead(response, request.ID); err != nil {
		_ = response.Body.Close()
		c.noteRefusal(request.URL, err)
		return nil, err
	}
	return response, nil
}

func newHTTPRequest(ctx context.Context, request Request) (*http.Request, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, request.URL, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	if request.Header != nil {
		httpRequest.Header = request.Header.Clone()
	}
	httpRequest.Header.Set(HeaderRequestID, request.ID)
	// Without GetBody and with a body, net/http does not send a request again by itself.
	httpRequest.GetBody = nil
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(httpRequest.Header))
	return httpRequest, nil
}

func checkHead(response *http.Response, id string) error {
	if response.StatusCode == http.StatusGone {
		return ErrWithdrawn
	}
	if answered := response.Header.Get(HeaderRequestID); response.StatusCode < 300 && answered != id {
		return errors.Wrapf(ErrMismatched, "got id %q", answered)
	}
	return nil
}

// ReadWhole reads the rest of an answer and closes it. It returns ErrTruncated
// when the connection ends before the announced length or the last chunk.
func ReadWhole(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, errors.Mark(err, ErrTruncated)
	}
	if len(body) > MaxAnswerBytes {
		return nil, errors.Wrapf(ErrTruncated, "answer above %d bytes", MaxAnswerBytes)
	}
	return body, nil
}

// CloseIdle closes connections that carry no request.
func (c *Client) CloseIdle() {
	c.http.CloseIdleConnections()
}

// Package upstream sends a caller's request unchanged to one endpoint and reports
// for each failure whether the request may have run.
package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"gentianhead/fleet/connection/transport"
)

const (
	// dialTimeout allows one resend of a lost SYN, which TCP sends after one second,
	// and the round trips within one site, which take milliseconds.
	dialTimeout = 1200 * time.Millisecond
	// idleTimeout is short because endpoints close idle connections too, and a
	// request sent during that close is lost.
	idleTimeout = 3 * time.Second
	// Keep-alive probes detect unresponsive endpoints.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	// Address is the endpoint's host:port.
	Address string
	// Target and Host are the caller's request target and Host header, unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IsSingleUse requests get a new connection. An endpoint may close a reused
	// one while the request is sent, which leaves unknown whether it ran.
	IsSingleUse bool
	// MayWrite is asked once the request has a connection, which may take a while. If it
	// returns false, nothing is sent. Nil allows every request.
	MayWrite func() bool
}

// Response is a response with its body unread.
type Response struct {
	*http.Response
	// IsReused is set if the connection carried another request before. A response that
	// arrives on it may then belong to that one.
	IsReused bool
	tracker  *transport.ConnTracker
}

// Abort closes the connection, even if the whole response has arrived: what follows on it
// would be taken for the responses of later requests.
func (r *Response) Abort() {
	r.tracker.Abort()
	_ = r.Body.Close()
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	reused, singleUse *transport.Transport
}

// New returns a client without open connections.
func New() *Client {
	options := transport.Options{
		DialTimeout: dialTimeout,
		IdleTimeout: idleTimeout,
		KeepAlive: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	c := &Client{reused: transport.New(options), singleUse: transport.New(options)}
	c.singleUse.DisableKeepAlives = true
	return c
}

// Send sends the request and returns the response; the caller reads and closes its
// body. Errors are transport.ErrNotSent or transport.ErrNoAnswer. When ctx ends,
// the connection is closed.
func (c *Client) Send(ctx context.Context, request Request) (*Response, error) {
	tracker := &transport.ConnTracker{MayWrite: request.MayWrite}
	response, err := c.transport(request).RoundTrip(newHTTPRequest(tracker.Trace(ctx), request))
	switch {
	case err == nil:
		return &Response{Response: response, IsReused: tracker.IsReused(), tracker: tracker}, nil
	case tracker.Abort():
		return nil, fmt.Errorf("%w: %w", transport.ErrNoAnswer, err)
	}
	return nil, fmt.Errorf("%w: %w", transport.ErrNotSent, err)
}

func (c *Client) transport(request Request) *transport.Transport {
	if request.IsSingleUse {
		return c.singleUse
	}
	return c.reused
}

// targetURL returns the URL with which net/http writes a request target unchanged, or false if
// there is none. It writes an opaque URL as it is, unless that begins with two slashes, and a
// path as it is if it has no characters that have to be escaped.
func targetURL(address, target string) (*url.URL, bool) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}, true
	}
	rawPath, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(rawPath)
	u := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: rawPath, RawQuery: query, ForceQuery: hasQuery && query == ""}
	return u, err == nil && u.RequestURI() == target
}

// CanSend reports whether a request target can be sent unchanged.
func CanSend(target string) bool {
	_, isSendable := targetURL("", target)
	return isSendable
}

func newHTTPRequest(ctx context.Context, request Request) *http.Request {
	// A body that can't be rewound, even an empty one, prevents net/http from
	// retrying the request.
	target, _ := targetURL(request.Address, request.Target)
	httpRequest := &http.Request{
		Method:        request.Method,
		URL:           target,
		Host:          request.Host,
		Header:        request.Header,
		Body:          io.NopCloser(bytes.NewReader(request.Body)),
		ContentLength: int64(len(request.Body)),
	}
	if _, isSet := request.Header["User-Agent"]; !isSet {
		// An empty value prevents net/http from adding its own.
		request.Header.Set("User-Agent", "")
	}
	return httpRequest.WithContext(ctx)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.reused.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

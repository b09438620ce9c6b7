// Package upstream sends a caller's request to one endpoint, with its bytes as
// they came, and says for each failure whether the request may have run.
package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"gentianhead/fleet/connection/transport"
)

const (
	// dialTimeout bounds the opening of a connection inside one site, where a
	// round trip takes milliseconds. A lost first packet is sent again after a second.
	dialTimeout = 1200 * time.Millisecond
	// idleTimeout is how long a connection waits for use. Endpoints close idle
	// connections too, and a request that crosses that close is lost.
	idleTimeout = 3 * time.Second
	// keepAlive probes find peers that fell silent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	// Address is the endpoint's host:port.
	Address string
	// Target is the request target as the caller sent it, and Host its Host header.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IsSingleUse requests get a connection of their own. On a kept connection the
	// endpoint may close it as the request is sent, and then nobody knows whether
	// the request ran.
	IsSingleUse bool
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	kept, single *http.Transport
}

// New returns a client without connections.
func New() *Client {
	options := transport.Options{
		DialTimeout: dialTimeout,
		IdleTimeout: idleTimeout,
		KeepAlive: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	c := &Client{kept: transport.New(options), single: transport.New(options)}
	c.single.DisableKeepAlives = true
	return c
}

// Send sends the request and returns the head of the answer, with its body still
// to be read and closed by the caller. It returns transport.ErrNotSent or
// transport.ErrNoAnswer. When ctx ends, the connection is closed.
func (c *Client) Send(ctx context.Context, request Request) (*http.Response, error) {
	var used transport.Usage
	response, err := c.transport(request).RoundTrip(newHTTPRequest(used.Trace(ctx), request))
	switch {
	case err == nil:
		return response, nil
	case used.GiveUp():
		return nil, fmt.Errorf("%w: %w", transport.ErrNoAnswer, err)
	}
	return nil, fmt.Errorf("%w: %w", transport.ErrNotSent, err)
}

func (c *Client) transport(request Request) *http.Transport {
	if request.IsSingleUse {
		return c.single
	}
	return c.kept
}

func newHTTPRequest(ctx context.Context, request Request) *http.Request {
	// A body that can't be rewound, also where it is empty, keeps net/http from
	// sending the request again by itself.
	httpRequest := &http.Request{
		Method:        request.Method,
		URL:           &url.URL{Scheme: "http", Host: request.Address, Opaque: request.Target},
		Host:          request.Host,
		Header:        request.Header,
		Body:          io.NopCloser(bytes.NewReader(request.Body)),
		ContentLength: int64(len(request.Body)),
	}
	if _, isSet := request.Header["User-Agent"]; !isSet {
		// An empty value keeps net/http from adding its own.
		request.Header.Set("User-Agent", "")
	}
	return httpRequest.WithContext(ctx)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.kept.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

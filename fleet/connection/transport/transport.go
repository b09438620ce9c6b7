// Package transport opens connections to endpoints and reports reliably whether
// a request may have left this process.
package transport

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("request not sent")
	// ErrNoAnswer means that the request was sent but not answered.
	ErrNoAnswer = errors.New("no answer")
)

const (
	// maxIdleConnsPerHost bounds the idle connections to one endpoint.
	maxIdleConnsPerHost = 256
	// maxHeaderBytes bounds the head of a response, with the interim responses before it. An
	// endpoint may send bytes without end.
	maxHeaderBytes = 64 << 10
)

// Options are the settings of a transport.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is the idle time after which a connection is closed.
	IdleTimeout time.Duration
	// KeepAlive configures the TCP probes that detect an unresponsive peer.
	KeepAlive net.KeepAliveConfig
}

// New returns a transport for HTTP/1.1. It adds no Accept-Encoding header, uses no
// proxy, and sends one request at a time on a connection, so that closing the
// connection of a mismatched answer interrupts no other request.
func New(options Options) *Transport {
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAliveConfig: options.KeepAlive}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        options.IdleTimeout,
	}
	return guard(transport)
}

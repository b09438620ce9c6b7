// Package transport opens connections to endpoints and tells for certain whether
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
	// ErrNoAnswer means that the request was sent and no answer came.
	ErrNoAnswer = errors.New("no answer")
)

// maxIdleConnsPerHost bounds the connections to one endpoint that wait for use.
const maxIdleConnsPerHost = 256

// Options are the settings of a transport.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout closes connections that were not used for so long.
	IdleTimeout time.Duration
	// KeepAlive tells when a silent connection counts as broken.
	KeepAlive net.KeepAliveConfig
}

// New returns a transport for HTTP/1.1. It adds no header, follows no proxy, and
// carries one request at a time on a connection, so that closing the connection
// of a crossed answer cuts off nobody else.
func New(options Options) *http.Transport {
	transport := &http.Transport{
		DialContext: dialSealable(&net.Dialer{
			Timeout:         options.DialTimeout,
			KeepAliveConfig: options.KeepAlive,
		}),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     options.IdleTimeout,
		Protocols:           new(http.Protocols),
	}
	transport.Protocols.SetHTTP1(true)
	return transport
}

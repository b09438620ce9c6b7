package transport

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport that returns no broken answers: it returns ErrBroken and closes
// the connection instead. Every client of the processes uses one.
type Transport struct{ *http.Transport }

// Guard returns a Transport with the settings of base, which must be an *http.Transport that has
// not been used.
func Guard(base http.RoundTripper) http.RoundTripper {
	unguarded, isTransport := base.(*http.Transport)
	if !isTransport {
		panic(fmt.Sprintf("transport: can't guard a %T", base))
	}
	return guard(unguarded)
}

func guard(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newSealableConn(conn), nil
	}
	// Closing the connection of a broken answer must not interrupt other requests.
	base.Protocols = new(http.Protocols)
	base.Protocols.SetHTTP1(true)
	return &Transport{base}
}

// NewClient returns a client for calls other than callers' requests, with the settings of
// http.DefaultTransport.
func NewClient() *http.Client {
	return &http.Client{Transport: Guard(http.DefaultTransport.(*http.Transport).Clone())}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn *sealableConn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = sealable(info.Conn)
			if conn == info.Conn {
				// Folded lines can't be seen through TLS.
				conn.startHead()
			}
		},
	})
	response, err := t.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	head := responseHead{response.StatusCode, response.Status, response.Header, conn.foldedLine()}
	if broken := head.defect(); broken.kind != "" {
		_ = response.Body.Close()
		conn.discard(ctx)
		return nil, broken.record()
	}
	return response, nil
}

// sealable returns the connection that Transport opened. A TLS connection wraps it.
func sealable(conn net.Conn) *sealableConn {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	return conn.(*sealableConn)
}

package platform

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// sentRequest tells whether a byte of the request may have left this process.
type sentRequest struct {
	request *http.Request
	wrote   *atomic.Bool
}

// traceSent marks a request as sent once a connection for it is in hand, which
// is before its first byte is written.
func traceSent(request *http.Request) sentRequest {
	wrote := new(atomic.Bool)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) },
	}
	return sentRequest{
		request: request.WithContext(httptrace.WithClientTrace(request.Context(), trace)),
		wrote:   wrote,
	}
}

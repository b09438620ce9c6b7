package engine

import "net/http"

// NewSingleUseClient returns a client that opens a connection for each request.
// A connection that was kept may be closed by the endpoint at the moment the
// request is sent, and then nobody knows whether the request arrived; requests
// that may run at most once avoid that.
func NewSingleUseClient() *Client {
	client := NewClient()
	client.http.Transport.(*http.Transport).DisableKeepAlives = true
	return client
}

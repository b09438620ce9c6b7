package engine

import "net/http"

// NewSingleUseClient returns a client that opens a connection for each request, for
// at-most-once requests: an endpoint may close an idle connection while a request
// is sent on it, which leaves unknown whether the request arrived.
func NewSingleUseClient() *Client {
	client := NewClient()
	client.http.Transport.(*http.Transport).DisableKeepAlives = true
	return client
}

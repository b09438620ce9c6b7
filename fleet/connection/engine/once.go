package engine

import "net/http"

// NewSingleUseClient returns a client that opens a connection for each request.
// An endpoint may close an idle connection just as a request is sent on it, which
// leaves unknown whether the request arrived; at-most-once requests avoid that.
func NewSingleUseClient() *Client {
	client := NewClient()
	client.http.Transport.(*http.Transport).DisableKeepAlives = true
	return client
}

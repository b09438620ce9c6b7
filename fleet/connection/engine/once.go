package engine

import "gentianhead/fleet/connection/transport"

// NewSingleUseClient returns a client that opens a connection for each request, for
// at-most-once requests: an endpoint may close an idle connection while a request
// is sent on it, which leaves unknown whether the request arrived.
func NewSingleUseClient() *Client {
	client := NewClient()
	client.http.Transport.(*transport.Transport).DisableKeepAlives = true
	return client
}

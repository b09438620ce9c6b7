package serving

import (
	"net/http"
	"time"
)

// DiscardTimeout is how long the rest of a body that nobody reads may take to arrive. net/http
// reads up to 256 KiB of it before the response.
const DiscardTimeout = time.Second

// WithoutBodies returns a handler for paths that read no body. Without a limit, a body that
// stops short would hold its connection until the caller closes it.
func WithoutBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		DiscardBody(w, r)
		next.ServeHTTP(w, r)
	})
}

// DiscardBody limits the time for a body that the handler doesn't read to its end.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(DiscardTimeout))
	}
}

package serving

import (
	"bufio"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against callers who use up the file descriptors with connections that the server has closed.
func TestLingeringConnsAreLimited(t *testing.T) {
	s, address := start(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	const conns = 400
	most := 0
	for range conns {
		caller := dial(t, address)
		send(t, caller, testRequest)
		_, err := http.ReadResponse(bufio.NewReader(caller), nil)
		assert.NilError(t, err)
		s.mu.Lock()
		most = max(most, len(s.lingering))
		s.mu.Unlock()
	}
	assert.Assert(t, most <= s.options.MaxConns, "%d connections are open for callers who have their answers", most)
}

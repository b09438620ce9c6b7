package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"gentianhead/fleet/connection/engine"
	"gentianhead/platform/platformtest"
)

// Guards against a request that is said not to have run, or runs again, because of a refusal that
// is cut off.
func TestRefusalCutOffIsNoRefusal(t *testing.T) {
	const refusal = `{"outcome":"not-run"}`
	whole := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(refusal), refusal)
	for text, isRefusal := range map[string]bool{
		whole: true,
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(refusal)+1, refusal):                 false,
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(refusal), refusal): false,
		"Connection: close\r\n\r\n" + refusal:                                                false,
	} {
		server := platformtest.NewRawServer(func(r *http.Request) (string, bool) {
			return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nContent-Type: %s\r\n%s",
				engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID), problemType, text), false
		})
		client := engine.NewClient()
		response, err := client.Do(t.Context(), engine.Request{Method: http.MethodPost, URL: "http://" + server.Address, ID: "a"})
		assert.NilError(t, err)
		err = refusedByEndpoint(response)
		assert.Equal(t, errors.Is(err, errEndpointRefused), isRefusal, "%q: %v", text, err)
		assert.Equal(t, isNotRun(err), isRefusal, "%q: %v", text, err)
		client.Close()
		server.Close()
	}
}

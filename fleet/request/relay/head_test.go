package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an answer that an endpoint ends in the middle of its head and that looks whole
// to callers, with an empty or a short body.
func TestHeadCutOffIsNoAnswer(t *testing.T) {
	const fields = "HTTP/1.1 200 OK\r\nGentianhead-Attempt-Id: a\r\nGentianhead-Server-Signature: signed\r\nContent-Type: text/event-stream\r\n"
	for framing, head := range map[string]string{
		"length":          fields + "Content-Length: 120\r\n\r\n",
		"chunks":          fields + "Transfer-Encoding: chunked\r\n\r\n",
		"end of channel":  fields + "Connection: close\r\n\r\n",
		"length comes on": strings.Replace(fields, "200 OK\r\n", "200 OK\r\nContent-Length: 0\r\n", 1) + "\r\n",
	} {
		for _, path := range []string{pathSafe, pathUnsafe, pathStream, pathResume} {
			t.Run(framing+path, func(t *testing.T) {
				t.Parallel()
				for length := range head {
					f := newFixture(t, 0)
					endpoint := f.serveRaw(func(*http.Request) (string, bool) { return head[:length], false })
					send := f.postStream
					if path == pathSafe || path == pathUnsafe {
						send = func(path string, headers ...string) answer {
							return f.sendRequest(http.MethodPost, path, "body", headers...)
						}
					}
					got := send(path+"1", "Gentianhead-Attempt-Id", "a")
					what := fmt.Sprintf("%d bytes %q: status %d, %q, error %v", length, head[:length], got.status, got.body, got.err)
					assert.Assert(t, got.err != nil || got.status >= http.StatusInternalServerError, what)
					// Only 502 and 504 promise nothing.
					assert.Assert(t, got.err != nil || got.status != http.StatusServiceUnavailable, what)
					assert.Assert(t, endpoint.Requests.Load() > 0, what)
					assert.Assert(t, path == pathSafe || path == pathResume || endpoint.Requests.Load() == 1, what)
				}
			})
		}
	}
}

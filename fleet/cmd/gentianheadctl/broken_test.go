package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"gentianhead/platform/platformtest"
)

func formatAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against a call that prints what is no answer and succeeds.
func TestCallBrokenHead(t *testing.T) {
	for _, fault := range platformtest.HeadFaults() {
		var server *platformtest.RawServer
		server = platformtest.NewRawServer(func(r *http.Request) (string, bool) {
			if strings.HasPrefix(r.URL.Path, "/v1/entry") {
				return formatAnswer(`{"addresses":["` + server.Address + `"],"keepSeconds":1}`), true
			}
			return fault.Apply(formatAnswer("foreign")), true
		})
		defer server.Close()
		var stdout bytes.Buffer
		c := newCommands(strings.NewReader(""), &stdout, &stdout)
		root := c.root()
		assert.NilError(t, root.Parse([]string{"--callers", "http://" + server.Address, "--token", "t", "call", "--model", "m", "hello"}))
		assert.Assert(t, root.Run(t.Context()) != nil, "%s: %s", fault.Name, stdout.String())
		assert.Equal(t, stdout.String(), "", fault.Name)
	}
}

// Guards against a write that is reported as not made because of what is no answer.
func TestWriteBrokenHead(t *testing.T) {
	for _, fault := range platformtest.HeadFaults() {
		t.Run(fault.Name, func(t *testing.T) {
			t.Parallel()
			server := platformtest.NewRawServer(func(*http.Request) (string, bool) { return fault.Apply(formatAnswer("{}")), true })
			defer server.Close()
			var output bytes.Buffer
			c := newCommands(strings.NewReader(""), &output, &output)
			assert.NilError(t, c.root().Parse([]string{"--router", "http://" + server.Address, "--token", "t", "status"}))
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := c.write(ctx, http.MethodPost, "/v1/x", struct{}{})
			assert.Assert(t, errors.Is(err, errOutcomeUnknown), "%v", err)
		})
	}
}

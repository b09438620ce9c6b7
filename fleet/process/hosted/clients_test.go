package hosted

import (
	"net/http"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"gentianhead/core/process/table"
	"gentianhead/fleet/connection/transport"
	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

// Guards against calls of the router's own whose client takes what is no answer for one.
func TestOwnCallsRefuseBrokenHead(t *testing.T) {
	sound := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for _, fault := range headFaults {
		server := platformtest.NewRawServer(func(*http.Request) (string, bool) { return fault.Apply(sound), true })
		_, err := newStore(server.Address).Rows(t.Context(), platform.TableEndpoints)
		assert.Check(t, errors.Is(err, transport.ErrBroken) && errors.Is(err, table.ErrIndeterminate), "%s: %v", fault.Name, err)
		_, _, err = newEngineClient().CachedParts(t.Context(), server.Address)
		assert.Check(t, errors.Is(err, transport.ErrBroken), "%s: %v", fault.Name, err)
		copied := newCopier().copyFrom(server.Address, 1)
		assert.Check(t, errors.Is(copied.err, transport.ErrBroken), "%s: %v", fault.Name, copied.err)
		server.Close()
	}
}

// headFaults are broken heads that net/http accepts.
var headFaults = slices.Concat(platformtest.StatusFaults[:5], platformtest.FieldFaults[:2], platformtest.FoldedFaults)

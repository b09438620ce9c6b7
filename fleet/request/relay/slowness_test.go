package relay_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/presence"
)

// Guards against a stated slowness that other routers don't hear of, since the header has more
// figures than are known or one without a meaning.
func TestStatedSlownessReported(t *testing.T) {
	for _, load := range []string{"1,0,8,250", "1,0,8,250,7", "1,x,8,250"} {
		f := newFixture(t, 1)
		f.endpoints[0].Load = load
		assert.Equal(t, f.send(pathSafe, "first").status, http.StatusOK, load)
		stated := f.balancer.Work(0).Slowness
		assert.Assert(t, len(stated) == 1 && stated[0].Endpoint == presence.KeyOf("e-0") && stated[0].Percent == 250, "%s: %v", load, stated)
	}
}

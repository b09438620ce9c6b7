package e2e

import (
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a SIGHUP that ends the router at once and cuts off its requests.
func TestHangupCutsOffNoAnswer(t *testing.T) {
	t.Parallel()
	f := startStopFleet(t, 1, routerOptions{})
	call := &rawCall{id: "held", path: "/v1/services/timed/take/1s/10"}
	call.open(t, f.routers[0].callers)
	answers := make(chan answer, 1)
	go func() { answers <- call.do() }()
	eventually(t, "the request runs", func() bool { return f.timed.runsOf(call.id) == 1 })
	f.routers[0].signal(syscall.SIGHUP)
	got := <-answers
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
}

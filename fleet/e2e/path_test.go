package e2e

import (
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a router that can't serve chats, streams or plain services.
func TestRouterServesChatsAndServices(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 2)
	for _, r := range f.routers {
		whole := r.send(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(false), "X-Request-Id", "id-"+r.instance, "X-Chat-Id", "c")
		assert.NilError(t, whole.err)
		assert.Equal(t, whole.status, http.StatusOK, string(whole.body))
		assert.Assert(t, strings.Contains(string(whole.body), "id-"+r.instance))

		streamed := r.send(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(true), "X-Chat-Id", "c")
		assert.NilError(t, streamed.err)
		assert.Assert(t, strings.HasSuffix(string(streamed.body), "data: [DONE]\n\n"), string(streamed.body))

		plain := r.send(t.Context(), http.MethodGet, "/v1/services/s/price", "")
		assert.NilError(t, plain.err)
		assert.Equal(t, plain.status, http.StatusOK, string(plain.body))
	}
}

// Guards against forwarding an engine's response to a different request.
func TestChatResponseOfAnotherRequest(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1)
	r := f.routers[0]
	first := r.send(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(false))
	assert.Equal(t, first.outcome(), "completed", string(first.body))

	f.engines[0].setFaults(t, map[string]any{"crossAnswers": true, "noResume": true})
	crossed := r.send(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(false))
	assert.Equal(t, crossed.outcome(), "unknown", string(crossed.body))
	assert.Equal(t, len(f.engines[0].runs(t)), 2)
}

// Guards against running a non-idempotent call that has no idempotency key.
func TestServiceCallWithoutKey(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1)
	refused := f.routers[0].send(t.Context(), http.MethodPost, "/v1/services/s/once", "{}")
	assert.Equal(t, refused.outcome(), "not-run", string(refused.body))
	assert.Equal(t, len(f.service.runs(t)), 0)
}

// Guards against a SIGTERM that is ignored or leads to a non-zero exit code.
func TestRouterStopsOnSIGTERM(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1)
	f.routers[0].signal(syscall.SIGTERM)
	assert.Equal(t, f.routers[0].exitCode(t), 0)
}

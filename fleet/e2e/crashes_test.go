package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// hasExited reports whether the process has ended.
func (p *process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Guards against a chat whose messages crash the engine that answers it and that is sent
// to one engine after the other, as its caller repeats it or goes on with it.
func TestChatThatCrashesEnginesRefused(t *testing.T) {
	t.Parallel()
	const engines, routers = 8, 3
	f := startFleet(t, routers, engines, "-tokens", "4", "-token-delay", "1ms", "-crash-text", "crash-me")
	chat := func(r *router, messages ...string) answer {
		var encoded []string
		for _, message := range messages {
			encoded = append(encoded, fmt.Sprintf(`{"role":"user","content":%q}`, message))
		}
		return r.send(t.Context(), http.MethodPost, chatPath, `{"model":"m","stream":true,"messages":[`+strings.Join(encoded, ",")+`]}`)
	}
	for _, r := range f.routers {
		assert.Equal(t, chat(r, "the system prompt", "hello").status, http.StatusOK)
	}
	refused := answer{}
	sent := 0
	eventually(t, "the chat is refused by all routers", func() bool {
		// A router asks its next only once it refuses, as callers stay with one.
		for _, r := range f.routers {
			sent++
			refused = chat(r, "the system prompt", "crash-me", fmt.Sprint("and message ", sent))
			if !strings.Contains(string(refused.body), "quarantined") {
				<-time.After(300 * time.Millisecond)
				return false
			}
		}
		return true
	})
	crashed := 0
	for _, engine := range f.engines {
		if engine.hasExited() {
			crashed++
		}
	}
	t.Logf("%d of %d engines ended by %d requests", crashed, engines, sent)
	assert.Assert(t, crashed <= 5, "%d engines ended", crashed)
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Equal(t, refused.outcome(), "not-run")
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	for _, r := range f.routers {
		assert.Equal(t, chat(r, "the system prompt", "another").status, http.StatusOK)
	}
}

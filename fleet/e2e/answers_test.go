package e2e

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

const chatPath = "/v1/chat/completions"

// wantTokens returns the token texts of a response from engine-1.
func wantTokens(n int) []string {
	var tokens []string
	for i := range n {
		tokens = append(tokens, fmt.Sprintf("engine-1-%d ", i))
	}
	return tokens
}

// isWholeChat reports whether a response has each token once, in order, and
// nothing from another request.
func (a answer) isWholeChat(tokens int, stream bool) bool {
	text := string(a.body)
	for _, token := range wantTokens(tokens) {
		_, rest, found := strings.Cut(text, token)
		if !found {
			return false
		}
		text = rest
	}
	isClosed := !stream || strings.HasSuffix(string(a.body), "data: [DONE]\n\n")
	isSingle := strings.Count(string(a.body), "engine-1-0 ") == 1
	return a.err == nil && isClosed && isSingle && !strings.Contains(string(a.body), "of-another-request")
}

// Guards against missing or repeated tokens, and those of other requests, after the
// router resumes a chat that the engine cut off or corrupted.
func TestChatResumedAfterEngineFault(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1, "-tokens", "6", "-token-delay", "1ms")
	r := f.routers[0]
	for _, fault := range []map[string]any{
		{"crossAnswers": true},
		{"dropAnswers": true},
		{"truncateAfter": 1},
		{"truncateAfter": 6},
		{"truncateAfter": 7},
		{"crossAt": 1},
		{"crossAt": 4},
		{"repeatAt": 3},
		{"skipAt": 2},
		{"skipAt": 7},
		{"cutWhole": true},
		{"afterDone": true},
	} {
		f.engines[0].setFaults(t, fault)
		for _, stream := range []bool{true, false} {
			got := r.send(t.Context(), http.MethodPost, chatPath, chatBody(stream), "X-Request-Id", "mine")
			assert.Assert(t, got.isWholeChat(6, stream), "%v, stream %t: %d %v %s", fault, stream, got.status, got.err, got.body)
			assert.Equal(t, got.header.Get("X-Request-Id"), "mine")
		}
	}
}

// Guards against ending a truncated response like a complete one when the engine
// can't resume it.
func TestChatTruncatedWithoutResume(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1, "-tokens", "6", "-token-delay", "1ms")
	for _, fault := range []map[string]any{
		{"truncateAfter": 1, "noResume": true},
		{"truncateAfter": 7, "noResume": true},
		{"crossAt": 4, "noResume": true},
		{"skipAt": 2, "noResume": true},
		{"truncateAfter": 3, "onResume": true},
		{"crossAt": 7, "onResume": true},
	} {
		f.engines[0].setFaults(t, fault)
		got := f.routers[0].send(t.Context(), http.MethodPost, chatPath, chatBody(true))
		assert.Assert(t, got.err != nil, "%v: the truncated stream ended without an error", fault)
		assert.Assert(t, strings.Contains(string(got.body), "event: error\n"), "%v: %s", fault, got.body)
		assert.Assert(t, !strings.Contains(string(got.body), "[DONE]"), "%v: %s", fault, got.body)
	}
	f.engines[0].setFaults(t, map[string]any{"cutWhole": true, "noResume": true})
	whole := f.routers[0].send(t.Context(), http.MethodPost, chatPath, chatBody(false))
	assert.Equal(t, whole.outcome(), "unknown", string(whole.body))
	f.service.setFaults(t, map[string]any{"cutWhole": true})
	plain := f.routers[0].send(t.Context(), http.MethodGet, "/v1/services/s/price", "")
	assert.Equal(t, plain.outcome(), "unknown", string(plain.body))
}

// Guards against matching responses by the caller's request id: all requests share
// one, and the engine gives each response the id of the request before.
func TestRequestIDSharedByCallers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1, "-tokens", "6", "-token-delay", "1ms")
	f.engines[0].setFaults(t, map[string]any{"crossAnswers": true, "noResume": true})
	const requests = 20
	answers := make([]answer, requests)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			answers[i] = f.routers[0].send(t.Context(), http.MethodPost, chatPath, chatBody(false), "X-Request-Id", "same")
		})
	}
	wg.Wait()
	completed := 0
	for _, a := range answers {
		if a.outcome() == "completed" {
			completed++
		}
	}
	// The first request has no earlier one whose id its response could carry.
	assert.Assert(t, completed <= 1, "%d responses with the id of another request were forwarded", completed)
	ids := make(map[string]bool)
	for _, run := range f.engines[0].runs(t) {
		assert.Equal(t, run.CallerRequestID, "same")
		ids[run.RequestID] = true
	}
	assert.Equal(t, len(ids), requests)
}

// Guards against an engine that keeps generating after the caller disconnected.
func TestChatCallerDisconnects(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1, "-tokens", "100000", "-token-delay", "5ms")
	for _, stream := range []bool{true, false} {
		before := f.engines[0].cancelled(t)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.routers[0].send(ctx, http.MethodPost, chatPath, chatBody(stream))
		}()
		eventually(t, "the engine runs the chat", func() bool { return f.engines[0].inFlight(t) == 1 })
		cancel()
		<-done
		eventually(t, "the engine cancels the chat", func() bool {
			return f.engines[0].cancelled(t) == before+1 && f.engines[0].inFlight(t) == 0
		})
	}
}

// Guards against a deadline that isn't passed on to the engine, and against a request
// that outlives its deadline at the router or the engine.
func TestChatDeadlineExceeded(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1, "-tokens", "100000", "-token-delay", "5ms")
	got := f.routers[0].send(t.Context(), http.MethodPost, chatPath, chatBody(false), "X-Deadline-Ms", "300")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Equal(t, got.outcome(), "unknown")
	assert.Assert(t, strings.Contains(string(got.body), "deadline-exceeded"), string(got.body))
	runs := f.engines[0].runs(t)
	given := runs[len(runs)-1].DeadlineMillis
	assert.Assert(t, given > 0 && given <= 300, "deadline %d ms", given)
	eventually(t, "the engine cancels the chat", func() bool { return f.engines[0].cancelled(t) == 1 })

	streamed := f.routers[0].send(t.Context(), http.MethodPost, chatPath, chatBody(true), "X-Deadline-Ms", "300")
	assert.Assert(t, streamed.err != nil)
	assert.Assert(t, strings.Contains(string(streamed.body), "deadline-exceeded"), "the stream has no deadline-exceeded error event")
}

// Guards against callers that reach the engine's cancel and resume paths, or a
// non-idempotent path, through encoded or nested service paths.
func TestServicePathToOtherRequest(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1, "-tokens", "100000", "-token-delay", "5ms")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.routers[0].send(ctx, http.MethodPost, chatPath, chatBody(true))
	eventually(t, "the engine runs the chat", func() bool { return f.engines[0].inFlight(t) == 1 })
	id := f.engines[0].runs(t)[0].RequestID
	for _, path := range []string{
		"/v1/streams/" + id + "/cancel",
		"/v1/services/s/v1/streams/" + id + "/cancel",
		"/v1/services/s/v1/streams/" + id + "/resume",
		"/v1/services/s/x/%2e%2e/v1/streams/" + id + "/cancel",
		"/v1/services/s/x/%2e%2e/once",
		"/v1/services/s/%2fonce",
	} {
		got := f.routers[0].send(t.Context(), http.MethodPost, path, "")
		assert.Assert(t, got.status >= 400 && got.outcome() != "completed", "%s: %d %s", path, got.status, got.body)
	}
	assert.Equal(t, len(f.service.runs(t)), 0)
	assert.Equal(t, f.engines[0].inFlight(t), 1)
}

// Guards against buffering a stream until it is complete.
func TestStreamNotBuffered(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1, "-tokens", "100000", "-token-delay", "5ms")
	ctx, stop := context.WithTimeout(t.Context(), waitTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.routers[0].callers+chatPath, strings.NewReader(chatBody(true)))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+accountToken)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	assert.Assert(t, scanner.Scan())
	assert.Assert(t, strings.Contains(scanner.Text(), "engine-1-0"))
}

func (s *standin) cancelled(t *testing.T) int {
	t.Helper()
	var answer struct{ Cancelled int }
	getJSON(t, s.url()+"/runs", &answer)
	return answer.Cancelled
}

func (s *standin) inFlight(t *testing.T) int {
	t.Helper()
	var answer struct{ InFlight int }
	getJSON(t, s.url()+"/load", &answer)
	return answer.InFlight
}

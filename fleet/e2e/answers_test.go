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

// wantTokens returns the texts of an answer of engine-1.
func wantTokens(n int) []string {
	var tokens []string
	for i := range n {
		tokens = append(tokens, fmt.Sprintf("engine-1-%d ", i))
	}
	return tokens
}

// isWholeChat reports whether an answer holds each token once, in order, and
// nothing that came from another request.
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

func TestAnswerIsWholeUnderEachFaultThatTheEngineCanResume(t *testing.T) {
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
			got := r.ask(t.Context(), http.MethodPost, chatPath, chatText(stream), "X-Request-Id", "mine")
			assert.Assert(t, got.isWholeChat(6, stream), "%v, stream %t: %d %v %s", fault, stream, got.status, got.err, got.body)
			assert.Equal(t, got.header.Get("X-Request-Id"), "mine")
		}
	}
}

func TestTruncatedStreamIsNeverPassedOffAsWhole(t *testing.T) {
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
		got := f.routers[0].ask(t.Context(), http.MethodPost, chatPath, chatText(true))
		assert.Assert(t, got.err != nil, "%v: the caller's connection ended as if whole", fault)
		assert.Assert(t, strings.Contains(string(got.body), "event: error\n"), "%v: %s", fault, got.body)
		assert.Assert(t, !strings.Contains(string(got.body), "[DONE]"), "%v: %s", fault, got.body)
	}
	f.engines[0].setFaults(t, map[string]any{"cutWhole": true, "noResume": true})
	whole := f.routers[0].ask(t.Context(), http.MethodPost, chatPath, chatText(false))
	assert.Equal(t, whole.outcome(), "unknown", string(whole.body))
	f.service.setFaults(t, map[string]any{"cutWhole": true})
	plain := f.routers[0].ask(t.Context(), http.MethodGet, "/v1/services/s/price", "")
	assert.Equal(t, plain.outcome(), "unknown", string(plain.body))
}

// TestCallersMayChooseTheSameRequestID runs many requests under one id while
// the engine answers each with the id of the one before.
func TestCallersMayChooseTheSameRequestID(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1, "-tokens", "6", "-token-delay", "1ms")
	f.engines[0].setFaults(t, map[string]any{"crossAnswers": true, "noResume": true})
	const requests = 20
	answers := make([]answer, requests)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			answers[i] = f.routers[0].ask(t.Context(), http.MethodPost, chatPath, chatText(false), "X-Request-Id", "same")
		})
	}
	wg.Wait()
	completed := 0
	for _, a := range answers {
		if a.outcome() == "completed" {
			completed++
		}
	}
	// The engine had no request before the first one to cross it with.
	assert.Assert(t, completed <= 1, "%d crossed answers were passed on", completed)
	ids := make(map[string]bool)
	for _, run := range f.engines[0].runs(t) {
		assert.Equal(t, run.CallerRequestID, "same")
		ids[run.RequestID] = true
	}
	assert.Equal(t, len(ids), requests)
}

func TestEngineStopsWhenTheCallerLeaves(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1, "-tokens", "100000", "-token-delay", "5ms")
	for _, stream := range []bool{true, false} {
		before := f.engines[0].cancelled(t)
		ctx, leave := context.WithCancel(t.Context())
		gone := make(chan struct{})
		go func() {
			defer close(gone)
			f.routers[0].ask(ctx, http.MethodPost, chatPath, chatText(stream))
		}()
		eventually(t, "the engine works", func() bool { return f.engines[0].inFlight(t) == 1 })
		leave()
		<-gone
		eventually(t, "the engine is told", func() bool {
			return f.engines[0].cancelled(t) == before+1 && f.engines[0].inFlight(t) == 0
		})
	}
}

func TestDeadlineIsHandedOnAndKept(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1, "-tokens", "100000", "-token-delay", "5ms")
	got := f.routers[0].ask(t.Context(), http.MethodPost, chatPath, chatText(false), "X-Deadline-Ms", "300")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Equal(t, got.outcome(), "unknown")
	assert.Assert(t, strings.Contains(string(got.body), "deadline-exceeded"), string(got.body))
	runs := f.engines[0].runs(t)
	given := runs[len(runs)-1].DeadlineMillis
	assert.Assert(t, given > 0 && given <= 300, "deadline %d ms", given)
	eventually(t, "the engine is told", func() bool { return f.engines[0].cancelled(t) == 1 })

	streamed := f.routers[0].ask(t.Context(), http.MethodPost, chatPath, chatText(true), "X-Deadline-Ms", "300")
	assert.Assert(t, streamed.err != nil)
	assert.Assert(t, strings.Contains(string(streamed.body), "deadline-exceeded"), "no clear end")
}

func TestCallersReachNoOtherRequest(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1, "-tokens", "100000", "-token-delay", "5ms")
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	go f.routers[0].ask(ctx, http.MethodPost, chatPath, chatText(true))
	eventually(t, "the engine works", func() bool { return f.engines[0].inFlight(t) == 1 })
	id := f.engines[0].runs(t)[0].RequestID
	for _, path := range []string{
		"/v1/streams/" + id + "/cancel",
		"/v1/services/s/v1/streams/" + id + "/cancel",
		"/v1/services/s/v1/streams/" + id + "/resume",
		"/v1/services/s/x/%2e%2e/v1/streams/" + id + "/cancel",
		"/v1/services/s/x/%2e%2e/once",
		"/v1/services/s/%2fonce",
	} {
		got := f.routers[0].ask(t.Context(), http.MethodPost, path, "")
		assert.Assert(t, got.status >= 400 && got.outcome() != "completed", "%s: %d %s", path, got.status, got.body)
	}
	assert.Equal(t, len(f.service.runs(t)), 0)
	assert.Equal(t, f.engines[0].inFlight(t), 1)
}

// TestStreamsArriveEventByEvent makes sure that the router passes each event on
// when it comes, not when the answer is whole.
func TestStreamsArriveEventByEvent(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1, "-tokens", "100000", "-token-delay", "5ms")
	ctx, stop := context.WithTimeout(t.Context(), patience)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.routers[0].callers+chatPath, strings.NewReader(chatText(true)))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+accountToken)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	assert.Assert(t, scanner.Scan())
	assert.Assert(t, strings.Contains(scanner.Text(), "engine-1-0"))
}

// cancelled returns how many chats the stand-in stopped before their end.
func (s *standin) cancelled(t *testing.T) int {
	t.Helper()
	var answer struct{ Cancelled int }
	getJSON(t, s.url()+"/runs", &answer)
	return answer.Cancelled
}

// inFlight returns how many chats the stand-in works on.
func (s *standin) inFlight(t *testing.T) int {
	t.Helper()
	var answer struct{ InFlight int }
	getJSON(t, s.url()+"/load", &answer)
	return answer.InFlight
}

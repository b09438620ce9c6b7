package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startSmallFleet starts one router with low limits before one engine.
func startSmallFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{platform: startStandin(t, "platform")}
	f.routers = []*router{startRouter(t, "router-1", f.platform.url(), routerOptions{
		extra: "limits: {bodyBytes: 65536, bodyMemoryBytes: 1048576, connections: 128}\n",
	})}
	f.engines = []*standin{startStandin(t, "engine", "-name", "engine-1", "-tokens", "6", "-token-delay", "2ms")}
	f.routers[0].awaitReady(t)
	f.routers[0].apply(t, "kind: model\nname: m\nmodel: {}\n---\nkind: client-account\nname: a\nclientAccount: {tokenSha256: "+accountDigest+"}\n"+
		fmt.Sprintf("---\nkind: endpoint\nname: engine-1\nendpoint: {url: %q, zone: zone-1, models: [m]}\n", f.engines[0].url()))
	return f
}

func TestBadInputIsRefusedWithAProblem(t *testing.T) {
	t.Parallel()
	f := startSmallFleet(t)
	for _, bad := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		code                     string
	}{
		{"body above the limit", http.MethodPost, chatPath, strings.Repeat("x", 70000), nil, 413, "body-too-large"},
		{"broken JSON", http.MethodPost, chatPath, `{"model":`, nil, 400, "bad-request"},
		{"deep JSON", http.MethodPost, chatPath, `{"model":"m","messages":` + strings.Repeat("[", 60000), nil, 400, "bad-request"},
		{"JSON of another type", http.MethodPost, chatPath, `[1]`, nil, 400, "bad-request"},
		{"unknown model", http.MethodPost, chatPath, `{"model":"x"}`, nil, 404, "unknown-model"},
		{"unknown service", http.MethodPost, "/v1/services/x/y", "", nil, 404, "unknown-service"},
		{"unknown account", http.MethodPost, chatPath, chatText(false), []string{"Authorization", "Bearer x"}, 401, "unauthenticated"},
		{"no account", http.MethodPost, chatPath, chatText(false), []string{"Authorization", ""}, 401, "unauthenticated"},
		{"unknown path", http.MethodGet, "/v2", "", nil, 404, "not-found"},
		{"wrong method", http.MethodGet, chatPath, "", nil, 405, "method-not-allowed"},
	} {
		got := f.routers[0].ask(t.Context(), bad.method, bad.path, bad.body, bad.headers...)
		assert.NilError(t, got.err, bad.name)
		assert.Equal(t, got.status, bad.status, "%s: %s", bad.name, got.body)
		assert.Equal(t, got.header.Get("Content-Type"), "application/problem+json", bad.name)
		assert.Assert(t, strings.Contains(string(got.body), `"code":"`+bad.code+`"`), "%s: %s", bad.name, got.body)
		assert.Equal(t, got.outcome(), "not-run", bad.name)
	}
	assert.Equal(t, len(f.engines[0].runs(t)), 0)

	odd := f.routers[0].ask(t.Context(), http.MethodPost, chatPath, chatText(false), "X-Request-Id", "a b\"<\u00e9>")
	assert.Equal(t, odd.status, http.StatusOK)
	assert.Equal(t, len(odd.header.Get("X-Request-Id")), 36, "an id of the router's own")
}

// attack is one way in which a client may misbehave on a connection.
type attack struct {
	name string
	run  func(conn net.Conn)
}

var attacks = []attack{
	{"head bomb", func(conn net.Conn) {
		_, _ = io.WriteString(conn, "GET /v1/entry HTTP/1.1\r\nHost: a\r\nX-Bomb: "+strings.Repeat("x", 1<<20)+"\r\n\r\n")
	}},
	{"many headers", func(conn net.Conn) {
		_, _ = io.WriteString(conn, "GET /v1/entry HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("X-B: y\r\n", 100000)+"\r\n")
	}},
	{"head never ends", func(conn net.Conn) { _, _ = io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\nHost: a\r\nX-A") }},
	{"body never comes", func(conn net.Conn) { _, _ = io.WriteString(conn, bodyHead(60000)) }},
	{"body stops half-way", func(conn net.Conn) { _, _ = io.WriteString(conn, bodyHead(60000)+strings.Repeat("x", 30000)) }},
	{"body without account", func(conn net.Conn) {
		_, _ = io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\nx")
	}},
	{"idle connection", func(net.Conn) {}},
	{"not HTTP", func(conn net.Conn) { _, _ = io.WriteString(conn, "\x16\x03\x01\x02\x00\r\n\r\n") }},
}

func bodyHead(length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", chatPath, accountToken, length)
}

// TestAttacksDisturbNoOtherRequest opens more connections than the router
// takes, each with an attack, while a caller goes on asking.
func TestAttacksDisturbNoOtherRequest(t *testing.T) {
	t.Parallel()
	f := startSmallFleet(t)
	r := f.routers[0]
	before := r.memoryKiB(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var asked atomic.Int64
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			got := askAt(t.Context(), fresh, r.callers, http.MethodPost, chatPath, chatText(true))
			if !got.isWholeChat(6, true) {
				t.Errorf("a caller was disturbed: %d %v %s", got.status, got.err, got.body)
				return
			}
			asked.Add(1)
		}
	})
	// The connection whose head never ends is closed by the router in the end.
	slow, err := net.Dial("tcp", r.callers)
	assert.NilError(t, err)
	defer slow.Close()
	attacks[2].run(slow)
	const connections = 24
	for _, a := range attacks {
		for range connections {
			conn, err := net.Dial("tcp", r.callers)
			assert.NilError(t, err, a.name)
			defer conn.Close()
			go a.run(conn)
		}
	}
	assert.NilError(t, slow.SetReadDeadline(time.Now().Add(patience)))
	_, err = bufio.NewReader(slow).ReadString(0)
	assert.Assert(t, err == io.EOF || strings.Contains(err.Error(), "reset"), "%v", err)
	eventually(t, "answers beside the attacks", func() bool { return asked.Load() > 50 || t.Failed() })
	close(stop)
	wg.Wait()
	after := r.memoryKiB(t)
	t.Logf("%d answers beside %d attacking connections; resident memory %d KiB before, %d KiB after", asked.Load(), connections*len(attacks), before, after)
	assert.Assert(t, after < 128<<10, "resident memory %d KiB", after)
}

// memoryKiB returns the highest resident memory of the process so far.
func (p *process) memoryKiB(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kib int
	_, err = fmt.Sscan(rest, &kib)
	assert.NilError(t, err)
	return kib
}

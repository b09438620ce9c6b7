// Package e2e tests router processes over TCP on loopback, with stand-ins for
// the platform and the endpoints. Tests stop, pause and kill the routers.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	operatorToken = "e2e-operator-token"
	fleetKey      = "e2e-fleet-key-00000"
	accountToken  = "e2e-account-token"
	// accountDigest is the SHA-256 of accountToken.
	accountDigest = "b1210857f06e87ae7cf039ec6c9a17d1491397fe88ae856a09548f59f3114371"
	// waitTimeout is the timeout of every wait; a test that reaches it fails.
	waitTimeout = 30 * time.Second
)

var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the binaries once and runs all tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "gentianhead-e2e")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "gentianhead/fleet/cmd/...", "gentianhead/standin/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	return m.Run()
}

type process struct {
	cmd  *exec.Cmd
	logs *syncBuffer
	done chan struct{}
}

type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binDir, name), args...), logs: &syncBuffer{}, done: make(chan struct{})}
	// The kernel sends SIGHUP and SIGCONT to a process group with a stopped process when the
	// shell that started the tests ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.cmd.Stdout, p.cmd.Stderr = p.logs, p.logs
	p.cmd.Env = append(os.Environ(), "GENTIANHEAD_OPERATOR_TOKEN="+operatorToken, "GENTIANHEAD_FLEET_KEY="+fleetKey)
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.done
		if t.Failed() {
			t.Logf("%s %v:\n%s", name, args, p.logs.String())
		}
	})
	return p
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// exitCode waits for the process to exit.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		t.Fatal("the process did not exit")
	}
	return p.cmd.ProcessState.ExitCode()
}

// Listening ports are below the ephemeral port range, and each is allocated
// once, which avoids conflicts between parallel tests.
const (
	firstPort = 12000
	portCount = 20000
)

var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(portCount)) }

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

type standin struct {
	*process
	address string
}

func startStandin(t *testing.T, kind string, args ...string) *standin {
	t.Helper()
	address := freeAddress(t)
	s := &standin{process: start(t, "standin", append([]string{kind, "-listen", address}, args...)...), address: address}
	eventually(t, "stand-in listens", func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	return s
}

func (s *standin) url() string {
	return "http://" + s.address
}

// setFaults replaces the faults of the stand-in; the keys are those of its Faults type.
func (s *standin) setFaults(t *testing.T, faults map[string]any) {
	t.Helper()
	body, _ := json.Marshal(faults)
	request, _ := http.NewRequest(http.MethodPut, s.url()+"/faults", bytes.NewReader(body))
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// engineRun is one request that a stand-in engine ran.
type engineRun struct {
	CallerRequestID string
	DeadlineMillis  int64
	Traceparent     string
	RequestID       string
	Key             string
	Path            string
	Body            string
	Fencing         uint64
}

func (s *standin) runs(t *testing.T) []engineRun {
	t.Helper()
	var answer struct{ Runs []engineRun }
	getJSON(t, s.url()+"/runs", &answer)
	return answer.Runs
}

func getJSON(t *testing.T, url string, answer any) {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.NilError(t, json.NewDecoder(response.Body).Decode(answer))
}

// router is a running gentianhead process.
type router struct {
	*process
	instance                  string
	settings                  string
	callers, operators, peers string
}

// routerOptions change the settings of a router. The zero value means zone-1 and
// an entryLife of one second.
type routerOptions struct {
	zone  string
	extra string
	// shutdown replaces the shutdown settings.
	shutdown string
}

func startRouter(t *testing.T, instance, platformURL string, options routerOptions) *router {
	t.Helper()
	if options.zone == "" {
		options.zone = "zone-1"
	}
	if options.shutdown == "" {
		options.shutdown = "{announce: 2s, entryLife: 1s, grace: 20s}"
	}
	r := &router{instance: instance, callers: freeAddress(t), operators: freeAddress(t), peers: freeAddress(t)}
	r.settings = filepath.Join(t.TempDir(), instance+".yaml")
	text := fmt.Sprintf("instance: %s\nzone: %s\nlisten: {callers: %q, operators: %q, peers: %q}\nplatform: {url: %q}\n"+
		"secrets:\n  operatorToken: {env: GENTIANHEAD_OPERATOR_TOKEN}\n  fleetKey: {env: GENTIANHEAD_FLEET_KEY}\n"+
		"shutdown: %s\n%s",
		instance, options.zone, r.callers, r.operators, r.peers, platformURL, options.shutdown, options.extra)
	assert.NilError(t, os.WriteFile(r.settings, []byte(text), 0o600))
	r.restart(t)
	return r
}

// restart starts a new router process with the same settings.
func (r *router) restart(t *testing.T) {
	t.Helper()
	r.process = start(t, "gentianhead", "--settings", r.settings, "serve")
}

func (r *router) awaitReady(t *testing.T) {
	t.Helper()
	eventually(t, r.instance+" is ready", func() bool {
		response, err := http.Get("http://" + r.callers + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// ctl runs gentianheadctl against the router.
func (r *router) ctl(t *testing.T, stdin string, args ...string) (string, error) {
	t.Helper()
	args = append([]string{"--router", "http://" + r.operators, "--callers", "http://" + r.callers, "--token", operatorToken}, args...)
	cmd := exec.Command(filepath.Join(binDir, "gentianheadctl"), args...)
	cmd.Stdin = bytes.NewBufferString(stdin)
	output, err := cmd.CombinedOutput()
	return string(output), err
}

// apply declares resources and waits until they are in force everywhere.
func (r *router) apply(t *testing.T, resources string) {
	t.Helper()
	output, err := r.ctl(t, resources, "apply", "--wait", "--timeout", waitTimeout.String())
	assert.NilError(t, err, output)
}

// fleet is a platform, routers and endpoints, with a model "m" on the engines and
// a service "s" whose path /once is non-idempotent.
type fleet struct {
	platform *standin
	routers  []*router
	engines  []*standin
	service  *standin
}

func startFleet(t *testing.T, routers, engines int, engineArgs ...string) *fleet {
	t.Helper()
	f := &fleet{platform: startStandin(t, "platform")}
	for i := range routers {
		name := fmt.Sprintf("router-%d", i+1)
		f.routers = append(f.routers, startRouter(t, name, f.platform.url(), routerOptions{zone: fmt.Sprintf("zone-%d", i%3+1)}))
	}
	resources := "kind: model\nname: m\nmodel: {}\n" +
		"---\nkind: service\nname: s\nservice: {nonIdempotent: [/once]}\n" +
		"---\nkind: client-account\nname: a\nclientAccount: {tokenSha256: " + accountDigest + "}\n"
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i+1)
		engine := startStandin(t, "engine", append([]string{"-name", name}, engineArgs...)...)
		f.engines = append(f.engines, engine)
		resources += fmt.Sprintf("---\nkind: endpoint\nname: %s\nendpoint: {url: %q, zone: zone-1, models: [m]}\n", name, engine.url())
	}
	f.service = startStandin(t, "engine", "-name", "service-1", "-checks-fencing")
	resources += fmt.Sprintf("---\nkind: endpoint\nname: service-1\nendpoint: {url: %q, zone: zone-1, services: [s], fencing: checked}\n", f.service.url())
	for _, r := range f.routers {
		r.awaitReady(t)
	}
	f.awaitMembers(t)
	f.routers[0].apply(t, resources)
	return f
}

// awaitMembers waits until each router sees all routers.
func (f *fleet) awaitMembers(t *testing.T) {
	t.Helper()
	for _, r := range f.routers {
		eventually(t, r.instance+" sees the fleet", func() bool {
			return len(r.revisions(t)) == len(f.routers)
		})
	}
}

// revisions returns the revision in force on each router that r can reach.
func (r *router) revisions(t *testing.T) map[string]uint64 {
	t.Helper()
	request, _ := http.NewRequest(http.MethodGet, "http://"+r.operators+"/v1/status", nil)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var status struct {
		Routers []struct {
			Instance    string
			Revision    uint64
			Unreachable bool
		}
	}
	_ = json.NewDecoder(response.Body).Decode(&status)
	revisions := make(map[string]uint64)
	for _, s := range status.Routers {
		if !s.Unreachable {
			revisions[s.Instance] = s.Revision
		}
	}
	return revisions
}

// routerVars are the metrics that tests read.
type routerVars struct {
	// LiveRouters is the number of routers considered live.
	LiveRouters int `json:"control.routers"`
	// Withdrawn is the number of endpoints considered withdrawn.
	Withdrawn int   `json:"control.withdrawn"`
	SentBytes int64 `json:"peer.sentBytes"`
	// RelayedRows is the number of rows that other routers wrote for this one.
	RelayedRows int `json:"claims.relayedRows"`
}

func (r *router) vars(t *testing.T) routerVars {
	t.Helper()
	var vars routerVars
	getJSON(t, "http://"+r.operators+"/debug/vars", &vars)
	return vars
}

// answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is set if the response is incomplete.
	err error
}

// outcome returns the outcome in the problem document, or "completed".
func (a answer) outcome() string {
	var problem struct{ Outcome string }
	_ = json.Unmarshal(a.body, &problem)
	if problem.Outcome == "" && a.status < http.StatusBadRequest {
		return "completed"
	}
	return problem.Outcome
}

// send sends a caller's request to the router. headers are name-value pairs.
func (r *router) send(ctx context.Context, method, path, body string, headers ...string) answer {
	return sendTo(ctx, http.DefaultClient, r.callers, method, path, body, headers...)
}

// sendTo is like send, with the given client and address.
func sendTo(ctx context.Context, client *http.Client, address, method, path, body string, headers ...string) answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewBufferString(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+accountToken)
	for pair := range slices.Chunk(headers, 2) {
		request.Header.Set(pair[0], pair[1])
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: data, err: err}
}

func chatBody(stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"messages":[{"role":"user","content":"hello"}]}`, stream)
}

// eventually polls until condition holds, and fails the test after waitTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if condition() {
			return
		}
		<-time.After(20 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}

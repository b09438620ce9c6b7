// Package hostile tests router processes on loopback under callers outside the limits. The
// tests run one after the other, since each checks the memory of a whole process.
package hostile

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

// memoryMb and maxFds are settings of the routers, low enough that a small crowd shows a fault.
// With HOSTILE_CROWD=N, all crowds have N connections, and the settings are those of the smallest
// machine.
var (
	memoryMb = 64
	maxFds   = 1024
)

func init() {
	if count, err := strconv.Atoi(os.Getenv("HOSTILE_CROWD")); err == nil {
		crowd, bodyCrowd, memoryMb, maxFds = count, count, 184, 4100
	}
}

const (
	// bodyBytes is the limit in the configuration.
	bodyBytes = 4 << 20
	// waitTimeout is the time limit of each wait; a test that reaches it fails.
	waitTimeout = 30 * time.Second
	hostName    = "a.example"
)

var binDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "gentianhead-hostile")
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

// router is a running process with bounds that follow from its settings.
type router struct {
	command *exec.Cmd
	done    chan struct{}
	// addresses are those of the listeners by name.
	addresses map[string]string
	// probe is the URL of an ordinary request.
	probe string
	// memoryKb bounds the resident memory, fds the open descriptors.
	memoryKb, fds int
	mostFds       int
	mu            sync.Mutex
}

// startHosted starts a router on the users' platform with one anonymous route.
func startHosted(t *testing.T, maxFds int) *router {
	t.Helper()
	store, endpoint := platformtest.NewStore(), platformtest.NewEndpoint("e-1")
	t.Cleanup(store.Close)
	t.Cleanup(endpoint.Close)
	store.Put(platform.TableOperator, platform.KeyConfiguration, map[string]any{
		"Version": 1,
		"RouteTable": []map[string]any{{
			"Name": "orders", "Hostname": hostName, "Prefix": "/orders/", "RouteType": "safe", "Anonymous": true,
			"TimeoutMs": 5000, "TargetLatencyMs": 300, "Service": "plain", "MaxAttempts": 2,
		}},
		"Services": []map[string]any{{"Name": "plain", "MaxConnections": 100}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": bodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	store.Put(platform.TableEndpoints, endpoint.ID, endpoint.Entry("plain", "ready"))
	port := freePort(t)
	addresses := map[string]string{"callers": address(port), "readiness": address(port + 1), "directory": address(port + 2)}
	settings := filepath.Join(t.TempDir(), "router.conf")
	text := fmt.Sprintf("NodeName=router-1\nIp=127.0.0.1\nZone=zone-1\nRegion=region-1\nListen.Frontend=%s\nListen.Readiness=%s\nListen.Directory=%s\n"+
		"PortRange=%d,%d\nLimits.MemoryMb=%d\nLimits.MaxFds=%d\nPlatform.Address=%s\n",
		addresses["callers"], addresses["readiness"], addresses["directory"], port+3, port+3, memoryMb, maxFds, store.Address)
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	r := &router{addresses: addresses, probe: "http://" + addresses["callers"] + "/orders/1", memoryKb: memoryMb << 10, fds: maxFds}
	r.start(t, []string{"GENTIANHEAD_BOOT=" + settings}, "serve")
	return r
}

const (
	productConns     = 400
	productBodyBytes = 1 << 20
	// productBase is the memory of a process without callers, productConn that allowed for each connection.
	productBase = 40 << 10
	productConn = 64
)

// startProduct starts a router of the product's own interface.
func startProduct(t *testing.T) *router {
	t.Helper()
	port := freePort(t)
	standin := exec.Command(filepath.Join(binDir, "standin"), "platform", "-listen", address(port+3))
	standin.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	assert.NilError(t, standin.Start())
	t.Cleanup(func() {
		_ = standin.Process.Kill()
		_ = standin.Wait()
	})
	addresses := map[string]string{"callers": address(port), "operators": address(port + 1)}
	settings := filepath.Join(t.TempDir(), "router.yaml")
	text := fmt.Sprintf("instance: router-1\nzone: zone-1\nlisten: {callers: %q, operators: %q, peers: %q}\nplatform: {url: %q}\n"+
		"secrets:\n  operatorToken: {env: OPERATOR_TOKEN}\n  fleetKey: {env: FLEET_KEY}\n"+
		"limits: {bodyBytes: %d, bodyMemoryBytes: %d, connections: %d}\n",
		addresses["callers"], addresses["operators"], address(port+2), "http://"+address(port+3), productBodyBytes, 4*productBodyBytes, productConns)
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	r := &router{
		addresses: addresses, probe: "http://" + addresses["callers"] + "/readyz",
		memoryKb: productBase + productConns*productConn + 8*productBodyBytes>>10, fds: 3 * productConns,
	}
	r.start(t, []string{"OPERATOR_TOKEN=hostile-operator-token", "FLEET_KEY=hostile-fleet-key-00000"}, "--settings", settings, "serve")
	return r
}

func (r *router) start(t *testing.T, environment []string, args ...string) {
	t.Helper()
	logs, err := os.Create(filepath.Join(t.TempDir(), "router.log"))
	assert.NilError(t, err)
	r.command, r.done = exec.Command(filepath.Join(binDir, "gentianhead"), args...), make(chan struct{})
	r.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	r.command.Stdout, r.command.Stderr = logs, logs
	r.command.Env = append(os.Environ(), environment...)
	assert.NilError(t, r.command.Start())
	go func() {
		_ = r.command.Wait()
		close(r.done)
	}()
	t.Cleanup(func() {
		_ = r.command.Process.Kill()
		<-r.done
		if t.Failed() {
			text, _ := os.ReadFile(logs.Name())
			t.Logf("last of the log:\n%s", text[max(0, len(text)-2000):])
		}
		logs.Close()
	})
	r.awaitAnswer(t)
	go r.countFds()
}

// awaitAnswer waits until an ordinary request is answered.
func (r *router) awaitAnswer(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); <-time.After(50 * time.Millisecond) {
		request, err := http.NewRequest(http.MethodGet, r.probe, nil)
		assert.NilError(t, err)
		request.Host = hostName
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		last = response.Status
	}
	t.Errorf("an ordinary request was not answered: %s", last)
}

// countFds records the largest number of open descriptors until the process ends.
func (r *router) countFds() {
	for {
		select {
		case <-r.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.command.Process.Pid))
		r.mu.Lock()
		r.mostFds = max(r.mostFds, len(open))
		r.mu.Unlock()
	}
}

// peakKb returns the largest resident memory of the process so far.
func (r *router) peakKb(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	line, _, _ := strings.Cut(rest, "kB")
	kb, err := strconv.Atoi(strings.TrimSpace(line))
	assert.NilError(t, err)
	return kb
}

// check fails the test unless the process runs within its bounds.
func (r *router) check(t *testing.T) {
	t.Helper()
	select {
	case <-r.done:
		t.Fatalf("the process ended: %v", r.command.ProcessState)
	default:
	}
	peak := r.peakKb(t)
	r.mu.Lock()
	fds := r.mostFds
	r.mu.Unlock()
	t.Logf("peak memory %d kB, open descriptors %d", peak, fds)
	assert.Check(t, peak <= r.memoryKb, "peak memory %d kB, bound %d kB", peak, r.memoryKb)
	assert.Check(t, fds <= r.fds, "%d open descriptors, bound %d", fds, r.fds)
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// freePort returns the first of four free ports, below those of outgoing connections.
func freePort(t *testing.T) int {
	t.Helper()
	for range 1000 {
		port, isFree := 12000+4*rand.IntN(5000), true
		for offset := range 4 {
			listener, err := net.Listen("tcp", address(port+offset))
			if err != nil {
				isFree = false
				break
			}
			listener.Close()
		}
		if isFree {
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

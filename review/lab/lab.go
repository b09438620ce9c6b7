// Package lab starts a small deployment for the cases of the review: routers as separate
// processes, and in this process the platform's store, endpoints and callers. All addresses
// are loopback addresses.
package lab

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

// Exit statuses of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

//go:embed names.json
var namesFile []byte

//go:embed settings.tmpl
var settingsFile string

//go:embed manifest.tmpl
var manifestFile string

// Names are the names on the wire that callers and endpoints use.
var Names = readNames()

type names struct {
	Attempt, Deadline, Tenant, Signature, NotExecuted, Instance, Model, Tokens, Prefix, KeyScheme string
}

func readNames() names {
	var n names
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}

// IsTroubled reports whether the case plays its disruption.
func IsTroubled() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the record of a run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// At returns a time as the record states it.
func (r *Record) At(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(r.start).Seconds()) }

// Tenant is a tenant of a manifest.
type Tenant struct {
	Name string
	Keys []string
}

// Manifest holds what differs between the manifests of a case.
type Manifest struct {
	Version   int
	TimeoutMs int
	// DropsLookup leaves out the route of the prefix /lookup/.
	DropsLookup bool
	// AddsSteel adds a route of the prefix /lookup/steel/ to the service mill.
	AddsSteel bool
	Tenants   []Tenant
}

// Router is one router process.
type Router struct {
	Name, IP, Zone string
	Seeds, Store   string
	base           int
	settings, logs string
	command        *exec.Cmd
	ended          chan struct{}
}

// Port returns the number-th port of the router.
func (r *Router) Port(number int) int { return r.base + number }

// Callers returns the address for callers.
func (r *Router) Callers() string { return fmt.Sprintf("%s:%d", r.IP, r.Port(1)) }

// Readiness returns the address of the readiness probe.
func (r *Router) Readiness() string { return fmt.Sprintf("%s:%d", r.IP, r.Port(2)) }

// Lab is a small deployment.
type Lab struct {
	Record    *Record
	Store     *platformtest.Store
	Routers   []*Router
	directory string
	program   string
}

// New starts a store. The caller must call Close.
func New(record *Record) (*Lab, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &Lab{Record: record, Store: platformtest.NewStore(), directory: directory, program: filepath.Join("target", "gentianhead")}, nil
}

// Close ends all routers and the store.
func (l *Lab) Close() {
	for _, r := range l.Routers {
		r.Kill()
	}
	l.Store.Close()
	_ = os.RemoveAll(l.directory)
}

// Apply writes a manifest as the operator does and returns when the store acknowledged it.
func (l *Lab) Apply(m Manifest) time.Time {
	var text bytes.Buffer
	if err := template.Must(template.New("").Parse(manifestFile)).Execute(&text, m); err != nil {
		panic(err)
	}
	if !json.Valid(text.Bytes()) {
		panic("the manifest is no JSON: " + text.String())
	}
	l.Store.Put(platform.TableOperator, platform.KeyConfiguration, text.Bytes())
	ackedAt := time.Now()
	l.Record.Add("manifest %d acknowledged, tenants %v", m.Version, m.Tenants)
	return ackedAt
}

// Register writes the entry of an endpoint.
func (l *Lab) Register(service string, e *platformtest.Endpoint) {
	l.Store.Put(platform.TableEndpoints, e.ID, e.Entry(service, "ready"))
}

// StartRouters starts routers with addresses of their own and waits until all are ready.
func (l *Lab) StartRouters(count int, store func(number int) string) error {
	base, network, err := freePorts(count)
	if err != nil {
		return err
	}
	var seeds []string
	for number := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", network, number+1, base+4))
	}
	for number := range count {
		r := &Router{
			Name: fmt.Sprintf("edge-%d", number+1), IP: fmt.Sprintf("%s%d", network, number+1), Zone: "zone-1",
			Seeds: strings.Join(seeds, ","), Store: store(number), base: base,
		}
		r.settings, r.logs = filepath.Join(l.directory, r.Name+".conf"), filepath.Join(l.directory, r.Name+".log")
		var text bytes.Buffer
		if err := template.Must(template.New("").Parse(settingsFile)).Execute(&text, r); err != nil {
			return err
		}
		if err := os.WriteFile(r.settings, text.Bytes(), 0o600); err != nil {
			return err
		}
		if err := l.Start(r); err != nil {
			return err
		}
		l.Routers = append(l.Routers, r)
	}
	return l.AwaitReady(20 * time.Second)
}

// Start starts the process of a router with the command of the deploy file.
func (l *Lab) Start(r *Router) error {
	logs, err := os.OpenFile(r.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	command := exec.Command(l.program, "serve")
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), platform.SettingsPathEnv + "=" + r.settings}
	command.Stdout, command.Stderr = logs, logs
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.command, r.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	l.Record.Add("router %s started", r.Name)
	return nil
}

// Logs returns what a router wrote.
func (r *Router) Logs() string {
	text, _ := os.ReadFile(r.logs)
	return string(text)
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) { _ = r.command.Process.Signal(s) }

// PID returns the process id.
func (r *Router) PID() int { return r.command.Process.Pid }

// Ended is closed once the process has ended.
func (r *Router) Ended() <-chan struct{} { return r.ended }

// Kill ends the process.
func (r *Router) Kill() {
	if r.command != nil {
		_ = r.command.Process.Kill()
		<-r.ended
	}
}

// AwaitReady waits until all routers are ready.
func (l *Lab) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(limit); ; {
		ready := 0
		for _, r := range l.Routers {
			response, err := client.Get("http://" + r.Readiness() + platform.ReadyPath)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(l.Routers) {
			l.Record.Add("all %d routers are ready", ready)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d routers are ready", ready, len(l.Routers))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// freePorts finds a range of ports that is free at count loopback addresses, which begin
// with network.
func freePorts(count int) (base int, network string, err error) {
	for attempt := range 100 {
		network = fmt.Sprintf("127.%d.%d.", 10+(os.Getpid()+attempt)%200, 1+os.Getpid()/200%200)
		base = 10000 + (os.Getpid()*7+attempt*11)%20000
		if arePortsFree(count, base, network) {
			return base, network, nil
		}
	}
	return 0, "", fmt.Errorf("no free ports")
}

func arePortsFree(count, base int, network string) bool {
	for number := range count {
		for port := range 4 {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", network, number+1, base+port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

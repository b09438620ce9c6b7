// Command second-lab runs one case of the second review: it starts routers as the deploy file
// does, with stand-ins for the store, the servers, the clients and the platform, all on loopback.
package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

//go:embed wire.json
var wireText []byte

//go:embed settings.tmpl
var settingsText string

//go:embed manifest.json
var manifestText []byte

// wire holds the names of headers.
var wire = func() (names map[string]string) {
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}()

// Lab is the surroundings of one case.
type Lab struct {
	Trouble bool
	began   time.Time
	dir     string
	record  *os.File
	mu      sync.Mutex
	Store   *platformtest.Store
	Routers []*Router
	servers []*Server
	cleanup []func()
}

// NewLab opens the record and starts the store.
func NewLab(record string) (*Lab, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "second-lab-")
	if err != nil {
		return nil, err
	}
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), dir: dir, record: file, Store: platformtest.NewStore()}
	l.Store.Put(platform.TableOperator, platform.KeyConfiguration, json.RawMessage(manifestText))
	l.Logf("trouble: %v", l.Trouble)
	go l.closeOnSignal()
	return l, nil
}

// Logf writes a line of the record.
func (l *Lab) Logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// closeOnSignal ends everything if the case is interrupted or takes too long.
func (l *Lab) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case got := <-signals:
		l.Logf("interrupted: %v", got)
	case <-time.After(maxDuration):
		l.Logf("the case took more than %v", maxDuration)
	}
	l.Close()
	os.Exit(couldnot)
}

// maxDuration is below the 120 seconds that a case may take.
const maxDuration = 112 * time.Second

// Close ends everything that the lab started.
func (l *Lab) Close() {
	for _, r := range l.Routers {
		r.end()
	}
	for _, s := range l.servers {
		s.Close()
	}
	for _, f := range l.cleanup {
		f()
	}
	_ = l.record.Close()
	if keep := os.Getenv("SECOND_KEEP"); keep == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("kept:", l.dir)
	}
}

// Router is a machine with one router process, which is started again when it ends.
type Router struct {
	lab                                *Lab
	Name, IP, Zone                     string
	Port, ReadyPort, DirectoryPort     int
	PeerPort, MemoryMb                 int
	Seeds, Store                       string
	settings, log                      string
	mu                                 sync.Mutex
	cmd                                *exec.Cmd
	isDone                             bool
	ended                              chan struct{}
	OwnEnds, OverMemory, Starts, TopMb int
	killedForMemory                    bool
	endTimes                           []time.Time
}

// Frontend returns the address for clients.
func (r *Router) Frontend() string { return net.JoinHostPort(r.IP, strconv.Itoa(r.Port)) }

// freePort returns a port that is free at all the addresses.
func freePort(ips ...string) int {
	for {
		port := 20000 + rand.IntN(20000)
		isFree := true
		for _, ip := range ips {
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				isFree = false
				continue
			}
			_ = listener.Close()
			packet, err := net.ListenPacket("udp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				isFree = false
				continue
			}
			_ = packet.Close()
		}
		if isFree {
			return port
		}
	}
}

// deployCommand returns the program of the deploy file's role and its arguments.
func deployCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if quoted, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(quoted, `"`)), nil
		}
	}
	return nil, errors.New("deploy/system.toml names no command")
}

// StartRouters starts n routers, each at a loopback address of its own. Their store is at
// storeOf of each, or at the store itself if that is nil.
func (l *Lab) StartRouters(n, memoryMb int, storeOf func(i int) string) error {
	command, err := deployCommand()
	if err != nil {
		return err
	}
	if _, err := os.Stat(command[0]); err != nil {
		return fmt.Errorf("build first: %w", err)
	}
	base := rand.IntN(200) + 10
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", base, rand.IntN(200)+1, i+1))
	}
	port, ready, directory, peer := freePort(ips...), freePort(ips...), freePort(ips...), freePort(ips...)
	var seeds []string
	for _, ip := range ips[:min(3, n)] {
		seeds = append(seeds, net.JoinHostPort(ip, strconv.Itoa(peer)))
	}
	tmpl := template.Must(template.New("settings").Parse(settingsText))
	for i, ip := range ips {
		r := &Router{
			lab: l, Name: fmt.Sprintf("edge-%d", i+1), IP: ip, Zone: []string{"zone-a", "zone-b"}[i%2], Port: port, ReadyPort: ready,
			DirectoryPort: directory, PeerPort: peer, MemoryMb: memoryMb, Seeds: strings.Join(seeds, ","), Store: l.Store.Address, ended: make(chan struct{}),
		}
		if storeOf != nil {
			r.Store = storeOf(i)
		}
		r.settings, r.log = filepath.Join(l.dir, r.Name+".conf"), filepath.Join(l.dir, r.Name+".log")
		if err := r.WriteSettings(tmpl); err != nil {
			return err
		}
		l.Routers = append(l.Routers, r)
		go r.run(command)
	}
	return nil
}

// WriteSettings writes the settings file of the platform.
func (r *Router) WriteSettings(tmpl *template.Template) error {
	var text bytes.Buffer
	if err := tmpl.Execute(&text, r); err != nil {
		return err
	}
	return os.WriteFile(r.settings, text.Bytes(), 0o600)
}

// run starts the process again whenever it ends, as the platform does.
func (r *Router) run(command []string) {
	defer close(r.ended)
	logs, err := os.Create(r.log)
	if err != nil {
		return
	}
	defer logs.Close()
	for {
		cmd := exec.Command(command[0], command[1:]...)
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsPathEnv + "=" + r.settings}
		cmd.Stdout, cmd.Stderr = logs, logs
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		r.mu.Lock()
		if r.isDone {
			r.mu.Unlock()
			return
		}
		err := cmd.Start()
		r.cmd, r.killedForMemory = cmd, false
		r.Starts++
		r.mu.Unlock()
		if err == nil {
			stop := make(chan struct{})
			go r.watchMemory(cmd.Process.Pid, stop)
			_ = cmd.Wait()
			close(stop)
			r.noteEnd(cmd)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func (r *Router) noteEnd(cmd *exec.Cmd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDone {
		return
	}
	r.endTimes = append(r.endTimes, time.Now())
	r.lab.Logf("%s: process ended: %v, over its memory: %v", r.Name, cmd.ProcessState, r.killedForMemory)
	if r.killedForMemory {
		r.OverMemory++
	}
	r.OwnEnds++
}

// anonMb returns the memory of a process in MB that isn't backed by a file.
func anonMb(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb >> 10
		}
	}
	return 0
}

// watchMemory does what the platform does: it kills a process that exceeds its memory.
func (r *Router) watchMemory(pid int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := anonMb(pid)
		r.mu.Lock()
		r.TopMb = max(r.TopMb, mb)
		isOver := mb > r.MemoryMb && !r.killedForMemory
		if isOver {
			r.killedForMemory = true
		}
		r.mu.Unlock()
		if isOver {
			r.lab.Logf("%s: %d MB in use, limit %d MB: the platform kills it", r.Name, mb, r.MemoryMb)
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	}
}

// Signal sends a signal to the process.
func (r *Router) Signal(signal syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil && r.cmd.Process != nil {
		_ = r.cmd.Process.Signal(signal)
	}
}

func (r *Router) end() {
	r.mu.Lock()
	r.isDone = true
	cmd := r.cmd
	r.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	<-r.ended
}

// IsReady asks a router whether it is ready.
func (r *Router) IsReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + net.JoinHostPort(r.IP, strconv.Itoa(r.ReadyPort)) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all routers are ready.
func (l *Lab) AwaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		count := 0
		for _, r := range l.Routers {
			if r.IsReady() {
				count++
			}
		}
		if count == len(l.Routers) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d routers are ready", count, len(l.Routers))
		}
	}
}

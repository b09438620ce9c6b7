// Package lab starts router processes with the command of the deploy file on loopback
// addresses, with the settings of a small deployment, and keeps the record of a case.
package lab

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gentianhead/platform"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Record is the file with what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	startAt time.Time
}

// NewRecord creates the file that the variable RECORD names, or record.txt.
func NewRecord() *Record {
	name := os.Getenv("RECORD")
	if name == "" {
		name = "record.txt"
	}
	file, err := os.Create(name)
	if err != nil {
		Fail("record: %v", err)
	}
	return &Record{file: file, startAt: time.Now()}
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.startAt).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the time from the start of the record to a moment.
func (r *Record) Since(at time.Time) time.Duration { return at.Sub(r.startAt) }

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Fail ends the program: the case can't run.
func Fail(format string, args ...any) {
	fmt.Printf("the case can't run: "+format+"\n", args...)
	stopAll()
	os.Exit(CannotRun)
}

// IsTroubled reports whether the disruption is to be caused.
func IsTroubled() bool { return os.Getenv("TROUBLE") != "0" }

var (
	runningMu sync.Mutex
	running   []*Router
)

// stopAll ends the processes that were started.
func stopAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, r := range running {
		r.end()
	}
}

// Exit ends all processes and the program.
func Exit(code int) {
	stopAll()
	os.Exit(code)
}

// Options are the settings of a small deployment's router that differ between cases.
type Options struct {
	// Number is the last byte of the router's loopback address.
	Number int
	// Store is the address of the platform's store.
	Store string
	// MemoryMb is the memory of the machine.
	MemoryMb int
	// Dir holds settings and logs.
	Dir string
	// Port is the first of the ports.
	Port int
}

// Router is a router process.
type Router struct {
	Name                          string
	Callers, Readiness, Directory string
	command                       *exec.Cmd
	settings, logs                string
	done                          chan struct{}
}

// FreePort returns a port of which it and the ten next ones are free on 127.0.0.1.
func FreePort() int {
	for port := 11000 + int(time.Now().UnixNano()/1000%8000); port < 30000; port += 16 {
		isFree := true
		for offset := range 10 {
			listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port+offset)))
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
	Fail("no free ports")
	return 0
}

// Start starts a router with the command of the deploy file. ROOT is the repository's root.
func Start(o Options) *Router {
	ip := fmt.Sprintf("127.0.0.%d", o.Number)
	at := func(offset int) string { return net.JoinHostPort(ip, strconv.Itoa(o.Port+offset)) }
	r := &Router{
		Name: fmt.Sprintf("edge-%d", o.Number), Callers: at(0), Readiness: at(1), Directory: at(2),
		settings: filepath.Join(o.Dir, fmt.Sprintf("edge-%d.conf", o.Number)), logs: filepath.Join(o.Dir, fmt.Sprintf("edge-%d.log", o.Number)),
	}
	if o.MemoryMb == 0 {
		o.MemoryMb = 284
	}
	text := Fill("router.conf", "name", r.Name, "ip", ip, "callers", r.Callers, "readiness", r.Readiness, "control", at(3), "directory", r.Directory,
		"first", strconv.Itoa(o.Port+4), "last", strconv.Itoa(o.Port+9), "memory", strconv.Itoa(o.MemoryMb), "store", o.Store)
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		Fail("settings: %v", err)
	}
	r.launch()
	runningMu.Lock()
	running = append(running, r)
	runningMu.Unlock()
	return r
}

func (r *Router) launch() {
	logs, err := os.OpenFile(r.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Fail("log: %v", err)
	}
	root := os.Getenv("ROOT")
	// The command of the deploy file.
	r.command = exec.Command(filepath.Join(root, "target/gentianhead"), "serve")
	r.command.Dir = root
	r.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsPathEnv + "=" + r.settings}
	r.command.Stdout, r.command.Stderr = logs, logs
	if err := r.command.Start(); err != nil {
		Fail("the router doesn't start: %v", err)
	}
	done, command := make(chan struct{}), r.command
	r.done = done
	go func() {
		_ = command.Wait()
		logs.Close()
		close(done)
	}()
}

// Restart kills the process, as the platform does with one that exceeds the memory of its machine,
// and starts it again after a short delay.
func (r *Router) Restart() {
	_ = r.command.Process.Kill()
	<-r.done
	time.Sleep(500 * time.Millisecond)
	runningMu.Lock()
	defer runningMu.Unlock()
	r.launch()
}

func (r *Router) end() {
	if r.command != nil {
		_ = r.command.Process.Kill()
		<-r.done
	}
}

// HasEnded reports whether the process has ended, and how.
func (r *Router) HasEnded() (bool, string) {
	select {
	case <-r.done:
		return true, r.command.ProcessState.String()
	default:
		return false, ""
	}
}

// AwaitReady waits until the router says that it is ready.
func (r *Router) AwaitReady() {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + r.Readiness + platform.ReadyPath)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	Fail("%s isn't ready", r.Name)
}

// MemoryKb returns a figure of the process's status, such as VmRSS or VmHWM, in kB; 0 if it has ended.
func (r *Router) MemoryKb(name string) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), name+":")
	line, _, _ := strings.Cut(rest, "kB")
	kb, _ := strconv.Atoi(strings.TrimSpace(line))
	return kb
}

package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	currentProgram = "../../bin/gentianhead"
	// restartDelay is the time from the end of a process to its restart.
	restartDelay = 200 * time.Millisecond
	// gracePeriod is the time from SIGTERM to SIGKILL, revocationDelay how long a
	// removed secret may still be accepted, and quietPeriod how long a router must
	// have had no fault for the checks that require it. The first two are settings of the routers.
	gracePeriod     = 8 * time.Second
	revocationDelay = 5 * time.Second
	quietPeriod     = 3 * time.Second
	// reloadTime is how long a process may take to read changed settings.
	reloadTime = time.Second
	// activationDelay is how long after its acceptance a configuration may not be in force.
	activationDelay = 3 * time.Second
)

// process is a router process that is restarted whenever it exits.
type process struct {
	name                         string
	program                      string
	callers, directory           string
	readiness                    string
	settings, logs               string
	mu                           sync.Mutex
	command                      *exec.Cmd
	isDone                       bool
	ended                        chan struct{}
	lastFaultAt, stopRequestedAt time.Time
	// faults are the intervals in which the process or its store link had a fault,
	// including planned stops, which lastFaultAt excludes.
	faults intervals
	// unplanned are the intervals of faults other than stops.
	unplanned intervals
	startedAt time.Time
	// grace is the grace time in the settings, which changed at graceChangedAt.
	grace          time.Duration
	graceChangedAt time.Time
	// stops are the stops by SIGTERM, the latest last.
	stops []stop
	// isKilled is set once the test has killed the process, endings are the ends of
	// processes without a signal of the test.
	isKilled bool
	endings  []string
}

// stop is the end of a process by SIGTERM.
type stop struct {
	// startedAt is when the process had started.
	startedAt, requestedAt time.Time
	// killAt is the end of the grace time. isGraceChanged is set if that changed shortly
	// before the stop or during it.
	killAt         time.Time
	isGraceChanged bool
	// endedAt and status are when and how the process ended.
	endedAt time.Time
	status  syscall.WaitStatus
	// lastReadyAt is the time of the latest question that it answered as ready.
	lastReadyAt time.Time
}

// newProcess writes the settings of a router and starts it. Each router has its
// own loopback address.
func newProcess(t *testing.T, directory string, ip netip.Addr, seeds, store string, port uint16, program string) *process {
	name := "router-" + ip.String()
	p := &process{
		name: name, program: program, callers: netip.AddrPortFrom(ip, port+1).String(), directory: netip.AddrPortFrom(ip, port+2).String(),
		settings: filepath.Join(directory, name+".conf"), logs: filepath.Join(directory, name+".log"), ended: make(chan struct{}),
		readiness: netip.AddrPortFrom(ip, port+3).String(), grace: gracePeriod,
	}
	text := fmt.Sprintf(`NodeName=%s
Ip=%s
Zone=zone-1
Region=region-1
Listen.Frontend=%s
Listen.Readiness=%s
Listen.Directory=%s
PortRange=%d,%d
SeedNodes=%s
Limits.MemoryMb=256
Limits.MaxFds=2048
Bounds.DrainMs=2000
Bounds.GraceS=%d
Bounds.ttl_max_s=5
Bounds.CapFactor=2
Bounds.RetryRatio=0.2
Bounds.RetrySlack=50
Bounds.RetryWindowS=10
Bounds.ReuseWindowS=10
Bounds.RevokeStrict=true
Bounds.RevokeMs=%d
Bounds.ConfigMs=%d
Platform.Address=%s
`, name, ip, p.callers, p.readiness, p.directory, port, port, seeds, int(gracePeriod.Seconds()), revocationDelay.Milliseconds(), activationDelay.Milliseconds(), store)
	assert.NilError(t, os.WriteFile(p.settings, []byte(text), 0o600))
	_, err := os.Stat(program)
	assert.NilError(t, err, "build the binaries first with make build")
	go p.run()
	t.Cleanup(p.kill)
	return p
}

func (p *process) run() {
	defer close(p.ended)
	logs, err := os.Create(p.logs)
	if err != nil {
		return
	}
	defer logs.Close()
	for {
		command := exec.Command(p.program, "serve")
		// The kernel sends SIGHUP and SIGCONT to a process group with a stopped process when the
		// shell that started the tests ends.
		command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		command.Env = append(os.Environ(), "GENTIANHEAD_BOOT="+p.settings)
		command.Stdout, command.Stderr = logs, logs
		p.mu.Lock()
		if p.isDone {
			p.mu.Unlock()
			return
		}
		err := command.Start()
		p.command, p.startedAt, p.isKilled = command, time.Now(), false
		p.mu.Unlock()
		if err == nil {
			_ = command.Wait()
			p.addEnd(command.ProcessState)
		}
		<-time.After(restartDelay)
	}
}

// signal sends a signal to the running process. Unless it is SIGHUP, it records a fault.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	isSent := p.command != nil && p.command.Process != nil && p.command.Process.Signal(signal) == nil
	if signal == syscall.SIGHUP {
		return
	}
	p.faults.add(now, 0)
	if signal == syscall.SIGTERM {
		p.stopRequestedAt = now
		if isSent && !p.isStopping() {
			isGraceChanged := time.Since(p.graceChangedAt) < reloadTime
			p.stops = append(p.stops, stop{startedAt: p.startedAt, requestedAt: now, killAt: now.Add(p.grace), isGraceChanged: isGraceChanged})
			p.killAfter(p.grace)
		}
		return
	}
	p.isKilled = p.isKilled || signal == syscall.SIGKILL
	p.lastFaultAt = now
	p.unplanned.add(now, 0)
}

// killAfter kills the running process at the end of its grace time. It is called with mu held.
func (p *process) killAfter(grace time.Duration) {
	command := p.command
	time.AfterFunc(grace, func() { _ = command.Process.Kill() })
}

// isInPlannedStop reports whether the router was in a planned stop, or less than
// quietPeriod before one, at the given time, without a recent fault.
func (p *process) isInPlannedStop(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return at.After(p.stopRequestedAt.Add(-quietPeriod)) && at.Before(p.stopRequestedAt.Add(gracePeriod)) && at.Sub(p.lastFaultAt) > 2*quietPeriod
}

func (p *process) kill() {
	p.mu.Lock()
	p.isDone = true
	command := p.command
	p.mu.Unlock()
	if command != nil && command.Process != nil {
		_ = command.Process.Kill()
	}
	<-p.ended
}

// reload changes the settings by replacing a text and lets the process read them again.
func (p *process) reload(t *testing.T, change func(settings string) string) {
	p.mu.Lock()
	text, err := os.ReadFile(p.settings)
	assert.Check(t, err)
	next := p.settings + ".next"
	assert.Check(t, os.WriteFile(next, []byte(change(string(text))), 0o600))
	assert.Check(t, os.Rename(next, p.settings))
	p.mu.Unlock()
	p.signal(syscall.SIGHUP)
}

// setGrace changes the grace time. During a stop, a shorter one counts from SIGTERM if it leaves
// time to read the settings; a longer one doesn't change when the process is killed.
func (p *process) setGrace(t *testing.T, grace time.Duration) {
	p.mu.Lock()
	old := p.grace
	p.grace, p.graceChangedAt = grace, time.Now()
	if p.isStopping() {
		s := &p.stops[len(p.stops)-1]
		s.isGraceChanged = true
		if killAt := s.requestedAt.Add(grace); killAt.Before(s.killAt) && time.Until(killAt) > 2*reloadTime {
			s.killAt = killAt
			p.killAfter(time.Until(killAt))
		}
	}
	p.mu.Unlock()
	p.reload(t, func(settings string) string {
		return strings.Replace(settings, graceSetting(old), graceSetting(grace), 1)
	})
}

func graceSetting(grace time.Duration) string {
	return fmt.Sprintf("Bounds.GraceS=%d\n", int(grace.Seconds()))
}

// isStopping reports whether the process has got SIGTERM and runs. It is called with mu held.
func (p *process) isStopping() bool {
	return len(p.stops) > 0 && p.stops[len(p.stops)-1].endedAt.IsZero()
}

// runningStop returns the stop in progress, if there is one.
func (p *process) runningStop() (s stop, isStopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isStopping() {
		return stop{}, false
	}
	return p.stops[len(p.stops)-1], true
}

func (p *process) addEnd(state *os.ProcessState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.isStopping():
		s := &p.stops[len(p.stops)-1]
		s.endedAt, s.status = time.Now(), state.Sys().(syscall.WaitStatus)
	case p.isKilled || p.isDone:
	case isEndedBy(state, syscall.SIGHUP) && time.Since(p.startedAt) < startTime:
	default:
		p.endings = append(p.endings, fmt.Sprintf("%v after %v", state, time.Since(p.startedAt)))
	}
}

func isEndedBy(state *os.ProcessState, signal syscall.Signal) bool {
	status := state.Sys().(syscall.WaitStatus)
	return status.Signaled() && status.Signal() == signal
}

// logEntry is the part of a log line that checks read.
type logEntry struct {
	Time    time.Time     `json:"time"`
	Request string        `json:"request"`
	Took    time.Duration `json:"took"`
	CutOff  int           `json:"cutOff"`
}

// readLogs returns the log lines of all processes of the router.
func (p *process) readLogs(t *testing.T) []logEntry {
	logs, err := os.ReadFile(p.logs)
	assert.NilError(t, err)
	var entries []logEntry
	for line := range bytes.Lines(logs) {
		var entry logEntry
		if json.Unmarshal(line, &entry) == nil {
			entries = append(entries, entry)
		}
	}
	return entries
}

func (p *process) addReady(askedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isStopping() {
		p.stops[len(p.stops)-1].lastReadyAt = askedAt
	}
}

// finishedStops returns the stops after which the process has ended.
func (p *process) finishedStops() []stop {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.stops), func(s stop) bool { return s.endedAt.IsZero() })
}

// stopBefore returns the latest stop that was requested before a time, if there is one.
func (p *process) stopBefore(at time.Time) (latest stop, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range slices.Backward(p.stops) {
		if !at.Before(s.requestedAt) {
			return s, true
		}
	}
	return stop{}, false
}

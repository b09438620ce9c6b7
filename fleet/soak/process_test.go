package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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
	// stops are the stops by SIGTERM, the latest last.
	stops []stop
}

// stop is the end of a process by SIGTERM.
type stop struct {
	requestedAt time.Time
	// endedAt and code are when and how the process ended; the code is -1 after a signal.
	endedAt time.Time
	code    int
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
	}
	p.readiness = netip.AddrPortFrom(ip, port+3).String()
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
		command.Env = append(os.Environ(), "GENTIANHEAD_BOOT="+p.settings)
		command.Stdout, command.Stderr = logs, logs
		p.mu.Lock()
		if p.isDone {
			p.mu.Unlock()
			return
		}
		err := command.Start()
		p.command = command
		p.mu.Unlock()
		if err == nil {
			_ = command.Wait()
			p.addEnd(command.ProcessState.ExitCode())
		}
		<-time.After(restartDelay)
	}
}

// signal sends a signal to the running process. Unless it is SIGHUP, it records a fault.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(signal)
	}
	if signal == syscall.SIGHUP {
		return
	}
	p.faults.add(time.Now(), 0)
	if signal == syscall.SIGTERM {
		p.stopRequestedAt = time.Now()
		if !p.isStopping() {
			p.stops = append(p.stops, stop{requestedAt: time.Now()})
		}
		time.AfterFunc(gracePeriod, func(command *exec.Cmd) func() {
			return func() { _ = command.Process.Kill() }
		}(p.command))
		return
	}
	p.lastFaultAt = time.Now()
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

// isStopping reports whether the process has got SIGTERM and runs. It is called with mu held.
func (p *process) isStopping() bool {
	return len(p.stops) > 0 && p.stops[len(p.stops)-1].endedAt.IsZero()
}

func (p *process) addEnd(code int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isStopping() {
		s := &p.stops[len(p.stops)-1]
		s.endedAt, s.code = time.Now(), code
	}
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

// sinceStop returns the time from the latest SIGTERM before at, if there was one.
func (p *process) sinceStop(at time.Time) (since time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range slices.Backward(p.stops) {
		if !at.Before(s.requestedAt) {
			return at.Sub(s.requestedAt), true
		}
	}
	return 0, false
}

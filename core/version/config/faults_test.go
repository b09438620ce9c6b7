package config

import (
	"fmt"
	"testing"
	"time"

	"gentianhead/core/matrix"
)

// fault is a failure that inject starts in a simulation.
type fault struct {
	name   string
	inject func(*simulation)
}

const (
	shortFault = 8 * time.Second
	longFault  = time.Hour
)

func faults() []fault {
	return []fault{
		{"kill and empty start", func(sim *simulation) { sim.restart() }},
		{"pause", func(sim *simulation) { sim.pausedUntil = sim.now + shortFault }},
		{"cut from store", func(sim *simulation) { sim.storeDownUntil = sim.now + shortFault }},
		{"cut from peers", func(sim *simulation) { sim.peersCutUntil = sim.now + shortFault }},
		{"cut from both", func(sim *simulation) {
			sim.storeDownUntil = sim.now + shortFault
			sim.peersCutUntil = sim.now + shortFault
		}},
		{"store down an hour", func(sim *simulation) { sim.storeDownUntil = sim.now + longFault }},
		{"stale read", func(sim *simulation) { sim.staleUntil = sim.now + shortFault }},
		{"answer lost", func(sim *simulation) { sim.answersLostUntil = sim.now + shortFault }},
		{"answers late and crossed", func(sim *simulation) { sim.isReordering = true }},
		{"clock jumps ahead", func(sim *simulation) { sim.clockSkew += longFault }},
		{"clock jumps back", func(sim *simulation) { sim.clockSkew -= longFault }},
		{"operators racing", func(sim *simulation) { sim.acceptChanges(20) }},
	}
}

func steps() []step {
	return []step{stepReadHead, stepConfirmHead, stepFetch, stepApply, stepPublish}
}

// runWithFaults runs one schedule that injects the faults one after the other when
// the router reaches the step. It returns the violation, and whether all were injected.
func runWithFaults(seed uint64, at step, faults ...fault) (string, bool) {
	sim := newSimulation(seed, newCore)
	sim.run(time.Duration(sim.random.IntN(20)) * tickLength)
	pending := faults
	sim.at = func(reached step) {
		if reached != at || len(pending) == 0 || sim.random.IntN(2) == 0 {
			return
		}
		inject := pending[0]
		pending = pending[1:]
		inject.inject(sim)
	}
	sim.runWithChanges()
	if sim.storeDownUntil > sim.now+shortFault {
		sim.run(sim.storeDownUntil - sim.now)
		sim.runWithChanges()
	}
	sim.clearFaults()
	sim.at = nil
	sim.run(catchUpTimeout)
	if sim.violation == "" && sim.router.InForce() != sim.head() {
		sim.violation = fmt.Sprintf("revision %d in force, head %d, %s after all faults ended", sim.router.InForce(), sim.head(), catchUpTimeout)
	}
	return sim.violation, len(pending) == 0
}

func (sim *simulation) runWithChanges() {
	for range 12 {
		sim.acceptChanges(1 + sim.random.IntN(3))
		sim.run(time.Duration(1+sim.random.IntN(12)) * tickLength)
	}
}

// recordCell runs the schedules of a matrix cell. A cell is also broken if less than
// a quarter of them inject every fault, as it would prove nothing.
func recordCell(m *matrix.Matrix, at step, name string, runs int, injected ...fault) {
	completed := 0
	cell := matrix.Cell{Protocol: "configuration", Step: string(at), Fault: name}
	for run := range runs {
		seed := matrix.Seed()<<32 + uint64(run)
		violation, all := runWithFaults(seed, at, injected...)
		if violation != "" {
			m.Record(cell, matrix.Broken, run+1, fmt.Sprintf("seed %d: %s", seed, violation))
			return
		}
		if all {
			completed++
		}
	}
	if completed*4 < runs {
		m.Record(cell, matrix.Broken, runs, fmt.Sprintf("only %d schedules met every fault", completed))
		return
	}
	m.Record(cell, matrix.Held, completed, "")
}

// Guards against a revision that decreases, and a router that stays behind the head,
// after a fault at any step.
func TestFaultsConfiguration(t *testing.T) {
	m := matrix.New(t)
	for _, at := range steps() {
		for _, f := range faults() {
			recordCell(m, at, f.name, matrix.Runs(30), f)
		}
		cell := matrix.Cell{Protocol: "configuration", Step: string(at), Fault: "write answer lost"}
		m.Record(cell, matrix.NotCovered, 0, "this step does not write; see commit and read back")
	}
}

// Guards against the same failures after two consecutive faults at one step. Each
// cell covers one step and first fault with every second fault.
func TestFaultsConfigurationPairs(t *testing.T) {
	m := matrix.New(t)
	for _, at := range steps() {
		for _, first := range faults() {
			recordPairs(m, at, first)
		}
	}
}

func recordPairs(m *matrix.Matrix, at step, first fault) {
	cell := matrix.Cell{Protocol: "configuration", Step: string(at), Fault: first.name + " + each"}
	runs := max(1, matrix.Runs(36)/len(faults()))
	completed, total := 0, 0
	for _, second := range faults() {
		for run := range runs {
			seed := matrix.Seed()<<32 + uint64(run)
			violation, both := runWithFaults(seed, at, first, second)
			total++
			if violation != "" {
				m.Record(cell, matrix.Broken, total, fmt.Sprintf("then %s, seed %d: %s", second.name, seed, violation))
				return
			}
			if both {
				completed++
			}
		}
	}
	if completed == 0 {
		m.Record(cell, matrix.NotCovered, 0, "no schedule reached the step twice")
		return
	}
	m.Record(cell, matrix.Held, completed, fmt.Sprintf("%d second faults, %d of %d schedules met both faults", len(faults()), completed, total))
}

package desired

import (
	"fmt"
	"testing"

	"gentianhead/core/matrix"
)

type namedFault struct {
	name string
	set  func(*faults)
}

// cellFaults returns the faults, each with a probability of a third per call.
func cellFaults() []namedFault {
	const probability = 0.33
	return []namedFault{
		{"kill", func(f *faults) { f.killed = probability }},
		{"pause", func(f *faults) { f.paused = probability }},
		{"store down", func(f *faults) { f.down = probability }},
		{"write answer lost", func(f *faults) { f.lost = probability }},
		{"commit delayed past read back", func(f *faults) { f.delayed = probability }},
		{"stale read", func(f *faults) { f.stale = probability }},
		{"slow", func(f *faults) { f.slow = probability }},
	}
}

// canOccur reports whether the calls of a step can meet a fault.
func canOccur(step callStep, fault string) bool {
	isRead := step == stepReadRows || step == stepReadBack
	switch fault {
	case "write answer lost", "commit delayed past read back":
		return !isRead
	case "stale read":
		return isRead
	}
	return true
}

// injectAt injects the faults at a step. A read back only follows a lost answer.
func injectAt(step callStep, combined ...namedFault) func(*fakeTable) {
	return func(table *fakeTable) {
		var f faults
		for _, added := range combined {
			added.set(&f)
		}
		table.faultsByStep = map[callStep]faults{step: f}
		if step == stepReadBack {
			table.faultsByStep[stepCommit] = faults{lost: 0.5}
		}
	}
}

func recordCell(t *testing.T, m *matrix.Matrix, step callStep, name string, runs int, combined ...namedFault) {
	cell := matrix.Cell{Protocol: "configuration", Step: "write: " + string(step), Fault: name}
	injected := 0
	for run := range runs {
		seed := matrix.Seed()<<32 + uint64(run)
		violation, count := runRace(t, seed, unwrapped, injectAt(step, combined...))
		if violation != "" {
			m.Record(cell, matrix.Broken, run+1, fmt.Sprintf("seed %d: %s", seed, violation))
			return
		}
		injected += count
	}
	if injected == 0 {
		m.Record(cell, matrix.NotCovered, runs, "no schedule met the fault")
		return
	}
	m.Record(cell, matrix.Held, runs, fmt.Sprintf("operators racing; %d faults injected", injected))
}

// Guards against lost, doubled or misreported writes after faults at a step.
func TestFaultsConfigurationWrites(t *testing.T) {
	m := matrix.New(t)
	all := cellFaults()
	for _, step := range []callStep{stepReadRows, stepCommit, stepReadBack, stepConfirm} {
		for i, first := range all {
			if !canOccur(step, first.name) {
				m.Record(matrix.Cell{Protocol: "configuration", Step: "write: " + string(step), Fault: first.name}, matrix.NotCovered, 0, "cannot occur at this step")
				continue
			}
			recordCell(t, m, step, first.name, matrix.Runs(24), first)
			for _, second := range all[i+1:] {
				if canOccur(step, second.name) {
					recordCell(t, m, step, first.name+" + "+second.name, max(1, matrix.Runs(24)/6), first, second)
				}
			}
		}
		for _, fault := range []string{"clock jumps", "cut from peers"} {
			m.Record(matrix.Cell{Protocol: "configuration", Step: "write: " + string(step), Fault: fault}, matrix.NotCovered, 0, "a write uses neither peers nor the wall clock")
		}
	}
}

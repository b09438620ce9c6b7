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

// cellFaults strike a third of the calls of a step.
func cellFaults() []namedFault {
	const share = 0.33
	return []namedFault{
		{"kill", func(f *faults) { f.killed = share }},
		{"pause", func(f *faults) { f.paused = share }},
		{"store down", func(f *faults) { f.down = share }},
		{"write answer lost", func(f *faults) { f.lost = share }},
		{"commit delayed past read back", func(f *faults) { f.delayed = share }},
		{"stale read", func(f *faults) { f.stale = share }},
		{"slow", func(f *faults) { f.slow = share }},
	}
}

// doesApply leaves out faults that the calls of a step cannot meet.
func doesApply(step callStep, fault string) bool {
	isRead := step == stepReadRows || step == stepReadBack
	switch fault {
	case "write answer lost", "commit delayed past read back":
		return !isRead
	case "stale read":
		return isRead
	}
	return true
}

// setAt makes the faults strike at a step. A read back needs a lost answer before it.
func setAt(step callStep, strikes ...namedFault) func(*fakeTable) {
	return func(table *fakeTable) {
		var f faults
		for _, strike := range strikes {
			strike.set(&f)
		}
		table.at = map[callStep]faults{step: f}
		if step == stepReadBack {
			table.at[stepCommit] = faults{lost: 0.5}
		}
	}
}

func recordCell(t *testing.T, m *matrix.Matrix, step callStep, name string, runs int, strikes ...namedFault) {
	cell := matrix.Cell{Protocol: "configuration", Step: "write: " + string(step), Fault: name}
	struck := 0
	for run := range runs {
		seed := matrix.Seed()<<32 + uint64(run)
		broken, met := runRace(t, seed, unwrapped, setAt(step, strikes...))
		if broken != "" {
			m.Record(cell, matrix.Broken, run+1, fmt.Sprintf("seed %d: %s", seed, broken))
			return
		}
		struck += met
	}
	if struck == 0 {
		m.Record(cell, matrix.NotCovered, runs, "no schedule met the fault")
		return
	}
	m.Record(cell, matrix.Held, runs, fmt.Sprintf("operators racing; %d calls struck", struck))
}

func TestFaultsConfigurationWrites(t *testing.T) {
	m := matrix.New(t)
	all := cellFaults()
	for _, step := range []callStep{stepReadRows, stepCommit, stepReadBack, stepConfirm} {
		for i, first := range all {
			if !doesApply(step, first.name) {
				m.Record(matrix.Cell{Protocol: "configuration", Step: "write: " + string(step), Fault: first.name}, matrix.NotCovered, 0, "cannot meet this step")
				continue
			}
			recordCell(t, m, step, first.name, matrix.Runs(24), first)
			for _, second := range all[i+1:] {
				if doesApply(step, second.name) {
					recordCell(t, m, step, first.name+" + "+second.name, max(1, matrix.Runs(24)/6), first, second)
				}
			}
		}
		for _, fault := range []string{"clock jumps", "cut from peers"} {
			m.Record(matrix.Cell{Protocol: "configuration", Step: "write: " + string(step), Fault: fault}, matrix.NotCovered, 0, "a write asks no peer and reads no wall clock")
		}
	}
}

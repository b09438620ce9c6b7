package config

import (
	"fmt"
	"testing"
	"time"

	"gentianhead/core/matrix"
)

// fault is something that goes wrong in a world from now on, for a while.
type fault struct {
	name   string
	strike func(*world)
}

const (
	shortFault = 8 * time.Second
	longFault  = time.Hour
)

func faults() []fault {
	return []fault{
		{"kill and empty start", func(w *world) { w.restart() }},
		{"pause", func(w *world) { w.pausedUntil = w.now + shortFault }},
		{"cut from store", func(w *world) { w.storeDownUntil = w.now + shortFault }},
		{"cut from peers", func(w *world) { w.peersCutUntil = w.now + shortFault }},
		{"cut from both", func(w *world) {
			w.storeDownUntil = w.now + shortFault
			w.peersCutUntil = w.now + shortFault
		}},
		{"store down an hour", func(w *world) { w.storeDownUntil = w.now + longFault }},
		{"stale read", func(w *world) { w.staleUntil = w.now + shortFault }},
		{"answer lost", func(w *world) { w.loseUntil = w.now + shortFault }},
		{"answers late and crossed", func(w *world) { w.isCrossing = true }},
		{"clock jumps ahead", func(w *world) { w.skew += longFault }},
		{"clock jumps back", func(w *world) { w.skew -= longFault }},
		{"operators racing", func(w *world) { w.accept(20) }},
	}
}

func steps() []step {
	return []step{stepReadHead, stepConfirmHead, stepFetch, stepApply, stepPublish}
}

// strikeAt runs one schedule in which faults strike, one after the other, each
// time the router reaches the step. It returns what broke, and whether all struck.
func strikeAt(seed uint64, at step, strikes ...fault) (string, bool) {
	w := newWorld(seed, newCore)
	w.run(time.Duration(w.random.IntN(20)) * tickLength)
	pending := strikes
	w.at = func(reached step) {
		if reached != at || len(pending) == 0 || w.random.IntN(2) == 0 {
			return
		}
		strike := pending[0]
		pending = pending[1:]
		strike.strike(w)
	}
	w.busy()
	if w.storeDownUntil > w.now+shortFault {
		w.run(w.storeDownUntil - w.now)
		w.busy()
	}
	w.heal()
	w.at = nil
	w.run(catchUp)
	if w.broken == "" && w.router.InForce() != w.head() {
		w.broken = fmt.Sprintf("in force %d, head %d, %s after every fault ended", w.router.InForce(), w.head(), catchUp)
	}
	return w.broken, len(pending) == 0
}

// busy lets time pass while changes are accepted.
func (w *world) busy() {
	for range 12 {
		w.accept(1 + w.random.IntN(3))
		w.run(time.Duration(1+w.random.IntN(12)) * tickLength)
	}
}

// recordCell runs a cell's schedules. A cell in which too few schedules reach
// the step with every fault is broken too: it would prove nothing.
func recordCell(m *matrix.Matrix, at step, name string, runs int, strikes ...fault) {
	struck := 0
	cell := matrix.Cell{Protocol: "configuration", Step: string(at), Fault: name}
	for run := range runs {
		seed := matrix.Seed()<<32 + uint64(run)
		broken, all := strikeAt(seed, at, strikes...)
		if broken != "" {
			m.Record(cell, matrix.Broken, run+1, fmt.Sprintf("seed %d: %s", seed, broken))
			return
		}
		if all {
			struck++
		}
	}
	if struck*4 < runs {
		m.Record(cell, matrix.Broken, runs, fmt.Sprintf("only %d schedules were struck", struck))
		return
	}
	m.Record(cell, matrix.Held, struck, "")
}

func TestFaultsConfiguration(t *testing.T) {
	m := matrix.New(t)
	for _, at := range steps() {
		for _, f := range faults() {
			recordCell(m, at, f.name, matrix.Runs(30), f)
		}
		cell := matrix.Cell{Protocol: "configuration", Step: string(at), Fault: "write answer lost"}
		m.Record(cell, matrix.NotCovered, 0, "this step writes nothing; see commit and read back")
	}
}

// TestFaultsConfigurationPairs strikes with two faults at the same step, one
// after the other; every ordered pair is a cell, summed up per step and first fault.
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
	struck, total := 0, 0
	for _, second := range faults() {
		for run := range runs {
			seed := matrix.Seed()<<32 + uint64(run)
			broken, both := strikeAt(seed, at, first, second)
			total++
			if broken != "" {
				m.Record(cell, matrix.Broken, total, fmt.Sprintf("then %s, seed %d: %s", second.name, seed, broken))
				return
			}
			if both {
				struck++
			}
		}
	}
	if struck == 0 {
		m.Record(cell, matrix.NotCovered, 0, "no schedule reaches the step twice")
		return
	}
	m.Record(cell, matrix.Held, struck, fmt.Sprintf("%d second faults, %d of %d schedules struck twice", len(faults()), struck, total))
}

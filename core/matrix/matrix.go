// Package matrix records the verdicts of fault tests and prints them as cells
// of one table, step by fault.
package matrix

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
)

// Verdict is the result of one cell.
type Verdict string

const (
	// Held means that the promise held in every run of the cell.
	Held Verdict = "held"
	// Broken means that a run broke the promise.
	Broken Verdict = "BROKEN"
	// NotCovered cells are listed so that nobody takes them for held.
	NotCovered Verdict = "not covered"
)

// Cell is one step of a protocol under one fault.
type Cell struct {
	Protocol string
	Step     string
	Fault    string
}

// Matrix collects cells. It is safe for concurrent use.
type Matrix struct {
	mu sync.Mutex
	t  *testing.T
}

// New returns a matrix whose broken cells fail t.
func New(t *testing.T) *Matrix {
	return &Matrix{t: t}
}

// Record prints the verdict of a cell after runs runs. scripts/faults.sh
// collects the lines that start with CELL.
func (m *Matrix) Record(cell Cell, verdict Verdict, runs int, note string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fmt.Printf("CELL\t%s\t%s\t%s\t%s\t%d\t%s\n", cell.Protocol, cell.Step, cell.Fault, verdict, runs, note)
	if verdict == Broken {
		m.t.Errorf("%s: %s under %s: %s", cell.Protocol, cell.Step, cell.Fault, note)
	}
}

// Seed returns the seed of this run: the environment variable SEED, or 1.
func Seed() uint64 {
	return uint64(number("SEED", 1))
}

// Runs returns how many schedules a cell should try: the environment variable
// N, or what make check has time for.
func Runs(inCheck int) int {
	return number("N", inCheck)
}

func number(variable string, otherwise int) int {
	value, err := strconv.Atoi(os.Getenv(variable))
	if err != nil || value < 1 {
		return otherwise
	}
	return value
}

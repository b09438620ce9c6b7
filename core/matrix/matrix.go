// Package matrix records the verdicts of fault injection tests and prints them as
// cells of a table of protocol steps and faults.
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
	// Held means that the guarantee held in every run of the cell.
	Held Verdict = "held"
	// Broken means that a run violated the guarantee.
	Broken Verdict = "BROKEN"
	// NotCovered marks cells without a test, so they aren't mistaken for held.
	NotCovered Verdict = "not covered"
)

// Cell is the combination of a protocol step and a fault.
type Cell struct {
	Protocol string
	Step     string
	Fault    string
}

// Matrix records cells. It is safe for concurrent use.
type Matrix struct {
	mu sync.Mutex
	t  *testing.T
}

// New returns a matrix that fails t on each broken cell.
func New(t *testing.T) *Matrix {
	return &Matrix{t: t}
}

// Record prints the verdict of a cell after the given number of runs.
// scripts/faults.sh reads the lines that start with CELL.
func (m *Matrix) Record(cell Cell, verdict Verdict, runs int, note string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fmt.Printf("CELL\t%s\t%s\t%s\t%s\t%d\t%s\n", cell.Protocol, cell.Step, cell.Fault, verdict, runs, note)
	if verdict == Broken {
		m.t.Errorf("%s: %s under %s: %s", cell.Protocol, cell.Step, cell.Fault, note)
	}
}

// Seed returns the seed of this run: the environment variable SEED, by default 1.
func Seed() uint64 {
	return uint64(positiveFromEnv("SEED", 1))
}

// Runs returns how many schedules to run for a cell: the environment variable N, or
// fallback, which should be small enough for make check.
func Runs(fallback int) int {
	return positiveFromEnv("N", fallback)
}

func positiveFromEnv(variable string, fallback int) int {
	value, err := strconv.Atoi(os.Getenv(variable))
	if err != nil || value < 1 {
		return fallback
	}
	return value
}

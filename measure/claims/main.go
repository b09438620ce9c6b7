// Command claims measures the cost of at-most-once requests: the table service
// transactions of the whole fleet at several rates, and the latency that a claim
// adds compared with ordinary requests in the same run.
//
// Seven routers run in this process with one in-memory table, whose commits and
// reads have a fixed latency, and one endpoint on loopback. The program exits
// with 1 when a bound is missed.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

const (
	routers      = 7
	storeLatency = 3 * time.Millisecond
	// commitBudget is a quarter of storeCommitLimit, the table service's capacity in
	// transactions per second.
	commitBudget     = 75
	storeCommitLimit = 300
	warmUpTime       = 8 * time.Second
	measureTime      = 8 * time.Second
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the arrivals")
	flag.Parse()
	if !run(*seed) {
		os.Exit(1)
	}
}

func run(seed uint64) bool {
	fmt.Printf("seed %d, %d routers, store latency %s, counted for %s after %s\n", seed, routers, storeLatency, measureTime, warmUpTime)
	fmt.Printf("%8s %8s | %10s %10s %8s %8s | %9s %9s %9s %9s | %s\n", "asked/s", "done/s", "2 writes/s", "commits/s",
		"of 75/s", "of 300/s", "plain p50", "claim p50", "plain p99", "claim p99", "verdict")
	isMet := true
	for _, rate := range []int{1, 10, 100, 1000} {
		isMet = runRate(seed, rate) && isMet
	}
	return isMet
}

// runRate measures one rate, in requests per second, and prints a row.
func runRate(seed uint64, rate int) bool {
	f := newFleet()
	defer f.close()
	load := newLoad(f, rate, rand.New(rand.NewPCG(seed, uint64(rate))))
	load.run(warmUpTime)
	load.reset()
	f.store.reset()
	load.run(measureTime)
	load.wait()
	commits := float64(f.store.count()) / measureTime.Seconds()
	done := float64(load.completed.Load()) / measureTime.Seconds()
	verdict := "ok"
	if commits > commitBudget {
		verdict = "MISSED: transactions above the budget"
	}
	if failed := load.failed.Load(); failed > 0 {
		verdict = fmt.Sprintf("MISSED: %d answers were not completed", failed)
	}
	if duplicates := f.duplicateExecutions(); duplicates > 0 {
		verdict = fmt.Sprintf("MISSED: %d keys ran more than once", duplicates)
	}
	plain, claim := load.plain.quantiles(), load.claims.quantiles()
	fmt.Printf("%8d %8.1f | %10d %10.1f %7.0f%% %7.0f%% | %9s %9s %9s %9s | %s\n", rate, done, 2*rate, commits,
		100*commits/commitBudget, 100*commits/storeCommitLimit, plain.p50, claim.p50, plain.p99, claim.p99, verdict)
	return verdict == "ok"
}

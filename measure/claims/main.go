// Command claims measures what at-most-once requests cost: transactions of the
// table service for the whole fleet at several rates, and the time that a claim
// adds to a request, side by side with ordinary requests in the same run.
//
// Seven routers run in this process over one table in memory, whose commits and
// reads take a set time, and one endpoint on loopback. The program exits with 1
// when a bound is missed.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

// Bounds and sizes.
const (
	routers = 7
	// storeLatency is the time of one call to the table service.
	storeLatency = 3 * time.Millisecond
	// budget is a quarter of what the table service handles, in transactions a second.
	budget = 75
	// storeLimit is what the table service handles, in transactions a second.
	storeLimit = 300
	warmUp     = 8 * time.Second
	counted    = 8 * time.Second
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the arrivals")
	flag.Parse()
	if !run(*seed) {
		os.Exit(1)
	}
}

func run(seed uint64) bool {
	fmt.Printf("seed %d, %d routers, store latency %s, counted for %s after %s\n", seed, routers, storeLatency, counted, warmUp)
	fmt.Printf("%8s %8s | %10s %10s %8s %8s | %9s %9s %9s %9s | %s\n", "asked/s", "done/s", "2 writes/s", "commits/s",
		"of 75/s", "of 300/s", "plain p50", "claim p50", "plain p99", "claim p99", "verdict")
	isMet := true
	for _, rate := range []int{1, 10, 100, 1000} {
		isMet = runRate(seed, rate) && isMet
	}
	return isMet
}

// runRate asks at a rate, measures and prints one line.
func runRate(seed uint64, rate int) bool {
	f := newFleet()
	defer f.close()
	load := newLoad(f, rate, rand.New(rand.NewPCG(seed, uint64(rate))))
	load.play(warmUp)
	load.reset()
	f.store.reset()
	load.play(counted)
	load.wait()
	commits := float64(f.store.count()) / counted.Seconds()
	done := float64(load.completed.Load()) / counted.Seconds()
	verdict := "ok"
	if commits > budget {
		verdict = "MISSED: transactions above the budget"
	}
	if wrong := load.wrong.Load(); wrong > 0 {
		verdict = fmt.Sprintf("MISSED: %d answers were not completed", wrong)
	}
	if double := f.doubleRuns(); double > 0 {
		verdict = fmt.Sprintf("MISSED: %d keys ran more than once", double)
	}
	plain, claim := load.plain.quantiles(), load.claims.quantiles()
	fmt.Printf("%8d %8.1f | %10d %10.1f %7.0f%% %7.0f%% | %9s %9s %9s %9s | %s\n", rate, done, 2*rate, commits,
		100*commits/budget, 100*commits/storeLimit, plain.p50, claim.p50, plain.p99, claim.p99, verdict)
	return verdict == "ok"
}

// Command configuration measures how fast accepted changes come into force, the
// load on the table service meanwhile, with and without fetching from peers, and
// the cost of a configuration on a router. It exits with 1 when a bound is missed.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"time"
)

const (
	// maxInForce and maxInForceP99 are the targets for the time from accepted to in force.
	maxInForce    = 5 * time.Second
	maxInForceP99 = 2 * time.Second
	// maxStoreReads is a quarter of the platform's limit of 2,000 reads per second.
	maxStoreReads = 500
	// platformReadLimit is in reads per second. A start of the whole fleet may use it all.
	platformReadLimit = 2000
	bursts            = 20
	burstSize         = 20
	// readsPerFullState is the number of reads for the whole store at the design
	// size: two of the head row and three scans.
	readsPerFullState = 5
	fleetRouters      = 410
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of every random choice")
	flag.Parse()
	fmt.Printf("Bursts of %d changes, %d times. Each router reads the head every second or, in a large fleet, %d read it a second;\n"+
		"with peers, each sends a heartbeat to one peer every %s and tells %d peers of a revision that came into force.\n",
		burstSize, bursts, headReadsPerSecond, peerInterval, pushFanout)
	fmt.Printf("%8s %-12s %8s %8s %12s %12s %12s\n", "routers", "fetch from", "p99 s", "max s", "scans/burst", "peers/burst", "most reads/s")
	isMet := true
	for _, routers := range []int{7, 70, 410, 2000} {
		printPropagation(newFleet(routers, *seed, false), "store alone")
		isMet = printPropagation(newFleet(routers, *seed, true), "peers first") && isMet
	}
	fmt.Println("\nReads of the table service until all routers that start at once are ready:")
	printStart(*seed, 350, maxStoreReads, false, "store alone")
	isMet = printStart(*seed, 350, maxStoreReads, true, "peers first") && isMet
	printStart(*seed, 0, platformReadLimit, false, "store alone")
	isMet = printStart(*seed, 0, platformReadLimit, true, "peers first") && isMet
	printCosts()
	if !isMet {
		fmt.Println("MISSED: see the rows that say so.")
		os.Exit(1)
	}
}

// printPropagation measures one fleet and reports whether it meets the targets.
func printPropagation(f *fleet, name string) bool {
	f.appendChanges(1)
	f.runUntilInForce()
	var latencies []time.Duration
	scans, fromPeers, peakReads := 0, 0, 0.0
	for range bursts {
		f.counts = counts{}
		f.appendChanges(burstSize)
		inForce := f.runUntilInForce()
		latencies = append(latencies, inForce...)
		scans += f.counts.storeScans
		fromPeers += f.counts.peerFetches
		reads := float64(f.counts.storeScans+f.counts.headReads) / max(1, slices.Max(inForce).Seconds())
		peakReads = max(peakReads, reads)
	}
	slices.Sort(latencies)
	p99, longest := latencies[len(latencies)*99/100], latencies[len(latencies)-1]
	isMet := p99 <= maxInForceP99 && longest <= maxInForce && peakReads <= maxStoreReads
	fmt.Printf("%8d %-12s %8.2f %8.2f %12.1f %12.1f %12.0f%s\n", len(f.members), name, p99.Seconds(), longest.Seconds(),
		float64(scans)/bursts, float64(fromPeers)/bursts, peakReads, missedSuffix(isMet))
	return isMet
}

// printStart measures how routers start without a configuration while others
// are running, against a bound in reads per second.
func printStart(seed uint64, others int, bound float64, usePeers bool, name string) bool {
	f := newFleet(others+1, seed, usePeers)
	f.appendChanges(burstSize)
	f.runUntilInForce()
	if others == 0 {
		f.members = nil
	}
	f.counts = counts{}
	routers := fleetRouters - others
	f.start(routers)
	longest := slices.Max(f.runUntilInForce())
	reads := f.counts.headReads + f.counts.storeScans + f.counts.storeStates*readsPerFullState
	isMet := float64(reads) <= bound*max(1, longest.Seconds())
	fmt.Printf("  %3d beside %3d, %-12s %5d reads in %.2f s, of which %3d whole reads; %d fetches from peers%s\n",
		routers, others, name, reads, longest.Seconds(), f.counts.storeStates, f.counts.peerFetches, missedSuffix(isMet))
	return isMet
}

func missedSuffix(isMet bool) string {
	if isMet {
		return ""
	}
	return "  MISSED"
}

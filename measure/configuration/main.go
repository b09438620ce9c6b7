// Command configuration measures how fast accepted changes come into force, what
// the table service is asked meanwhile, with and without fetching from peers, and
// what a configuration costs a router. It exits with 1 when a bound is missed.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"time"
)

const (
	// inForceMost and inForceP99 are the targets from acceptance to in force.
	inForceMost = 5 * time.Second
	inForceP99  = 2 * time.Second
	// storeReadsMost is a quarter of the platform's 2,000 reads a second.
	storeReadsMost = 500
	bursts         = 20
	burstSize      = 20
	// scansOfState is how many reads one whole read of the store takes at the
	// design size: two of the head row and three scans.
	scansOfState = 5
	zoneRouters  = 60
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of every random choice")
	flag.Parse()
	fmt.Printf("Bursts of %d changes, %d times. Each router reads the head every second or, in a large fleet, %d read it a second;\n"+
		"with peers, each sends a heartbeat to one peer every %s and tells %d peers of a revision that came into force.\n",
		burstSize, bursts, headReadsPerSecond, peerInterval, pushes)
	fmt.Printf("%8s %-12s %8s %8s %12s %12s %12s\n", "routers", "fetch from", "p99 s", "max s", "scans/burst", "peers/burst", "most reads/s")
	isMet := true
	for _, routers := range []int{7, 70, 410, 2000} {
		printSpread(newFleet(routers, *seed, false), "store alone")
		isMet = printSpread(newFleet(routers, *seed, true), "peers first") && isMet
	}
	fmt.Printf("\n%d routers start at once beside 350 others, reads of the table service until all are ready:\n", zoneRouters)
	printStart(*seed, false, "store alone")
	isMet = printStart(*seed, true, "peers first") && isMet
	printSlopes()
	if !isMet {
		fmt.Println("MISSED: see the rows that say so.")
		os.Exit(1)
	}
}

// printSpread measures one fleet and reports whether it keeps the targets.
func printSpread(f *fleet, name string) bool {
	f.accept(1)
	f.spread()
	var took []time.Duration
	fetched, asked, most := 0, 0, 0.0
	for range bursts {
		f.counts = counts{}
		f.accept(burstSize)
		inForce := f.spread()
		took = append(took, inForce...)
		fetched += f.counts.storeScans
		asked += f.counts.peerFetches
		reads := float64(f.counts.storeScans+f.counts.headReads) / max(1, slices.Max(inForce).Seconds())
		most = max(most, reads)
	}
	slices.Sort(took)
	p99, longest := took[len(took)*99/100], took[len(took)-1]
	isMet := p99 <= inForceP99 && longest <= inForceMost && most <= storeReadsMost
	fmt.Printf("%8d %-12s %8.2f %8.2f %12.1f %12.1f %12.0f%s\n", len(f.members), name, p99.Seconds(), longest.Seconds(),
		float64(fetched)/bursts, float64(asked)/bursts, most, missed(isMet))
	return isMet
}

// printStart measures the empty start of an availability zone's routers.
func printStart(seed uint64, usePeers bool, name string) bool {
	f := newFleet(350, seed, usePeers)
	f.accept(burstSize)
	f.spread()
	f.counts = counts{}
	f.start(zoneRouters)
	longest := slices.Max(f.spread())
	reads := f.counts.headReads + f.counts.storeScans + f.counts.storeStates*scansOfState
	isMet := float64(reads) <= storeReadsMost*max(1, longest.Seconds())
	fmt.Printf("  %-12s %5d reads in %.2f s, of which %d whole reads; %d fetches from peers%s\n",
		name, reads, longest.Seconds(), f.counts.storeStates, f.counts.peerFetches, missed(isMet))
	return isMet
}

func missed(isMet bool) string {
	if isMet {
		return ""
	}
	return "  MISSED"
}

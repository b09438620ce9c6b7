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
	// storeReadsLimit is the platform's limit, for a start of the whole fleet.
	storeReadsLimit = 2000
	bursts          = 20
	burstSize       = 20
	// scansOfState is how many reads one whole read of the store takes at the
	// design size: two of the head row and three scans.
	scansOfState = 5
	fleetRouters = 410
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
	fmt.Println("\nReads of the table service until all routers that start at once are ready:")
	printStart(*seed, 350, storeReadsMost, false, "store alone")
	isMet = printStart(*seed, 350, storeReadsMost, true, "peers first") && isMet
	printStart(*seed, 0, storeReadsLimit, false, "store alone")
	isMet = printStart(*seed, 0, storeReadsLimit, true, "peers first") && isMet
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

// printStart measures the empty start of the routers of a fleet beside others
// that run, against a bound in reads a second.
func printStart(seed uint64, others int, bound float64, usePeers bool, name string) bool {
	f := newFleet(others+1, seed, usePeers)
	f.accept(burstSize)
	f.spread()
	if others == 0 {
		f.members = nil
	}
	f.counts = counts{}
	routers := fleetRouters - others
	f.start(routers)
	longest := slices.Max(f.spread())
	reads := f.counts.headReads + f.counts.storeScans + f.counts.storeStates*scansOfState
	isMet := float64(reads) <= bound*max(1, longest.Seconds())
	fmt.Printf("  %3d beside %3d, %-12s %5d reads in %.2f s, of which %3d whole reads; %d fetches from peers%s\n",
		routers, others, name, reads, longest.Seconds(), f.counts.storeStates, f.counts.peerFetches, missed(isMet))
	return isMet
}

func missed(isMet bool) string {
	if isMet {
		return ""
	}
	return "  MISSED"
}

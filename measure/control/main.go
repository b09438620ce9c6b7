// Command control measures what the control plane costs and how fast it is, with
// many gossip cores in one process in virtual time. It prints tables and exits
// with 1 if a bound is missed.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"gentianhead/core/process/gossip/gossiptest"
)

// Bounds, from the users' targets.
const (
	// maxBytesPerSecond is what one router may send for control.
	maxBytesPerSecond = 3500
	// maxReadsPerSecond and maxWritesPerSecond are a quarter of the platform's limits.
	maxReadsPerSecond  = 500
	maxWritesPerSecond = 75
	// inForceP99 and inForceMax bound the time from accepted to in force.
	inForceP99 = 2 * time.Second
	inForceMax = 5 * time.Second
	// withdrawalMax bounds the time from a withdrawal to the last new request.
	withdrawalMax = 2 * time.Second
	// maxCPUPercent is what one router may spend of a core on control.
	maxCPUPercent = 3.8
	// maxControlBytes is the memory that a router may spend on control.
	maxControlBytes = 128 << 20
	// maxSlope is how much a router's bytes may grow per doubling of the fleet
	// above baseSize, as a share.
	maxSlope = 0.05
	baseSize = 410
)

// verdict collects missed bounds.
type verdict struct{ missed []string }

// check prints one bound and takes note of a miss.
func (v *verdict) check(what string, measured, bound float64, unit string) {
	result := "ok"
	if measured > bound {
		result = "MISSED"
		v.missed = append(v.missed, what)
	}
	fmt.Printf("  bound %-52s %10.3f of %10.3f %-9s %s\n", what, measured, bound, unit, result)
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the run")
	large := flag.Bool("large", false, "measure 5,000 routers too, which takes some gigabytes")
	flag.Parse()
	v := &verdict{}
	sizes := []int{7, 70, baseSize, 2000}
	if *large {
		sizes = append(sizes, 5000)
	}
	fmt.Println("bytes are encoded frames, with the handshake of each new connection")
	results := make(map[int]steadyResult)
	for _, size := range sizes {
		results[size] = measureSteady(v, size, *seed)
	}
	printSlope(v, sizes, results)
	measureInForce(v, baseSize, *seed)
	measureWithdrawal(v, baseSize, *seed)
	measureStart(v, *seed)
	measureBaselines(*seed)
	if len(v.missed) > 0 {
		fmt.Println("missed bounds:", v.missed)
		os.Exit(1)
	}
}

// newFleet returns a fleet of size routers in 15 availability zones.
func newFleet(size int, seed uint64, traffic *traffic) *gossiptest.Fleet {
	options := gossiptest.Options{Size: size, Zones: 15, Seed: seed, Latency: 5 * time.Millisecond}
	if traffic != nil {
		options.OnSend = traffic.note
	}
	fleet := gossiptest.New(options)
	if traffic != nil {
		traffic.now = func() time.Time { return fleet.Now }
	}
	fleet.Platform.Head = 1
	return fleet
}

// Command control measures the cost and latency of the control plane by running
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

// Bounds, from the users' targets, and the size of the reference fleet.
const (
	// maxBytesPerSecond limits the control traffic sent by one router.
	maxBytesPerSecond = 3500
	// maxReadsPerSecond and maxWritesPerSecond are a quarter of the platform's limits.
	maxReadsPerSecond  = 500
	maxWritesPerSecond = 75
	// maxInForceP99 and maxInForce limit the time from accepted to in force.
	maxInForceP99 = 2 * time.Second
	maxInForce    = 5 * time.Second
	// maxWithdrawal limits the time from a withdrawal to the last new request.
	maxWithdrawal = 2 * time.Second
	// maxCPUPercent, of one core, and maxMemoryBytes limit what a router uses for control.
	maxCPUPercent  = 3.8
	maxMemoryBytes = 128 << 20
	// maxGrowthPerDoubling limits the relative growth of a router's control traffic
	// when the fleet doubles above baseSize.
	maxGrowthPerDoubling = 0.05
	baseSize             = 410
)

// boundChecks collects missed bounds.
type boundChecks struct{ missed []string }

// check prints one bound and records a miss.
func (v *boundChecks) check(what string, measured, bound float64, unit string) {
	result := "ok"
	if measured > bound {
		result = "MISSED"
		v.missed = append(v.missed, what)
	}
	fmt.Printf("  bound %-52s %10.3f of %10.3f %-9s %s\n", what, measured, bound, unit, result)
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the run")
	large := flag.Bool("large", false, "also measure 5,000 routers; needs several gigabytes of memory")
	flag.Parse()
	v := &boundChecks{}
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

func newFleet(size int, seed uint64, traffic *traffic) *gossiptest.Fleet {
	options := gossiptest.Options{Size: size, Zones: 15, Seed: seed, Latency: 5 * time.Millisecond}
	if traffic != nil {
		options.OnSend = traffic.record
	}
	fleet := gossiptest.New(options)
	if traffic != nil {
		traffic.now = func() time.Time { return fleet.Now }
	}
	fleet.Platform.Head = 1
	return fleet
}

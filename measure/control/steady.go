package main

import (
	"fmt"
	"math"
	"runtime"
	"time"

	"gentianhead/core/process/pacing"
)

// steadyResult is the cost of an idle fleet, in control bytes per second and router.
type steadyResult struct{ bytes float64 }

const (
	settleTime = 15 * time.Second
	steadyTime = 20 * time.Second
)

// measureSteady runs an idle fleet and measures traffic, reads, CPU (as wall time)
// and memory.
func measureSteady(v *boundChecks, size int, seed uint64) steadyResult {
	before := heapBytes()
	t := newTraffic()
	fleet := newFleet(size, seed, t)
	fleet.Run(settleTime)
	heapPerPeer := float64(heapBytes()-before) / float64(size*size)
	t.reset()
	reads, lists := fleet.Platform.Reads, fleet.Platform.Lists
	start := time.Now()
	fleet.Run(steadyTime)
	cpu := time.Since(start).Seconds() / steadyTime.Seconds() / float64(size) * 100
	mean, largest := t.perSecond(size, steadyTime)
	readRate := float64(fleet.Platform.Reads-reads) / steadyTime.Seconds()
	listRate := float64(fleet.Platform.Lists-lists) / steadyTime.Seconds()
	mean += readRate / float64(size) * headReadBytes
	mean += listRate / float64(size) * listReadBytes
	writeRate := float64(size) / pacing.RegistrationInterval.Seconds()
	fmt.Printf("fleet of %d, at rest for %v\n", size, steadyTime)
	fmt.Printf("  per router: %.0f B/s sent in the mean (%.0f by the busiest to its peers), largest frame %d B, %.1f heartbeats/s and answers, %.2f new connections/s\n",
		mean, largest, t.largest, float64(t.heartbeats)/float64(size)/steadyTime.Seconds(), float64(t.handshakes)/float64(size)/steadyTime.Seconds())
	fmt.Printf("  per router: %.3f%% of a core with driver and encoding, %.0f B of heap for each peer it knows (%.2f MB)\n", cpu, heapPerPeer, heapPerPeer*float64(size)/(1<<20))
	fmt.Printf("  whole fleet: %.1f head reads/s, %.1f list reads/s, %.1f registrations/s\n", readRate, listRate, writeRate)
	v.check(fmt.Sprintf("control bytes per router at %d", size), largest, maxBytesPerSecond, "B/s")
	v.check(fmt.Sprintf("reads of the fleet at %d", size), readRate+listRate, maxReadsPerSecond, "1/s")
	v.check(fmt.Sprintf("writes of the fleet at %d", size), writeRate, maxWritesPerSecond, "1/s")
	v.check(fmt.Sprintf("CPU per router at %d", size), cpu, maxCPUPercent, "% core")
	v.check(fmt.Sprintf("memory per router at %d", size), heapPerPeer*float64(size), maxMemoryBytes, "B")
	runtime.KeepAlive(fleet)
	return steadyResult{bytes: mean}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func printSlope(v *boundChecks, sizes []int, results map[int]steadyResult) {
	fmt.Println("bytes per router and second over the size of the fleet")
	for i := 1; i < len(sizes); i++ {
		small, big := sizes[i-1], sizes[i]
		doublings := math.Log2(float64(big) / float64(small))
		growth := (results[big].bytes/results[small].bytes - 1) / doublings
		fmt.Printf("  %5d to %5d: %6.0f to %6.0f B/s, %+.1f%% for each doubling\n", small, big, results[small].bytes, results[big].bytes, growth*100)
		if small >= baseSize {
			v.check(fmt.Sprintf("growth per doubling from %d to %d", small, big), growth, maxGrowthPerDoubling, "share")
		}
	}
}

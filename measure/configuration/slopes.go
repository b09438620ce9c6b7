package main

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"gentianhead/core/version/config"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/frame"
	"gentianhead/fleet/connection/peer"
)

const (
	// Numbers of objects at the design size.
	designAccounts  = 1000
	designEndpoints = 1100
	designModels    = 23
	// changesMeasured is the number of changes applied one by one.
	changesMeasured     = 500
	designChangesPerDay = 2200
	secondsPerDay       = 24 * 60 * 60
)

// newConfiguration returns a configuration whose numbers of accounts and endpoints
// are the given percentage of the design size.
func newConfiguration(percent int) []resource.Object {
	var objects []resource.Object
	add := func(o resource.Object) {
		o.Revision = resource.Revision(len(objects) + 1)
		objects = append(objects, o)
	}
	for i := range designModels {
		add(resource.Object{Kind: resource.KindModel, Name: modelName(i), Model: &resource.Model{LoadBound: 1.25, ReuseWeight: 0.5}})
	}
	for i := range designAccounts * percent / 100 {
		add(resource.Object{Kind: resource.KindAccount, Name: fmt.Sprintf("account-%04d", i), Account: &resource.Account{
			TokenSHA256: fmt.Sprintf("%064x", i), RequestsPerSecond: 10, Weight: 2,
		}})
	}
	for i := range designEndpoints * percent / 100 {
		add(resource.Object{Kind: resource.KindEndpoint, Name: fmt.Sprintf("endpoint-%04d", i), Endpoint: &resource.Endpoint{
			URL: fmt.Sprintf("http://10.0.%d.%d:8000", i/250, i%250), Zone: fmt.Sprintf("zone-%d", i%15),
			Models: []string{modelName(i), modelName(i + 1)},
		}})
	}
	return objects
}

func modelName(i int) string {
	return fmt.Sprintf("model-%02d", i%designModels)
}

// configCost is the cost of a configuration on a router.
type configCost struct {
	objects, heapBytes, fullStateBytes, changeBytes int
	perChange, perFullState                         time.Duration
}

func frameBytes(answer peer.ChangesAnswer) int {
	encoded, err := frame.Encode(peer.TypeChanges, 1, answer)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}

func heapInUse() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// cpuTime returns the CPU time of all threads so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func measureCost(percent int) configCost {
	before := heapInUse()
	objects := newConfiguration(percent)
	core := config.New(1)
	core.Step(config.StoreHead{IsConfirmed: true})
	start := cpuTime()
	core.Step(config.State{Revision: resource.Revision(len(objects)), Objects: objects})
	core.Advance()
	cost := configCost{objects: len(objects), perFullState: cpuTime() - start}
	cost.fullStateBytes = frameBytes(peer.ChangesAnswer{Changes: objects, IsSnapshot: true, Revision: core.InForce()})
	changed := objects[len(objects)-1]
	objects = nil
	cost.heapBytes = heapInUse() - before

	start = cpuTime()
	for range changesMeasured {
		changed.Revision++
		core.Step(config.Changes{Objects: []resource.Object{changed}})
		core.Advance()
	}
	cost.perChange = (cpuTime() - start) / changesMeasured
	request := peer.ChangesRequest{After: changed.Revision}
	encoded, err := frame.Encode(peer.TypeChanges, 1, request)
	if err != nil {
		panic(err)
	}
	cost.changeBytes = len(encoded) + frameBytes(peer.ChangesAnswer{Changes: []resource.Object{changed}, Revision: changed.Revision})
	runtime.KeepAlive(core)
	return cost
}

func printCosts() {
	fmt.Println("\nCost of the configuration for one router, in processor time of all threads; the design size has 2,123 objects.")
	fmt.Printf("%8s %10s %12s %12s %12s %12s %12s %14s\n",
		"objects", "heap KB", "B an object", "whole KB", "B a change", "µs a change", "µs a whole", "B/s at 2200/d")
	for _, percent := range []int{10, 50, 100, 200} {
		cost := measureCost(percent)
		fmt.Printf("%8d %10d %12d %12d %12d %12d %12d %14.2f\n", cost.objects, cost.heapBytes>>10, cost.heapBytes/cost.objects,
			cost.fullStateBytes>>10, cost.changeBytes, cost.perChange.Microseconds(), cost.perFullState.Microseconds(),
			float64(cost.changeBytes)*designChangesPerDay/secondsPerDay)
	}
}

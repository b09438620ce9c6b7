package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gentianhead/core/process/gossip"
	"gentianhead/core/process/gossip/gossiptest"
	"gentianhead/core/process/withdrawal"
	"gentianhead/core/version/resource"
)

const (
	changesPerDay = 2200
	burstSize     = 20
	// changeRounds counts single changes and bursts.
	changeRounds = 15
	stepInterval = 10 * time.Millisecond
)

// pendingChange tracks one accepted change until it is in force on all routers.
type pendingChange struct {
	revision resource.Revision
	at       time.Time
	pending  map[*gossiptest.Router]bool
}

// measureInForce tracks changes at the daily rate; every third one is a burst.
func measureInForce(v *boundChecks, size int, seed uint64) {
	t := newTraffic()
	fleet := newFleet(size, seed, t)
	fleet.Run(settleTime)
	t.reset()
	start := fleet.Now
	random := rand.New(rand.NewPCG(seed, 3))
	var latencies []time.Duration
	for i := range changeRounds {
		count := 1
		if i%3 == 0 {
			count = burstSize
		}
		for range count {
			fleet.Platform.Head++
			latencies = append(latencies, waitInForce(fleet, fleet.Platform.Head, count > 1)...)
		}
		pause := random.ExpFloat64() * 24 * 3600 / changesPerDay
		fleet.Run(time.Duration(pause * float64(time.Second)))
	}
	slices.Sort(latencies)
	p99 := latencies[len(latencies)*99/100]
	longest := latencies[len(latencies)-1]
	mean, largest := t.perSecond(size, fleet.Now.Sub(start))
	fmt.Printf("accepted to in force, %d routers, %d changes of which %d in bursts of %d, accepted while the routers only poll\n",
		size, fleet.Platform.Head-1, changeRounds/3*burstSize, burstSize)
	fmt.Printf("  p50 %v, p99 %v, max %v over %d; %.0f B/s sent per router in the mean, %.0f by the busiest\n",
		latencies[len(latencies)/2], p99, longest, len(latencies), mean, largest)
	v.check("time to in force, 99 in 100", p99.Seconds(), maxInForceP99.Seconds(), "s")
	v.check("time to in force, always", longest.Seconds(), maxInForce.Seconds(), "s")
	v.check("control bytes per router under changes", largest, maxBytesPerSecond, "B/s")
}

// waitInForce returns how long each router took to put the revision, or a newer
// one, in force. In a burst it returns once more than half of the routers have it,
// if within maxInForce, for the next change.
func waitInForce(fleet *gossiptest.Fleet, revision resource.Revision, isBurst bool) []time.Duration {
	change := pendingChange{revision: revision, at: fleet.Now, pending: make(map[*gossiptest.Router]bool)}
	for _, r := range fleet.Routers {
		change.pending[r] = true
	}
	var latencies []time.Duration
	for len(change.pending) > 0 && fleet.Now.Sub(change.at) < 60*time.Second {
		fleet.Run(stepInterval)
		for r := range change.pending {
			if r.InForce >= revision {
				latencies = append(latencies, fleet.Now.Sub(change.at))
				delete(change.pending, r)
			}
		}
		if isBurst && 2*len(change.pending) < len(fleet.Routers) && fleet.Now.Sub(change.at) < maxInForce {
			break
		}
	}
	for range change.pending {
		if !isBurst {
			latencies = append(latencies, fleet.Now.Sub(change.at))
		}
	}
	return latencies
}

// measureWithdrawal measures, for each source of a withdrawal, the time until
// the last router stops sending new requests to the endpoint.
func measureWithdrawal(v *boundChecks, size int, seed uint64) {
	fmt.Printf("withdrawal to last new request, %d routers\n", size)
	triggers := []struct {
		name     string
		withdraw func(*gossiptest.Fleet)
	}{
		{"by the endpoint's own answer", func(f *gossiptest.Fleet) {
			f.Routers[size/2].Core.Step(gossip.Refused{At: f.Now, Address: endpointAddress(0)})
		}},
		{"by the platform's list, from when it shows it", func(f *gossiptest.Fleet) {
			changed := slices.Clone(f.Platform.Endpoints)
			changed[0].IsLeaving = true
			f.Platform.Endpoints = changed
		}},
		{"by the operator", func(f *gossiptest.Fleet) { f.Platform.Head++ }},
	}
	for _, trigger := range triggers {
		var longest time.Duration
		for round := range uint64(3) {
			longest = max(longest, lastNewRequest(size, seed+round, trigger.withdraw))
		}
		v.check("withdrawal "+trigger.name, longest.Seconds(), maxWithdrawal.Seconds(), "s")
	}
}

func endpointAddress(i int) string {
	return fmt.Sprintf("10.200.%d.%d:8000", i/250, i%250)
}

// lastNewRequest returns the time from a withdrawal to the last new request.
func lastNewRequest(size int, seed uint64, withdraw func(*gossiptest.Fleet)) time.Duration {
	fleet := newFleet(size, seed, nil)
	for i := range 1100 {
		fleet.Platform.Endpoints = append(fleet.Platform.Endpoints, withdrawal.ListedEndpoint{Address: endpointAddress(i)})
	}
	fleet.Run(settleTime)
	revision := fleet.Platform.Head
	withdraw(fleet)
	start := fleet.Now
	last := start
	for fleet.Now.Sub(start) < 20*time.Second && fleet.Now.Sub(last) < 3*time.Second {
		fleet.Run(stepInterval)
		for _, r := range fleet.Routers {
			if fleet.IsSendingWork(r) && !r.Core.Withdrawn().Has(endpointAddress(0)) && r.InForce == revision {
				last = fleet.Now
			}
		}
	}
	return last.Sub(start)
}

func measureStart(v *boundChecks, seed uint64) {
	fmt.Println("60 routers of an availability zone start at once beside 350")
	fleet := newFleet(baseSize, seed, nil)
	fleet.Run(settleTime)
	for _, r := range fleet.Routers[:60] {
		fleet.Start(r)
	}
	start, peakReads, peakWrites := fleet.Now, 0, 0
	for fleet.Now.Sub(start) < 10*time.Second {
		readsBefore, writesBefore := fleet.Platform.Reads+fleet.Platform.Lists, fleet.Platform.Writes
		fleet.Run(time.Second)
		peakWrites = max(peakWrites, fleet.Platform.Writes-writesBefore)
		peakReads = max(peakReads, fleet.Platform.Reads+fleet.Platform.Lists-readsBefore)
	}
	v.check("reads in the worst second of the start", float64(peakReads), maxReadsPerSecond, "1/s")
	v.check("writes in the worst second of the start", float64(peakWrites), maxWritesPerSecond, "1/s")
	for _, r := range fleet.Routers {
		if !fleet.IsSendingWork(r) {
			v.missed = append(v.missed, "a router that started is not ready after 10 s")
			break
		}
	}
}

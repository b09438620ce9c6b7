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
	burst         = 20
	// changesMeasured is how many changes are followed.
	changesMeasured = 15
	step            = 10 * time.Millisecond
)

// acceptance follows one change until it is in force everywhere.
type acceptance struct {
	revision resource.Revision
	at       time.Time
	pending  map[*gossiptest.Router]bool
}

// measureInForce follows changes at the daily rate, each third one a burst.
func measureInForce(v *verdict, size int, seed uint64) {
	t := newTraffic()
	fleet := newFleet(size, seed, t)
	fleet.Run(settleTime)
	t.reset()
	began := fleet.Now
	random := rand.New(rand.NewPCG(seed, 3))
	var took []time.Duration
	for i := range changesMeasured {
		count := 1
		if i%3 == 0 {
			count = burst
		}
		for range count {
			fleet.Platform.Head++
			took = append(took, follow(fleet, fleet.Platform.Head, count > 1)...)
		}
		pause := random.ExpFloat64() * 24 * 3600 / changesPerDay
		fleet.Run(time.Duration(pause * float64(time.Second)))
	}
	slices.Sort(took)
	p99 := took[len(took)*99/100]
	longest := took[len(took)-1]
	mean, largest := t.perSecond(size, fleet.Now.Sub(began))
	fmt.Printf("accepted to in force, %d routers, %d changes of which %d in bursts of %d, accepted while the routers only poll\n",
		size, fleet.Platform.Head-1, changesMeasured/3*burst, burst)
	fmt.Printf("  p50 %v, p99 %v, max %v over %d; %.0f B/s sent per router in the mean, %.0f by the busiest\n",
		took[len(took)/2], p99, longest, len(took), mean, largest)
	v.check("time to in force, 99 in 100", p99.Seconds(), inForceP99.Seconds(), "s")
	v.check("time to in force, always", longest.Seconds(), inForceMax.Seconds(), "s")
	v.check("control bytes per router under changes", largest, maxBytesPerSecond, "B/s")
}

// follow returns how long each router took until the revision, or a newer one,
// was in force. In a burst the next change comes as soon as half have this one.
func follow(fleet *gossiptest.Fleet, revision resource.Revision, isBurst bool) []time.Duration {
	a := acceptance{revision: revision, at: fleet.Now, pending: make(map[*gossiptest.Router]bool)}
	for _, r := range fleet.Routers {
		a.pending[r] = true
	}
	var took []time.Duration
	for len(a.pending) > 0 && fleet.Now.Sub(a.at) < 60*time.Second {
		fleet.Run(step)
		for r := range a.pending {
			if r.InForce >= revision {
				took = append(took, fleet.Now.Sub(a.at))
				delete(a.pending, r)
			}
		}
		if isBurst && 2*len(a.pending) < len(fleet.Routers) && fleet.Now.Sub(a.at) < inForceMax {
			break
		}
	}
	for range a.pending {
		if !isBurst {
			took = append(took, fleet.Now.Sub(a.at))
		}
	}
	return took
}

// measureWithdrawal measures the time to the last router that would still send
// new work, for each way in which a withdrawal is learned.
func measureWithdrawal(v *verdict, size int, seed uint64) {
	fmt.Printf("withdrawal to last new request, %d routers\n", size)
	ways := []struct {
		name     string
		withdraw func(*gossiptest.Fleet)
	}{
		{"by the endpoint's own answer", func(f *gossiptest.Fleet) {
			f.Routers[size/2].Core.Step(gossip.Refused{At: f.Now, Address: address(0)})
		}},
		{"by the platform's list, from when it shows it", func(f *gossiptest.Fleet) {
			changed := slices.Clone(f.Platform.Endpoints)
			changed[0].IsLeaving = true
			f.Platform.Endpoints = changed
		}},
		{"by the operator", func(f *gossiptest.Fleet) { f.Platform.Head++ }},
	}
	for _, way := range ways {
		var longest time.Duration
		for round := range uint64(3) {
			longest = max(longest, lastNewRequest(size, seed+round, way.withdraw))
		}
		v.check("withdrawal "+way.name, longest.Seconds(), withdrawalMax.Seconds(), "s")
	}
}

func address(i int) string {
	return fmt.Sprintf("10.200.%d.%d:8000", i/250, i%250)
}

func lastNewRequest(size int, seed uint64, withdraw func(*gossiptest.Fleet)) time.Duration {
	fleet := newFleet(size, seed, nil)
	for i := range 1100 {
		fleet.Platform.Endpoints = append(fleet.Platform.Endpoints, withdrawal.ListedEndpoint{Address: address(i)})
	}
	fleet.Run(settleTime)
	revision := fleet.Platform.Head
	withdraw(fleet)
	began := fleet.Now
	last := began
	for fleet.Now.Sub(began) < 20*time.Second && fleet.Now.Sub(last) < 3*time.Second {
		fleet.Run(step)
		for _, r := range fleet.Routers {
			if fleet.IsSendingWork(r) && !r.Core.Withdrawn().Has(address(0)) && r.InForce == revision {
				last = fleet.Now
			}
		}
	}
	return last.Sub(began)
}

// measureStart starts the 60 routers of an availability zone at once.
func measureStart(v *verdict, seed uint64) {
	fmt.Println("60 routers of an availability zone start at once beside 350")
	fleet := newFleet(baseSize, seed, nil)
	fleet.Run(settleTime)
	for _, r := range fleet.Routers[:60] {
		fleet.Start(r)
	}
	began, most, mostWrites := fleet.Now, 0, 0
	for fleet.Now.Sub(began) < 10*time.Second {
		before, writes := fleet.Platform.Reads+fleet.Platform.Lists, fleet.Platform.Writes
		fleet.Run(time.Second)
		mostWrites = max(mostWrites, fleet.Platform.Writes-writes)
		most = max(most, fleet.Platform.Reads+fleet.Platform.Lists-before)
	}
	v.check("reads in the worst second of the start", float64(most), maxReadsPerSecond, "1/s")
	v.check("writes in the worst second of the start", float64(mostWrites), maxWritesPerSecond, "1/s")
	for _, r := range fleet.Routers {
		if !fleet.IsSendingWork(r) {
			v.missed = append(v.missed, "a router that started is not ready after 10 s")
			break
		}
	}
}

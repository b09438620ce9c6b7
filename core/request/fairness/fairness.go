// Package fairness divides the capacity of an overloaded service among client
// accounts by weighted max-min fairness.
//
// Demand is served up to a common level, so when one account sends many times its
// usual load to a full service, that account's requests are refused and the
// others' are not.
//
// Each router decides from its own traffic. Callers are spread over the routers,
// so each sees about the same mix.
//
// The package has no I/O, clock or goroutine; the owner serializes calls. Times
// are readings of a monotonic clock.
package fairness

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// timeConstant is the time constant of the moving average of demand: long enough
	// for some requests of each account, short compared with a surge.
	timeConstant = 2 * time.Second
	// maxFlows bounds the number of tracked flows.
	maxFlows = 4096
	// minDemand is the demand, in requests, below which a flow is dropped.
	minDemand = 0.01
	// rankWeight is the weight of a rank relative to the next more urgent one: half,
	// so that the more urgent rank is preferred without starving the other.
	rankWeight = 0.5
)

// Flow is the identity of a flow: an account's requests of one rank.
type Flow struct {
	// Account is empty for anonymous requests.
	Account string
	// Rank orders requests; 0 is the most urgent.
	Rank int
}

func (f Flow) weight() float64 { return math.Pow(rankWeight, float64(max(0, f.Rank))) }

// DemandTracker tracks the demand for one service. The zero value is ready to use.
type DemandTracker struct {
	demand map[Flow]float64
	// served counts the requests served, where the owner records them.
	served map[Flow]float64
	// requests and refused are request counts that decay like demand.
	requests, refused float64
	decayedAt         time.Duration
}

// Record records a request for the service, whether it is served or not.
func (s *DemandTracker) Record(now time.Duration, flow Flow) {
	if s.demand == nil {
		s.demand = make(map[Flow]float64)
	}
	s.decay(now)
	s.requests++
	if _, known := s.demand[flow]; known || len(s.demand) < maxFlows {
		s.demand[flow]++
	}
}

// Rate returns the moving average of the demand in requests per second.
func (s *DemandTracker) Rate() float64 { return s.requests / timeConstant.Seconds() }

// RecordServed records that a request of a flow is served.
func (s *DemandTracker) RecordServed(flow Flow) {
	if _, isTracked := s.demand[flow]; isTracked {
		if s.served == nil {
			s.served = make(map[Flow]float64)
		}
		s.served[flow]++
	}
}

// RecordRefusal records that the latest request passed to Record is refused.
func (s *DemandTracker) RecordRefusal() { s.refused++ }

// RefusedFraction returns the moving average of the fraction of requests refused.
func (s *DemandTracker) RefusedFraction() float64 {
	if s.requests == 0 {
		return 0
	}
	return min(1, s.refused/s.requests)
}

// decay applies the exponential decay, at most once per tenth of the time constant,
// which is accurate enough and keeps the cost low under load.
func (s *DemandTracker) decay(now time.Duration) {
	passed := now - s.decayedAt
	if passed < timeConstant/10 {
		return
	}
	s.decayedAt = now
	factor := math.Exp(-float64(passed) / float64(timeConstant))
	s.requests, s.refused = s.requests*factor, s.refused*factor
	for flow, demand := range s.demand {
		if demand *= factor; demand < minDemand {
			delete(s.demand, flow)
			delete(s.served, flow)
		} else {
			s.demand[flow] = demand
		}
	}
	for flow, served := range s.served {
		s.served[flow] = served * factor
	}
}

// RefusalFraction returns the fraction of a flow's requests to refuse; overall is the
// fraction of all requests to refuse, and applies to flows without demand.
func (s *DemandTracker) RefusalFraction(flow Flow, overall float64) float64 {
	demand := s.demand[flow]
	if overall <= 0 || demand == 0 {
		return max(0, overall)
	}
	if overall >= 1 {
		return 1
	}
	return 1 - min(1, s.level(1-overall)*flow.weight()/demand)
}

// IsAboveShare reports whether more of a flow's latest requests were served than its fair
// share, if the given fraction of all demand can be served.
func (s *DemandTracker) IsAboveShare(flow Flow, accepted float64) bool {
	return s.served[flow] > s.level(accepted)*flow.weight()
}

// level returns the demand up to which a flow of weight one is served; accepted is
// the fraction of all demand that is served. Capacity that flows below the level
// don't use is divided among the others.
func (s *DemandTracker) level(accepted float64) float64 {
	type need struct{ level, demand, weight float64 }
	needs := make([]need, 0, len(s.demand))
	capacity, weights := 0.0, 0.0
	for flow, demand := range s.demand {
		weight := flow.weight()
		needs = append(needs, need{demand / weight, demand, weight})
		capacity += accepted * demand
		weights += weight
	}
	slices.SortFunc(needs, func(a, b need) int { return cmp.Compare(a.level, b.level) })
	for _, n := range needs {
		if n.level*weights > capacity {
			return capacity / weights
		}
		capacity -= n.demand
		weights -= n.weight
	}
	return math.Inf(1)
}

// Package fairness divides what a service can take among client accounts while
// they ask for more.
//
// The load pattern: one account sends many times its usual, and the service is
// full. What each account asks for is served up to a common level, so that the
// account that caused the surge bears it, and the others do not notice.
//
// Every router decides by what it sees itself. Callers spread over the routers, so
// each sees about the same mix.
//
// The core has no I/O, clock or goroutine; the owner serializes calls. Times are
// readings of a steady clock.
package fairness

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// memory is the time over which demand is averaged: some requests of each
	// account, and a small part of a surge.
	memory = 2 * time.Second
	// maxAsked bounds the askers that are remembered.
	maxAsked = 4096
	// forgotten is the demand below which an asker is dropped.
	forgotten = 0.01
	// rankWeight times its weight is what the next less urgent rank weighs: half, so
	// that a rank goes first without the next one being starved.
	rankWeight = 0.5
)

// Asker is who asks: an account's requests of one rank.
type Asker struct {
	// Account is empty for anonymous requests.
	Account string
	// Rank orders requests; 0 is the most urgent.
	Rank int
}

func (a Asker) weight() float64 { return math.Pow(rankWeight, float64(max(0, a.Rank))) }

// Shares holds the demand for one service. The zero value is ready.
type Shares struct {
	demand map[Asker]float64
	// asked and refused are the sums over the same time.
	asked, refused float64
	at             time.Duration
}

// Note takes a request that asks for the service, whether it is served or not.
func (s *Shares) Note(now time.Duration, asker Asker) {
	if s.demand == nil {
		s.demand = make(map[Asker]float64)
	}
	s.decay(now)
	s.asked++
	if _, known := s.demand[asker]; known || len(s.demand) < maxAsked {
		s.demand[asker]++
	}
}

// Refused notes that the request that was noted last is refused.
func (s *Shares) Refused() { s.refused++ }

// Recent returns the share of requests that were refused lately.
func (s *Shares) Recent() float64 {
	if s.asked == 0 {
		return 0
	}
	return min(1, s.refused/s.asked)
}

// decay lets old demand fade. Steps are a tenth of the memory, which is exact
// enough and cheap under load.
func (s *Shares) decay(now time.Duration) {
	passed := now - s.at
	if passed < memory/10 {
		return
	}
	s.at = now
	factor := math.Exp(-float64(passed) / float64(memory))
	s.asked, s.refused = s.asked*factor, s.refused*factor
	for asker, demand := range s.demand {
		if demand *= factor; demand < forgotten {
			delete(s.demand, asker)
		} else {
			s.demand[asker] = demand
		}
	}
}

// Refusal returns the share of an asker's requests to refuse so that the share
// overall of all requests is refused.
func (s *Shares) Refusal(asker Asker, overall float64) float64 {
	demand := s.demand[asker]
	if overall <= 0 || demand == 0 {
		return max(0, overall)
	}
	if overall >= 1 {
		return 1
	}
	return 1 - min(1, s.level(1-overall)*asker.weight()/demand)
}

// level returns the demand up to which an asker of weight one is served, if the
// part accepted of all demand is. What askers below the level leave is divided
// among the others.
func (s *Shares) level(accepted float64) float64 {
	type need struct{ level, demand, weight float64 }
	needs := make([]need, 0, len(s.demand))
	room, weights := 0.0, 0.0
	for asker, demand := range s.demand {
		weight := asker.weight()
		needs = append(needs, need{demand / weight, demand, weight})
		room += accepted * demand
		weights += weight
	}
	slices.SortFunc(needs, func(a, b need) int { return cmp.Compare(a.level, b.level) })
	for _, n := range needs {
		if n.level*weights > room {
			return room / weights
		}
		room -= n.demand
		weights -= n.weight
	}
	return math.Inf(1)
}

package main

import (
	"math"
	"slices"
	"time"

	"gentianhead/core/process/entry"
)

// baseline is a policy that places requests immediately, all but oracle with the
// knowledge of one router. choose returns nil to refuse a request.
type baseline struct {
	s              *sim
	choose         func(b *baseline, q *request, list []*engine) *engine
	inFlight       []map[*engine]int
	inFlightTotals []int
	nextIndex      []int
}

func newBaseline(s *sim, choose func(*baseline, *request, []*engine) *engine) *baseline {
	b := &baseline{s: s, choose: choose, inFlightTotals: make([]int, s.d.routers), nextIndex: make([]int, s.d.routers)}
	for range s.d.routers {
		b.inFlight = append(b.inFlight, map[*engine]int{})
	}
	return b
}

func (b *baseline) place(q *request) {
	list := slices.DeleteFunc(b.s.known(q.router, q.model), func(e *engine) bool { return slices.Contains(q.excluded, e.name) })
	var e *engine
	if len(list) > 0 {
		e = b.choose(b, q, list)
	}
	if e == nil {
		b.s.refuse(q, false, time.Second)
		return
	}
	if !b.s.send(q, e) {
		q.excluded = append(q.excluded, e.name)
		b.s.after(2*time.Millisecond, func() { b.place(q) })
		return
	}
	b.inFlight[q.router][e]++
	b.inFlightTotals[q.router]++
}

func (b *baseline) ended(q *request) {
	b.inFlight[q.router][q.engine]--
	b.inFlightTotals[q.router]--
}

func random(b *baseline, _ *request, list []*engine) *engine { return list[b.s.rng.IntN(len(list))] }

func roundRobin(b *baseline, q *request, list []*engine) *engine {
	b.nextIndex[q.router]++
	return list[b.nextIndex[q.router]%len(list)]
}

func leastReported(b *baseline, _ *request, list []*engine) *engine {
	return slices.MinFunc(list, func(x, y *engine) int { return b.s.report(x) - b.s.report(y) })
}

func rendezvous(_ *baseline, q *request, list []*engine) *engine {
	return slices.MaxFunc(list, func(x, y *engine) int { return compareScore(q, x, y) })
}

func compareScore(q *request, x, y *engine) int {
	key := q.chat
	if q.prefix != 0 {
		key = q.prefix
	}
	if entry.Mix(key, hashOf(x.name)) > entry.Mix(key, hashOf(y.name)) {
		return 1
	}
	return -1
}

// localBound is rendezvous hashing with the load bound on the router's own requests.
func localBound(b *baseline, q *request, list []*engine) *engine {
	mean := float64(b.inFlightTotals[q.router]+1) / float64(len(list))
	open := slices.DeleteFunc(list, func(e *engine) bool {
		return b.inFlight[q.router][e]+1 > int(math.Ceil(b.s.d.bound*mean))
	})
	if len(open) == 0 {
		return nil
	}
	return rendezvous(b, q, open)
}

// twoChoices picks the less loaded of the first two engines in rendezvous order.
// The load is the larger of the reported load and this router's own requests.
func twoChoices(b *baseline, q *request, list []*engine) *engine {
	first := rendezvous(b, q, list)
	rest := slices.DeleteFunc(slices.Clone(list), func(e *engine) bool { return e == first })
	if len(rest) == 0 {
		return first
	}
	second := rendezvous(b, q, rest)
	load := func(e *engine) int { return max(b.s.report(e), b.inFlight[q.router][e]) }
	if load(second) < load(first) {
		return second
	}
	return first
}

// oracle reads the actual loads and caches: of the engines below the bound it picks
// the one with most of the prompt cached, then the least loaded.
func oracle(b *baseline, q *request, list []*engine) *engine {
	mean := b.s.mean(q.model) + 1/float64(len(b.s.alive[q.model]))
	var best *engine
	for _, e := range list {
		if !e.isAlive || float64(e.load+1) > b.s.d.bound*mean+1 {
			continue
		}
		if best == nil || e.hit(q) > best.hit(q) || (e.hit(q) == best.hit(q) && e.load < best.load) {
			best = e
		}
	}
	return best
}

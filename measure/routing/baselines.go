package main

import (
	"math"
	"slices"
	"time"

	"gentianhead/core/process/entry"
)

// baseline places at once, from what one router knows. choose returns nil to refuse.
type baseline struct {
	s      *sim
	choose func(b *baseline, q *request, list []*engine) *engine
	own    []map[*engine]int
	sums   []int
	turn   []int
}

func newBaseline(s *sim, choose func(*baseline, *request, []*engine) *engine) *baseline {
	b := &baseline{s: s, choose: choose, sums: make([]int, s.d.routers), turn: make([]int, s.d.routers)}
	for range s.d.routers {
		b.own = append(b.own, map[*engine]int{})
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
	b.own[q.router][e]++
	b.sums[q.router]++
}

func (b *baseline) ended(q *request) {
	b.own[q.router][q.engine]--
	b.sums[q.router]--
}

func random(b *baseline, _ *request, list []*engine) *engine { return list[b.s.rng.IntN(len(list))] }

func roundRobin(b *baseline, q *request, list []*engine) *engine {
	b.turn[q.router]++
	return list[b.turn[q.router]%len(list)]
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

// localBound is rendezvous hashing bounded by each router's own mean load.
func localBound(b *baseline, q *request, list []*engine) *engine {
	mean := float64(b.sums[q.router]+1) / float64(len(list))
	open := slices.DeleteFunc(list, func(e *engine) bool {
		return b.own[q.router][e]+1 > int(math.Ceil(b.s.d.bound*mean))
	})
	if len(open) == 0 {
		return nil
	}
	return rendezvous(b, q, open)
}

// twoChoices takes the first two engines in rendezvous order and of these the
// one with less load, reported or sent from here.
func twoChoices(b *baseline, q *request, list []*engine) *engine {
	first := rendezvous(b, q, list)
	rest := slices.DeleteFunc(slices.Clone(list), func(e *engine) bool { return e == first })
	if len(rest) == 0 {
		return first
	}
	second := rendezvous(b, q, rest)
	load := func(e *engine) int { return max(b.s.report(e), b.own[q.router][e]) }
	if load(second) < load(first) {
		return second
	}
	return first
}

// allKnowing sees true loads and caches: of the engines below the bound it takes
// the one with most of the prompt cached, then the least loaded.
func allKnowing(b *baseline, q *request, list []*engine) *engine {
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

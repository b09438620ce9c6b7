// Package notice keeps what endpoints say of themselves in their responses: that they
// are leaving, or that they want no requests for a time.
//
// A leaving endpoint must get no new requests, and one that asked for distance none
// until the stated end, from the router that received the notice. Neither depends on
// contact with the store, and an entry in the store doesn't undo it.
//
// Invariant: IsLeaving never becomes false for a process of an endpoint, and the end of
// the distance that it asked for never becomes earlier, unless more processes than
// maxProcesses said something; then the oldest notices are dropped.
//
// The core has no I/O, clock or goroutine and is not safe for concurrent use. Times are
// read from a clock that keeps running during suspend.
package notice

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"gentianhead/core/process/endpoints"
)

const (
	// MaxDistance bounds the time for which an endpoint may ask for no requests. A
	// mistaken value must not take it out of service for good.
	MaxDistance = time.Minute
	// maxProcesses is the number of processes above which those whose distance has
	// ended and that are not leaving are dropped, then the oldest notices.
	maxProcesses = 8192
)

// Notice is what an endpoint's response says of the endpoint.
type Notice struct {
	// IsLeaving reports that the endpoint is about to stop.
	IsLeaving bool
	// Distance is how long the endpoint wants no requests; zero if it didn't say.
	Distance time.Duration
}

// DistanceOf returns the distance for a number of seconds that an endpoint stated, which
// may be any number.
func DistanceOf(seconds float64) time.Duration {
	switch {
	case math.IsNaN(seconds) || seconds <= 0:
		return 0
	case seconds >= MaxDistance.Seconds():
		return MaxDistance
	}
	return time.Duration(seconds * float64(time.Second))
}

// process identifies one process of an endpoint. A restarted endpoint, or another one at
// the address, is not bound by the notices of the former.
type process struct {
	id, address string
	startedAt   int64
}

func processOf(e endpoints.Entry) process {
	return process{id: e.ID, address: e.Address, startedAt: e.StartedAt}
}

type state struct {
	isLeaving  bool
	awayUntil  time.Duration
	receivedAt time.Duration
}

// Board holds the notices received by one router.
type Board struct {
	states map[process]state
}

// New returns an empty board.
func New() *Board { return &Board{states: make(map[process]state)} }

// Record applies a notice of an endpoint and reports whether it changed anything.
func (b *Board) Record(now time.Duration, e endpoints.Entry, n Notice) (isChanged bool) {
	if !n.IsLeaving && n.Distance <= 0 {
		return false
	}
	key := processOf(e)
	known := b.states[key]
	next := state{isLeaving: known.isLeaving || n.IsLeaving, awayUntil: known.awayUntil, receivedAt: now}
	if n.Distance > 0 {
		next.awayUntil = max(next.awayUntil, now+min(n.Distance, MaxDistance))
	}
	b.states[key] = next
	if len(b.states) > maxProcesses {
		b.shrink(now)
	}
	return next.isLeaving != known.isLeaving || next.awayUntil != known.awayUntil
}

// shrink drops notices without effect, and then the oldest until half are left.
func (b *Board) shrink(now time.Duration) {
	maps.DeleteFunc(b.states, func(_ process, s state) bool { return !s.isLeaving && now >= s.awayUntil })
	if len(b.states) <= maxProcesses/2 {
		return
	}
	oldestFirst := slices.SortedFunc(maps.Keys(b.states), func(x, y process) int {
		return cmp.Compare(b.states[x].receivedAt, b.states[y].receivedAt)
	})
	for _, key := range oldestFirst[:len(oldestFirst)-maxProcesses/2] {
		delete(b.states, key)
	}
}

// IsLeaving reports whether an endpoint said that it is leaving.
func (b *Board) IsLeaving(e endpoints.Entry) bool { return b.states[processOf(e)].isLeaving }

// Away returns for how much longer an endpoint wants no requests; zero if it takes some.
func (b *Board) Away(now time.Duration, e endpoints.Entry) time.Duration {
	return max(0, b.states[processOf(e)].awayUntil-now)
}

// MayReceive reports whether an endpoint may be sent a request.
func (b *Board) MayReceive(now time.Duration, e endpoints.Entry) bool {
	s, isKnown := b.states[processOf(e)]
	return !isKnown || !s.isLeaving && now >= s.awayUntil
}

package main

import (
	"fmt"
	"runtime"
	"time"

	"gentianhead/core/request/reservation"
)

// decisionBounds limits the time of one decision by number of engines. 0 is no bound:
// the time is only printed, to show its growth.
var decisionBounds = map[int]time.Duration{12: 2 * time.Microsecond, 157: 10 * time.Microsecond, 1100: 0}

const (
	decisionChats  = 10_000
	decisionRounds = 9
)

// measureDecisions measures Reserve on one pool with the given number of engines:
// the time of the fastest round and the allocations of the last.
func measureDecisions(engines int, c *checks) {
	now := time.Unix(1e9, 0)
	o := reservation.NewObserver(reservation.PoolID{Model: "m"}, reservation.Options{Bound: 1.25, ReuseWeight: 0.8})
	names := make([]string, engines)
	for i := range names {
		names[i] = "engine-" + itoa(i)
	}
	o.SetEngines(now, names, engines)
	o.SetRouters([]string{"r"})
	o.Register(now, reservation.Registration{Router: "r", Incarnation: 1})
	request := &reservation.Request{Router: "r", Incarnation: 1, Account: "a"}
	release := reservation.Release{Router: "r", Incarnation: 1}
	fastest, allocations := time.Duration(0), uint64(0)
	for round := range decisionRounds {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		start := time.Now()
		for i := range uint64(decisionChats) {
			request.Seq, request.Chat = uint64(round)*decisionChats+i+1, i+1
			o.Reserve(now, request)
		}
		took := time.Since(start) / decisionChats
		runtime.ReadMemStats(&after)
		release.Seqs = release.Seqs[:0]
		for i := range uint64(decisionChats) {
			release.Seqs = append(release.Seqs, uint64(round)*decisionChats+i+1)
		}
		o.Release(now, release)
		if fastest == 0 || took < fastest {
			fastest = took
		}
		allocations = (after.Mallocs - before.Mallocs) / decisionChats
	}
	fmt.Printf("decision at %4d engines, %d chats: %6d ns, %d allocations\n", engines, decisionChats, fastest.Nanoseconds(), allocations)
	limit := decisionBounds[engines]
	c.require(limit == 0 || (fastest < limit && allocations == 0), "decision at %d engines: %s and %d allocations", engines, fastest, allocations)
}

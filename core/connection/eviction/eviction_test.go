package eviction

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against closing ordinary callers' connections while a crowd of another kind is there.
func TestCrowdIsClosedFirst(t *testing.T) {
	for name, crowd := range map[string]Connection{
		"unfinished heads": {Phase: Head, Held: 80 << 10, For: time.Second, Moved: 15 << 10},
		"slow heads":       {Phase: Head, Held: 16 << 10, For: time.Second, Moved: 50},
		"stopped bodies":   {Phase: Body, Held: 4 << 20, For: 2 * time.Second, Moved: 4 << 20},
		"unread answers":   {Phase: Unread, Held: 24 << 10, For: 2 * time.Second, Moved: 0},
		"silent":           {Phase: Head, Held: 16 << 10, For: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			const hostile = 1600
			var conns []Connection
			for range hostile {
				c := crowd
				c.For += time.Duration(random.Int64N(int64(time.Second)))
				conns = append(conns, c)
			}
			ordinary := []Connection{
				{Phase: Head, Held: 18 << 10, For: 10 * time.Millisecond, Moved: 600},
				{Phase: Body, Held: 4 << 20, For: 300 * time.Millisecond, Moved: 4 << 20},
				{Phase: Idle, Held: 16 << 10, For: 12 * time.Second, IsKnown: true},
				{Phase: Busy, Held: 4 << 20, For: 30 * time.Second},
			}
			conns = append(conns, ordinary...)
			for _, victim := range Choose(conns, Need{Conns: hostile}) {
				assert.Assert(t, victim < hostile, "closed %+v before the crowd", conns[victim])
			}
		})
	}
}

// Guards against a decision that closes a request that may run, more than is needed, or too little.
func TestChooseMeetsNeed(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	for range 500 {
		conns := make([]Connection, random.IntN(60))
		for i := range conns {
			conns[i] = Connection{
				Phase: Phase(random.IntN(int(Busy) + 1)), Held: random.Int64N(1 << 20), For: time.Duration(random.Int64N(int64(time.Minute))),
				Moved: random.Int64N(1 << 20), IsKnown: random.IntN(2) == 0,
			}
		}
		need := Need{Bytes: random.Int64N(20 << 20), Conns: random.IntN(40), MinAge: time.Duration(random.Int64N(int64(time.Second)))}
		victims := Choose(conns, need)
		closable, closed := 0, make(map[int]bool)
		var held, last int64
		for _, c := range conns {
			if c.Phase != Busy && (c.Held > 0 || need.Conns > 0) && c.For >= need.MinAge {
				closable++
			}
		}
		for _, victim := range victims {
			assert.Assert(t, conns[victim].Phase != Busy && conns[victim].For >= need.MinAge && !closed[victim])
			closed[victim] = true
			last = conns[victim].Held
			held += last
		}
		isMet := held >= need.Bytes && len(victims) >= need.Conns
		assert.Assert(t, isMet || len(victims) == closable)
		if len(victims) > 0 {
			assert.Assert(t, held-last < need.Bytes || len(victims)-1 < need.Conns, "more closed than needed")
		}
	}
}

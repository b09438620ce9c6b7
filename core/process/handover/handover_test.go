package handover

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/presence"
)

func members(knowsCaches bool, numbers ...int) []*presence.Member {
	var list []*presence.Member
	for _, number := range numbers {
		list = append(list, &presence.Member{Beacon: beacon(knowsCaches, number, 1)})
	}
	return list
}

func beacon(knowsCaches bool, number int, start int64) presence.Beacon {
	return presence.Beacon{Instance: fmt.Sprint("r-", number), Peer: fmt.Sprint("10.0.0.", number, ":1"), Start: start, KnowsCaches: knowsCaches}
}

// Guards against engines queried twice or not at all when all routers restart after a
// power loss.
func TestAllRoutersRestartShareEngines(t *testing.T) {
	const routers, engines = 7, 90
	queries := make(map[string]int)
	for number := range routers {
		c := New(fmt.Sprint("r-", number))
		var others []int
		for other := range routers {
			if other != number {
				others = append(others, other)
			}
		}
		live := members(false, others...)
		assert.Assert(t, !c.ShouldQueryEngines(time.Second, live), "queried engines without waiting for the beacons of other routers")
		assert.Assert(t, !c.IsInformed())
		assert.Assert(t, c.ShouldQueryEngines(time.Second+beaconWait, live))
		assert.Assert(t, !c.ShouldQueryEngines(2*time.Second, live), "queried engines twice")
		assert.Assert(t, !c.ShouldInform(beacon(false, (number+1)%routers, 1), nil), "sent state before engines have answered")
		c.EnginesQueried()
		assert.Assert(t, c.IsInformed())
		for engine := range engines {
			if name := fmt.Sprint("engine-", engine); c.IsOwnEngine(name, live) {
				queries[name]++
			}
		}
	}
	assert.Equal(t, len(queries), engines)
	for name, count := range queries {
		assert.Equal(t, count, 1, name)
	}
}

// Guards against redundant queries and transfers when a single router restarts: it
// queries no engine, and exactly one router sends it the state, once per process.
func TestSingleRouterRestartInformedOnce(t *testing.T) {
	const routers = 7
	senders := 0
	for number := 1; number < routers; number++ {
		c := New(fmt.Sprint("r-", number))
		c.ShouldQueryEngines(time.Second, nil)
		c.ShouldQueryEngines(time.Second+beaconWait, nil)
		c.EnginesQueried()
		var others []int
		for other := 1; other < routers; other++ {
			if other != number {
				others = append(others, other)
			}
		}
		live := append(members(true, others...), members(false, 0)...)
		assert.Assert(t, !c.ShouldInform(beacon(true, 0, 2), live), "sent state to a router that has it")
		if c.ShouldInform(beacon(false, 0, 2), live) {
			senders++
			assert.Assert(t, !c.ShouldInform(beacon(false, 0, 2), live))
			assert.Assert(t, c.ShouldInform(beacon(false, 0, 3), live), "sent no state to a new process")
		}
	}
	assert.Equal(t, senders, 1)

	started := New("r-0")
	live := members(true, 1, 2, 3, 4, 5, 6)
	started.ShouldQueryEngines(time.Second, live)
	assert.Assert(t, !started.ShouldQueryEngines(time.Second+beaconWait, live))
	assert.Assert(t, started.IsInformed())
}

func TestRouterWithoutStateSendsNothing(t *testing.T) {
	c := New("r-0")
	assert.Assert(t, !c.ShouldInform(beacon(false, 1, 1), members(false, 1)))
}

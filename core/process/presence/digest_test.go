package presence

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a failing engine that the fleet doesn't suspect since its outcomes, seen
// by several routers of a group, look like those of one.
func TestDigestKeepsReporters(t *testing.T) {
	outcomes := []Outcomes{{Endpoint: 1, Failed: 2}}
	digest := &Digest{}
	sum := Sum(Load{Outcomes: outcomes}, Load{Outcomes: outcomes}, Load{Outcomes: []Outcomes{{Endpoint: 1, Succeeded: 3}}})
	digest.setLoad(sum)
	got := digest.Load().Outcomes
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0], Outcomes{Endpoint: 1, Failed: 4, Succeeded: 3, Reporters: 2})
}

// Guards against endpoints that are reported as unreachable by one router only and avoided
// by all, and against reports of a router that is cut off itself.
func TestDigestUnreachable(t *testing.T) {
	all := make([]Key, maxUnreachablePerRouter+1)
	for i := range all {
		all[i] = Key(i)
	}
	sum := Sum(Load{Unreachable: all}, Load{Unreachable: []Key{7, 9}}, Load{Unreachable: []Key{7}}, Load{Unreachable: []Key{7}})
	count := make(map[Key]int)
	for _, endpoint := range sum.Unreachable {
		count[endpoint]++
	}
	assert.DeepEqual(t, count, map[Key]int{7: maxRepeats, 9: 1})
}

// Guards against an older statement of an endpoint's slowness that hides a newer one, against
// ages that leave out the time at the summing router, and against digests without a bound.
func TestDigestSlowness(t *testing.T) {
	s := newSum()
	s.add(Load{Slowness: []Slowness{{Endpoint: 1, Percent: 250, Age: 100}, {Endpoint: 2, Percent: 300, Age: 5}}}, 300*time.Millisecond)
	s.add(Load{Slowness: []Slowness{{Endpoint: 1, Percent: 100, Age: 350}}}, 0)
	digest := &Digest{}
	digest.setLoad(s.result())
	stated := digest.Load().Slowness
	assert.Assert(t, slices.Equal(stated, []Slowness{{Endpoint: 2, Percent: 300, Age: 305}, {Endpoint: 1, Percent: 100, Age: 350}}), "%v", stated)

	many := make([]Slowness, 3*maxSlowness)
	for i := range many {
		many[i] = Slowness{Endpoint: Key(i), Percent: 250, Age: uint32(i)}
	}
	beacon := Beacon{Digest: digest}
	beacon.SetLoad(Sum(Load{Slowness: many}))
	assert.Equal(t, len(beacon.Load().Slowness), maxSlowness)
	smaller := beacon.WithoutHints()
	assert.Assert(t, smaller.Slowness == nil && smaller.Digest.Slowness == nil)
}

package presence

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// heldDatagrams is how many datagrams wait at the socket of a stopped process.
	heldDatagrams = 90
	// directoryBound is the time after the loss of a router from which no other may name it.
	directoryBound = 7 * time.Second
)

// lose ends a router, for good unless back is positive.
func (f *fleet) lose(r *router, back time.Duration) {
	r.isDown, r.downSince = true, f.now
	if back > 0 {
		f.queue.Add(f.now+back, func() { f.boot(r) })
	}
}

// wake lets a stopped process go on: first it reads the datagrams that have waited.
func (f *fleet) wake(r *router) {
	r.isFrozen = false
	for _, b := range r.held {
		b.HeldFor = f.now - r.tickedAt
		f.receive(r, f.byPeer[b.Peer].number, b)
	}
	r.held = nil
}

// longestListed returns for how long lost routers have been named by running ones.
func (f *fleet) longestListed() (longest time.Duration, what string) {
	for _, r := range f.routers {
		if r.isDown || r.isFrozen {
			continue
		}
		for _, m := range r.core.Live(f.now) {
			if !r.core.IsNamed(f.now, m) {
				continue
			}
			other := f.byPeer[m.Peer]
			if lost := f.now - other.downSince; other.isDown && lost > longest {
				longest, what = lost, fmt.Sprintf("router %d (group %v) names %d (group %v) at %v", r.number, r.core.Group(), other.number, m.Group, f.now)
			}
		}
	}
	return longest, what
}

// Guards against callers that are sent to routers that were lost more than ContactMs and three
// seconds ago: after losses in series, by routers that wake from a pause or have just started,
// and while all restart.
func TestFleetDirectoryForgetsLostRouters(t *testing.T) {
	for _, size := range append([]int{7}, fleetSizes(t)...) {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			f := newFleet(size, 3, 0.002)
			longest, what := time.Duration(0), ""
			runUntil := func(until time.Duration) {
				for f.now < until {
					f.runUntil(f.now + 100*time.Millisecond)
					if l, w := f.longestListed(); l > longest {
						longest, what = l, w
					}
				}
			}
			runUntil(4 * time.Second)
			frozen := f.routers[:size/7]
			for _, r := range frozen {
				r.isFrozen = true
			}
			// One of three that are lost comes back.
			for i := range 15 {
				back := time.Duration(0)
				if i%3 == 0 {
					back = 1500 * time.Millisecond
				}
				if r := f.routers[size/7+i*size/18]; !r.isDown {
					f.lose(r, back)
				}
				runUntil(f.now + 200*time.Millisecond)
			}
			runUntil(f.now + 6*time.Second)
			for _, r := range frozen {
				f.wake(r)
			}
			if l, w := f.longestListed(); l > longest {
				longest, what = l, w
			}
			runUntil(f.now + 2*time.Second)
			t.Logf("after losses in series and a pause: %v, %s", longest, what)
			for i, r := range f.routers {
				if !r.isDown {
					f.lose(r, max(0, time.Duration(i%4)*300*time.Millisecond))
				}
			}
			runUntil(f.now + 9*time.Second)
			t.Logf("at most %v: %s", longest, what)
			assert.Assert(t, longest <= directoryBound, "%v: %s", longest, what)
		})
	}
}

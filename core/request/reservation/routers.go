package reservation

import (
	"math"
	"slices"
	"time"
)

// This file keeps what an observer knows of the routers that send to its pool.

type router struct {
	incarnation  uint64
	heard        time.Time
	held         int
	isRegistered bool
	// hasLeft routers are registered with another observer.
	hasLeft bool
	// isDisconnected routers closed their connection and were not heard since.
	isDisconnected bool
	isSuspect      bool
	seqs           map[uint64]struct{}
	// voided requests were released before they arrived and get no grant.
	voided map[uint64]struct{}
}

func newRouter(incarnation uint64) *router {
	return &router{
		incarnation: incarnation,
		seqs:        make(map[uint64]struct{}),
		voided:      make(map[uint64]struct{}),
	}
}

// Register takes in all that a router has in flight.
func (o *Observer) Register(now time.Time, registration Registration) {
	if r, ok := o.routers[registration.Router]; ok {
		if registration.Incarnation < r.incarnation {
			return
		}
		if registration.Incarnation > r.incarnation {
			o.supersede(registration.Router, r)
			delete(o.routers, registration.Router)
		}
	}
	r, ok := o.routers[registration.Router]
	if !ok {
		r = newRouter(registration.Incarnation)
		o.routers[registration.Router] = r
	}
	r.hear(now)
	r.isRegistered, r.hasLeft = true, false
	o.isCounted = false
	for seq := range r.seqs {
		if !slices.Contains(registration.Pending, seq) {
			o.drop(r, seq)
		}
	}
	for _, held := range registration.Grants {
		e, ok := o.byName[held.Engine]
		if !ok {
			e = &engine{name: held.Engine}
		}
		o.record(now, r, held.Seq, e, o.account(now, held.Account, held.Weight))
	}
	o.trust(r)
}

// supersede keeps the grants of a router's earlier incarnation until its lease
// lapses, since its requests may still run.
func (o *Observer) supersede(name string, r *router) {
	former := name + formerSuffix
	if older, ok := o.routers[former]; ok {
		o.dropAll(older)
	}
	o.routers[former] = r
}

// Release ends grants and renews the router's lease. It reports whether the
// router is registered here; if not it has to register.
func (o *Observer) Release(now time.Time, release Release) bool {
	r, ok := o.routers[release.Router]
	if !ok || r.incarnation != release.Incarnation {
		return false
	}
	r.hear(now)
	for _, seq := range release.Seqs {
		if !o.drop(r, seq) {
			r.void(seq)
			continue
		}
		o.rate = o.decayedRate(now) + math.Ln2/rateHalfLife.Seconds()
	}
	o.trust(r)
	if e, known := o.byName[release.Failed]; known {
		e.paused = now.Add(FailurePause)
	}
	if release.IsLeaving {
		r.isRegistered, r.hasLeft = false, true
		o.isCounted = false
		o.dropAll(r)
	}
	return r.isRegistered
}

// maxVoided bounds what is remembered of requests that may still arrive.
const maxVoided = 1024

func (r *router) void(seq uint64) {
	if len(r.voided) >= maxVoided {
		clear(r.voided)
	}
	r.voided[seq] = struct{}{}
}

// decayedRate returns grants that end per second, smoothed.
func (o *Observer) decayedRate(now time.Time) float64 {
	age := now.Sub(o.rateAt)
	o.rateAt = now
	return o.rate * math.Exp2(-age.Seconds()/rateHalfLife.Seconds())
}

func (r *router) hear(now time.Time) {
	r.heard, r.isDisconnected = now, false
}

// trust lets a router's grants count for the mean again, once it has told what
// ended while it was silent.
func (o *Observer) trust(r *router) {
	if r.isSuspect {
		r.isSuspect = false
		o.suspect -= o.heldHere(r)
	}
}

// heldHere counts a router's grants on engines that are in the pool.
func (o *Observer) heldHere(r *router) int {
	count := 0
	for seq := range r.seqs {
		e := o.grants[grantKey{r, seq}].engine
		if o.byName[e.name] == e {
			count++
		}
	}
	return count
}

// Disconnected makes a router's grants suspect until it is heard of again.
func (o *Observer) Disconnected(instance string) {
	r, ok := o.routers[instance]
	if !ok {
		return
	}
	r.isDisconnected = true
	if !r.isSuspect {
		r.isSuspect = true
		o.suspect += o.heldHere(r)
	}
}

// lease is the silence after which a router's grants are dropped. The engines
// cancel the requests of a process that ended.
func (r *router) lease(suspectAfter time.Duration) time.Duration {
	if r.isDisconnected {
		return max(DisconnectedLease, suspectAfter)
	}
	return max(Lease, 2*suspectAfter)
}

package reservation

import (
	"math"
	"slices"
	"time"
)

// router is an observer's state of one router that sends to its pool.
type router struct {
	incarnation  uint64
	lastContact  time.Time
	inFlight     int
	isRegistered bool
	// hasLeft is set when the router is registered with another observer.
	hasLeft bool
	// isDisconnected is set from a closed connection to the next message.
	isDisconnected bool
	isSuspect      bool
	seqs           map[uint64]struct{}
	// voided requests were released before they arrived and are refused.
	voided map[uint64]struct{}
}

func newRouter(incarnation uint64) *router {
	return &router{
		incarnation: incarnation,
		seqs:        make(map[uint64]struct{}),
		voided:      make(map[uint64]struct{}),
	}
}

// Register replaces the grants of a router with those in the registration.
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
	r.recordContact(now)
	r.isRegistered, r.hasLeft = true, false
	o.isSoleObserverKnown = false
	for seq := range r.seqs {
		if !slices.Contains(registration.Pending, seq) {
			o.drop(r, seq)
		}
	}
	for _, g := range registration.Grants {
		e, ok := o.byName[g.Engine]
		if !ok {
			e = &engine{name: g.Engine}
		}
		o.record(now, r, g.Seq, e, o.account(now, g.Account, g.Weight))
	}
	o.clearSuspect(r)
}

// supersede keeps the grants of a router's earlier incarnation until its lease
// expires, since its requests may still be running.
func (o *Observer) supersede(name string, r *router) {
	former := name + formerSuffix
	if older, ok := o.routers[former]; ok {
		o.dropAll(older)
	}
	o.routers[former] = r
}

// Release ends grants and renews the router's lease. It reports whether the
// router is registered; if not, the router must register again.
func (o *Observer) Release(now time.Time, release Release) bool {
	r, ok := o.routers[release.Router]
	if !ok || r.incarnation != release.Incarnation {
		return false
	}
	r.recordContact(now)
	for _, seq := range release.Seqs {
		if !o.drop(r, seq) {
			r.void(seq)
			continue
		}
		o.rate = o.decayedRate(now) + math.Ln2/rateHalfLife.Seconds()
	}
	o.clearSuspect(r)
	if e, known := o.byName[release.Failed]; known {
		e.pausedUntil = now.Add(FailurePause)
	}
	if release.IsLeaving {
		r.isRegistered, r.hasLeft = false, true
		o.isSoleObserverKnown = false
		o.dropAll(r)
	}
	return r.isRegistered
}

// maxVoided limits the voided requests kept per router.
const maxVoided = 1024

func (r *router) void(seq uint64) {
	if len(r.voided) >= maxVoided {
		clear(r.voided)
	}
	r.voided[seq] = struct{}{}
}

// decayedRate returns the smoothed number of grants that end per second.
func (o *Observer) decayedRate(now time.Time) float64 {
	age := now.Sub(o.rateAt)
	o.rateAt = now
	return o.rate * math.Exp2(-age.Seconds()/rateHalfLife.Seconds())
}

func (r *router) recordContact(now time.Time) {
	r.lastContact, r.isDisconnected = now, false
}

// clearSuspect counts a router's grants in the mean again, once the router has
// reported what ended while it was silent.
func (o *Observer) clearSuspect(r *router) {
	if r.isSuspect {
		r.isSuspect = false
		o.suspect -= o.countPoolGrants(r)
	}
}

// countPoolGrants counts a router's grants on engines currently in the pool.
func (o *Observer) countPoolGrants(r *router) int {
	count := 0
	for seq := range r.seqs {
		e := o.grants[grantKey{r, seq}].engine
		if o.byName[e.name] == e {
			count++
		}
	}
	return count
}

// Disconnected marks a router's grants as suspect until its next registration or
// release.
func (o *Observer) Disconnected(instance string) {
	r, ok := o.routers[instance]
	if !ok {
		return
	}
	r.isDisconnected = true
	if !r.isSuspect {
		r.isSuspect = true
		o.suspect += o.countPoolGrants(r)
	}
}

// lease returns the silence after which a router's grants are dropped. It is shorter
// after a disconnect, because engines cancel the requests of a terminated process.
func (r *router) lease(suspectAfter time.Duration) time.Duration {
	if r.isDisconnected {
		return max(DisconnectedLease, suspectAfter)
	}
	return max(Lease, 2*suspectAfter)
}

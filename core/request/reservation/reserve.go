package reservation

import (
	"math"
	"slices"
	"time"

	"gentianhead/core/process/entry"
)

// minInTransit is the minimum number of releases assumed to be in transit.
const minInTransit = 2

// Reserve decides on a request. It does not allocate once the observer's maps
// have grown. now must not decrease between calls.
func (o *Observer) Reserve(now time.Time, request *Request) Decision {
	r, ok := o.routers[request.Router]
	if !ok || r.incarnation != request.Incarnation || !r.isRegistered {
		return Decision{Verdict: Unregistered}
	}
	r.recordContact(now)
	if g, ok := o.grants[grantKey{r, request.Seq}]; ok {
		return Decision{Verdict: Granted, Engine: g.engine.name}
	}
	if _, isVoided := r.voided[request.Seq]; isVoided {
		delete(r.voided, request.Seq)
		return Decision{Verdict: RefusedBound, RetryAfter: RetryBound}
	}
	a := o.account(now, request.Account, request.Weight)
	if o.isAboveShare(a) {
		return Decision{Verdict: RefusedShare, RetryAfter: RetryShare}
	}
	if !o.IsServing() {
		return Decision{Verdict: NotServing, RetryAfter: RetryBound}
	}
	e := o.chooseEngine(now, request)
	if e == nil {
		return o.refusal(now, request)
	}
	o.record(now, r, request.Seq, e, a)
	o.recordPlacement(request, e)
	return Decision{Verdict: Granted, Engine: e.name}
}

// refusal returns the decision when no engine was chosen.
func (o *Observer) refusal(now time.Time, request *Request) Decision {
	for _, e := range o.engines {
		if o.isUsable(now, request, e) {
			return Decision{Verdict: RefusedBound, RetryAfter: RetryBound}
		}
	}
	return Decision{Verdict: RefusedNoEngine, RetryAfter: RetryBound}
}

// isAboveShare reports whether one more request of the account must be refused to
// leave capacity for others. While the total load is below the slots divided by
// the bound, no engine exceeds its slots and any account may use what is free.
func (o *Observer) isAboveShare(a *account) bool {
	slots := 0
	for _, e := range o.engines {
		if e.slots == 0 {
			return false
		}
		slots += e.slots
	}
	if float64(o.total+1) <= float64(slots)/o.options.Bound {
		return false
	}
	share := float64(slots) / o.options.Bound * float64(a.weight) / float64(max(o.totalWeight, a.weight))
	return float64(a.inFlight+1) > max(1, share)
}

// caps are the maximum loads of an engine after a grant.
type caps struct {
	// hard enforces the bound; above soft, requests overflow from a cached
	// engine; even limits placement by hash, without a cached engine.
	hard, soft, even float64
	// exact enforces the bound if no release is in transit. It is zero if the
	// model has other pools or while a router is silent.
	exact float64
}

// caps computes the limits from a lower estimate of the mean load. It subtracts
// releases in transit, grants of silent routers, grants that may have ended in
// other pools since their report, and the load of one engine that may have just
// left. The factor 3 counts standard deviations.
func (o *Observer) caps(now time.Time) caps {
	certain := float64(o.total - o.suspect + 1)
	engines := float64(o.modelEngines)
	highest := 0
	for _, e := range o.engines {
		highest = max(highest, e.load)
	}
	others := o.minOtherLoad(now)
	if engines <= 1 && o.modelEngines == len(o.engines) {
		return caps{hard: math.Inf(1), soft: math.Inf(1), even: math.Inf(1), exact: math.Inf(1)}
	}
	unseen := o.rate * ReleaseTransitTime.Seconds()
	inTransit := minInTransit + unseen + 3*math.Sqrt(unseen)
	mean := max(0, certain-inTransit+others-float64(highest)) / (engines - 1)
	bound := o.options.Bound
	limits := caps{
		hard: bound*mean + 1,
		soft: (1+(bound-1)*o.options.reuseFraction())*mean + 1,
		even: mean + 1,
	}
	if o.modelEngines == len(o.engines) && o.suspect == 0 {
		limits.exact = bound*certain/engines + 1
	}
	return limits
}

// reuseFraction returns the fraction of the range between the mean and the bound
// that cache reuse may take: the odds of the weight, at most one.
func (o Options) reuseFraction() float64 {
	if o.ReuseWeight >= 0.5 {
		return 1
	}
	return o.ReuseWeight / (1 - o.ReuseWeight)
}

// minOtherLoad returns a load that the model's other pools still have together with
// near certainty: the reported loads less the grants that ended since, which are
// Poisson distributed. A pool without a report counts as zero.
func (o *Observer) minOtherLoad(now time.Time) float64 {
	reported, ended := 0.0, 0.0
	for index, other := range o.others {
		if index == o.id.Index {
			continue
		}
		load := float64(other.total.Load)
		reported += load
		ended += min(load, other.total.Rate*now.Sub(other.at).Seconds())
	}
	if reported == 0 {
		return 0
	}
	return max(0, reported-ended-3*math.Sqrt(ended)-minInTransit)
}

// chooseEngine returns the engine for a request, or nil if all are at the bound.
func (o *Observer) chooseEngine(now time.Time, request *Request) *engine {
	limits := o.caps(now)
	if e := o.cachedEngine(now, request, limits); e != nil {
		return e
	}
	key := request.Chat
	if request.Prefix != 0 {
		key = request.Prefix
	}
	var first, least, lowest *engine
	var firstScore uint64
	for _, e := range o.engines {
		if !o.isUsable(now, request, e) {
			continue
		}
		if lowest == nil || e.load < lowest.load {
			lowest = e
		}
		if e.hasRoom(now, limits.hard) && (least == nil || e.load < least.load) {
			least = e
		}
		if !e.hasRoom(now, limits.even) || e.isFull() {
			continue
		}
		if score := entry.Mix(key, e.hash); first == nil || score > firstScore {
			first, firstScore = e, score
		}
	}
	switch {
	case first != nil:
		return first
	case least != nil:
		return least
	case lowest != nil && float64(lowest.load+1) <= max(limits.hard, limits.exact):
		return lowest
	}
	return nil
}

// cachedEngine returns an engine below its limits that has the request's prompt in
// its cache: the engine of the chat, or the least loaded one that has the shared
// prefix.
func (o *Observer) cachedEngine(now time.Time, request *Request, limits caps) *engine {
	limit := min(limits.soft, limits.hard)
	candidates := [...]*engine{o.currentEngine(o.chatEngines.Get(request.Chat)), o.byName[request.Hint]}
	for _, e := range candidates {
		if e != nil && o.isUsable(now, request, e) && e.hasRoom(now, limit) && !e.isFull() {
			return e
		}
	}
	if request.Prefix == 0 {
		return nil
	}
	var least *engine
	for _, former := range o.prefixEngines.Get(request.Prefix) {
		e := o.currentEngine(former)
		if e == nil || !o.isUsable(now, request, e) || !e.hasRoom(now, limit) || e.isFull() {
			continue
		}
		if least == nil || e.load < least.load {
			least = e
		}
	}
	return least
}

// currentEngine returns the engine of the same name currently in the pool, or nil.
func (o *Observer) currentEngine(e *engine) *engine {
	if e == nil {
		return nil
	}
	return o.byName[e.name]
}

func (o *Observer) isUsable(now time.Time, request *Request, e *engine) bool {
	return now.After(e.pausedUntil) && !slices.Contains(request.Excluded, e.name)
}

// hasRoom reports whether one more request stays within limit. The limit of a
// joining engine increases linearly during SlowStart.
func (e *engine) hasRoom(now time.Time, limit float64) bool {
	if age := now.Sub(e.joinedAt); e.hasSlowStart && age < SlowStart {
		limit = max(1, limit*age.Seconds()/SlowStart.Seconds())
	}
	return float64(e.load+1) <= limit
}

func (e *engine) isFull() bool {
	return e.slots > 0 && e.load >= e.slots
}

func (o *Observer) recordPlacement(request *Request, e *engine) {
	if request.Chat != 0 {
		o.chatEngines.Put(request.Chat, e)
	}
	if request.Prefix == 0 {
		return
	}
	engines := o.prefixEngines.Get(request.Prefix)
	at := slices.Index(engines[:], e)
	if at < 0 {
		at = len(engines) - 1
	}
	copy(engines[1:at+1], engines[:at])
	engines[0] = e
	o.prefixEngines.Put(request.Prefix, engines)
}

// Forget handles an engine's event that a chat or shared prefix was evicted from
// its cache. Events may be delayed or lost.
func (o *Observer) Forget(engine string, key uint64) {
	if e := o.chatEngines.Get(key); e != nil && e.name == engine {
		o.chatEngines.Delete(key)
	}
	engines := o.prefixEngines.Get(key)
	for i, e := range engines {
		if e != nil && e.name == engine {
			engines[i] = nil
			o.prefixEngines.Put(key, engines)
		}
	}
}

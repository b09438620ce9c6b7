package reservation

import (
	"math"
	"slices"
	"time"

	"gentianhead/core/process/entry"
)

// minGuard is how many releases may always be on their way unseen.
const minGuard = 2

// Reserve decides on a request. It does not allocate once the observer's maps
// have grown. now never decreases between calls.
func (o *Observer) Reserve(now time.Time, request *Request) Decision {
	r, ok := o.routers[request.Router]
	if !ok || r.incarnation != request.Incarnation || !r.isRegistered {
		return Decision{Verdict: Unregistered}
	}
	r.hear(now)
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
	e := o.choose(now, request)
	if e == nil {
		return o.refusal(now, request)
	}
	o.record(now, r, request.Seq, e, a)
	o.remember(request, e)
	return Decision{Verdict: Granted, Engine: e.name}
}

// refusal says why no engine was chosen.
func (o *Observer) refusal(now time.Time, request *Request) Decision {
	for _, e := range o.engines {
		if o.isUsable(now, request, e) {
			return Decision{Verdict: RefusedBound, RetryAfter: RetryBound}
		}
	}
	return Decision{Verdict: RefusedEmpty, RetryAfter: RetryBound}
}

// isAboveShare reports whether one more request of the account has to be
// refused so that others find room. Below capacity divided by the bound no
// engine is pushed past its slots, and any account may use what is free.
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
	share := float64(slots) / o.options.Bound * float64(a.weight) / float64(max(o.weights, a.weight))
	return float64(a.held+1) > max(1, share)
}

// caps are the highest loads that an engine may have after a grant.
type caps struct {
	// hard keeps the bound, and soft is where overflow from a cached engine
	// begins; even is what a chat without cache may add to.
	hard, soft, even float64
	// exact keeps the bound if no release is on its way; zero where other pools
	// count too and while a router is silent.
	exact float64
}

// caps computes the limits from a lower estimate of the mean load: releases
// that are still on their way, grants of silent routers, what other pools may
// have lost since they reported, and one engine that may have just left are
// taken off.
func (o *Observer) caps(now time.Time) caps {
	certain := float64(o.total - o.suspect + 1)
	engines := float64(o.modelEngines)
	highest := 0
	for _, e := range o.engines {
		highest = max(highest, e.load)
	}
	others := o.othersAtLeast(now)
	if engines <= 1 && o.modelEngines == len(o.engines) {
		return caps{hard: math.Inf(1), soft: math.Inf(1), even: math.Inf(1), exact: math.Inf(1)}
	}
	unseen := o.rate * Transit.Seconds()
	guard := minGuard + unseen + 3*math.Sqrt(unseen)
	mean := max(0, certain-guard+others-float64(highest)) / (engines - 1)
	bound := o.options.Bound
	limits := caps{
		hard: bound*mean + 1,
		soft: (1+(bound-1)*o.options.reuseRoom())*mean + 1,
		even: mean + 1,
	}
	if o.modelEngines == len(o.engines) && o.suspect == 0 {
		limits.exact = bound*certain/engines + 1
	}
	return limits
}

// reuseRoom returns how much of the room between the mean and the bound may be
// taken for cache reuse: the odds of the weight, at most all.
func (o Options) reuseRoom() float64 {
	if o.ReuseWeight >= 0.5 {
		return 1
	}
	return o.ReuseWeight / (1 - o.ReuseWeight)
}

// othersAtLeast returns a load that the model's other pools still have together
// with near certainty: their reports less what ended since, which is Poisson
// distributed. A pool that did not report counts nothing.
func (o *Observer) othersAtLeast(now time.Time) float64 {
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
	return max(0, reported-ended-3*math.Sqrt(ended)-minGuard)
}

// choose returns the engine for a request, or nil when none is below the bound.
func (o *Observer) choose(now time.Time, request *Request) *engine {
	limits := o.caps(now)
	if e := o.cached(now, request, limits); e != nil {
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

// cached returns the engine that has the request's prompt, if it has room: the
// engine of the chat, or the least loaded of those that have the shared prefix.
func (o *Observer) cached(now time.Time, request *Request, limits caps) *engine {
	limit := min(limits.soft, limits.hard)
	candidates := [...]*engine{o.current(o.hints.Get(request.Chat)), o.byName[request.Hint]}
	for _, e := range candidates {
		if e != nil && o.isUsable(now, request, e) && e.hasRoom(now, limit) && !e.isFull() {
			return e
		}
	}
	if request.Prefix == 0 {
		return nil
	}
	var least *engine
	for _, former := range o.holders.Get(request.Prefix) {
		e := o.current(former)
		if e == nil || !o.isUsable(now, request, e) || !e.hasRoom(now, limit) || e.isFull() {
			continue
		}
		if least == nil || e.load < least.load {
			least = e
		}
	}
	return least
}

// current returns the engine of the same name that is in the pool now, or nil.
func (o *Observer) current(e *engine) *engine {
	if e == nil {
		return nil
	}
	return o.byName[e.name]
}

func (o *Observer) isUsable(now time.Time, request *Request, e *engine) bool {
	return now.After(e.paused) && !slices.Contains(request.Excluded, e.name)
}

// hasRoom reports whether one more request stays within limit. A joining engine
// reaches the limit over SlowStart.
func (e *engine) hasRoom(now time.Time, limit float64) bool {
	if age := now.Sub(e.joined); e.isSlow && age < SlowStart {
		limit = max(1, limit*age.Seconds()/SlowStart.Seconds())
	}
	return float64(e.load+1) <= limit
}

func (e *engine) isFull() bool {
	return e.slots > 0 && e.load >= e.slots
}

func (o *Observer) remember(request *Request, e *engine) {
	if request.Chat != 0 {
		o.hints.Put(request.Chat, e)
	}
	if request.Prefix == 0 {
		return
	}
	held := o.holders.Get(request.Prefix)
	at := slices.Index(held[:], e)
	if at < 0 {
		at = len(held) - 1
	}
	copy(held[1:at+1], held[:at])
	held[0] = e
	o.holders.Put(request.Prefix, held)
}

// Forget takes in an engine's event that a chat or a shared prefix left its
// cache. Events may come late or never.
func (o *Observer) Forget(engine string, key uint64) {
	if e := o.hints.Get(key); e != nil && e.name == engine {
		o.hints.Delete(key)
	}
	held := o.holders.Get(key)
	for i, e := range held {
		if e != nil && e.name == engine {
			held[i] = nil
			o.holders.Put(key, held)
		}
	}
}

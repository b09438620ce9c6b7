package main

import (
	"container/list"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gentianhead/core/virtual"
)

// engine simulates a model engine with slots, a queue and a prefix cache.
type engine struct {
	name         string
	model        int
	isAlive      bool
	toggledAt    time.Duration
	load         int
	running      int
	queue        []*request
	cache        map[uint64]*list.Element
	lru          *list.List
	cachedTokens int
	reported     [reportRing]int
}

type cacheEntry struct {
	key    uint64
	tokens int
}

// Load reports are kept for longer than the largest lag of 5 s.
const (
	reportStep = 100 * time.Millisecond
	reportRing = 64
)

func (e *engine) has(key uint64) bool { return key != 0 && e.cache[key] != nil }

// hit returns how many tokens of the prompt the engine has cached.
func (e *engine) hit(q *request) int {
	tokens := 0
	if q.prefix != 0 {
		if !e.has(q.prefix) {
			return 0
		}
		tokens = q.prefixTokens
	}
	if e.has(q.chat) {
		tokens += q.historyTokens
	}
	return tokens
}

func (e *engine) put(key uint64, tokens, capacity int) {
	if key == 0 {
		return
	}
	if element := e.cache[key]; element != nil {
		e.cachedTokens -= e.lru.Remove(element).(cacheEntry).tokens
	}
	e.cache[key] = e.lru.PushFront(cacheEntry{key, tokens})
	e.cachedTokens += tokens
	for e.cachedTokens > capacity {
		entry := e.lru.Remove(e.lru.Back()).(cacheEntry)
		delete(e.cache, entry.key)
		e.cachedTokens -= entry.tokens
	}
}

func (e *engine) clear() {
	e.cache, e.lru, e.cachedTokens = make(map[uint64]*list.Element), list.New(), 0
}

// policy places requests with send or refuse, now or later; ended follows each send.
type policy interface {
	place(q *request)
	ended(q *request)
}

// sim is one run of a policy over a deployment's load. alive is by model, listDelays
// by router, lastEngine by chat; previousEngine is its copy before an engine left.
type sim struct {
	d              deployment
	now            time.Duration
	events         virtual.Queue
	rng            *rand.Rand
	engines        []*engine
	alive          [][]*engine
	listDelays     []time.Duration
	policy         policy
	seenPrefixes   map[uint64]bool
	lastEngine     map[uint64]*engine
	previousEngine map[uint64]*engine
	m              metrics
}

// metrics holds the results of a run. Ratios are of the highest load to the mean, at
// an admission (worstRatio) or a request's end. moved counts returned chats on another
// engine. waits are keyed by whether the account is surgeAccount.
type metrics struct {
	arrived, admitted, violations, lifted, refusedBound, refusedAccount, missingRetryAfter, retries int
	hit, reusable, returned, moved, sentBytes                                                       int
	worstRatio                                                                                      float64
	ratios                                                                                          []float32
	waits                                                                                           map[bool][]time.Duration
}

func newSim(d deployment, seed uint64) *sim {
	s := &sim{d: d, rng: rand.New(rand.NewPCG(seed, 2)), seenPrefixes: map[uint64]bool{}, lastEngine: map[uint64]*engine{}}
	s.m.waits = map[bool][]time.Duration{}
	for i := range d.engines {
		e := &engine{name: "engine-" + itoa(i), model: int(float64(d.models) * s.rng.Float64() * s.rng.Float64()), isAlive: true, toggledAt: -time.Hour}
		if i < d.models {
			e.model = i
		}
		e.clear()
		s.engines = append(s.engines, e)
	}
	for range d.routers {
		s.listDelays = append(s.listDelays, 200*time.Millisecond+time.Duration(s.rng.Int64N(int64(d.listLag))))
	}
	s.index()
	s.every(reportStep, func() {
		for _, e := range s.engines {
			e.reported[int(s.now/reportStep)%reportRing] = e.load
		}
	})
	return s
}

func (s *sim) at(t time.Duration, run func()) {
	s.events.Add(t, run)
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now+d, run) }

func (s *sim) every(d time.Duration, run func()) {
	s.after(d, func() { run(); s.every(d, run) })
}

func (s *sim) run(requests []*request) {
	for _, q := range requests {
		s.at(q.at, func() { s.m.arrived++; s.policy.place(q) })
	}
	for {
		at, run, isDue := s.events.Next(s.d.length)
		if !isDue {
			return
		}
		s.now = at
		run()
	}
}

// index lists by model the engines that count towards the mean load: a leaving
// engine until it refuses work, a joining one once the slowest router lists it.
func (s *sim) index() {
	s.alive = make([][]*engine, s.d.models)
	for _, e := range s.engines {
		if e.isAlive && s.now-e.toggledAt >= s.d.listLag+200*time.Millisecond {
			s.alive[e.model] = append(s.alive[e.model], e)
		}
	}
}

// known returns a model's engines in a router's list, which shows changes late.
func (s *sim) known(router, model int) []*engine {
	var list []*engine
	for _, e := range s.engines {
		if e.model == model && e.isAlive == (s.now-e.toggledAt >= s.listDelays[router]) {
			list = append(list, e)
		}
	}
	return list
}

func (s *sim) mean(model int) float64 {
	total := 0
	for _, e := range s.alive[model] {
		total += e.load
	}
	return float64(total) / float64(len(s.alive[model]))
}

// report returns an engine's reported load, which is delayed by the lag.
func (s *sim) report(e *engine) int {
	return e.reported[int(max(0, s.now-s.d.lag)/reportStep)%reportRing]
}

// send admits a request to an engine. It returns false if the engine refused it.
func (s *sim) send(q *request, e *engine) bool {
	if !e.isAlive {
		s.m.retries++
		return false
	}
	e.load++
	q.engine, q.sent = e, s.now
	if slices.Contains(s.alive[e.model], e) {
		s.recordAdmission(e)
	}
	if previous := s.previousEngine[q.chat]; previous != nil {
		s.m.returned++
		if previous != e {
			s.m.moved++
		}
		delete(s.previousEngine, q.chat)
	}
	s.lastEngine[q.chat] = e
	if e.running < s.d.slots {
		s.start(q)
	} else {
		e.queue = append(e.queue, q)
	}
	return true
}

// recordAdmission checks an admission against the actual loads. worstRatio leaves out
// the 1 that the bound adds.
func (s *sim) recordAdmission(e *engine) {
	s.m.admitted++
	mean := s.mean(e.model)
	if float64(e.load) > s.d.bound*mean+1+1e-9 {
		s.m.violations++
	}
	if mean >= 1 {
		s.m.worstRatio = max(s.m.worstRatio, float64(e.load-1)/mean)
	}
}

func (s *sim) start(q *request) {
	e := q.engine
	e.running++
	s.m.waits[q.account == s.d.surgeAccount] = append(s.m.waits[q.account == s.d.surgeAccount], s.now-q.at)
	hit := e.hit(q)
	s.m.hit += hit
	if q.prefix != 0 && s.seenPrefixes[q.prefix] {
		s.m.reusable += q.prefixTokens
	}
	s.m.reusable += q.historyTokens
	s.seenPrefixes[q.prefix] = true
	e.put(q.prefix, q.prefixTokens, s.d.cacheTokens)
	e.put(q.chat, q.historyTokens+q.newTokens, s.d.cacheTokens)
	prefill := time.Duration(q.prefixTokens+q.historyTokens+q.newTokens-hit) * prefillPerToken
	s.after(prefill+q.decodeTime, func() { s.end(q) })
}

// cancel ends a request early because its router died. A queued one counts as
// running first, as end decrements that.
func (s *sim) cancel(q *request) {
	if i := slices.Index(q.engine.queue, q); i >= 0 {
		q.engine.queue = slices.Delete(q.engine.queue, i, i+1)
		q.engine.running++
	}
	s.end(q)
}

func (s *sim) end(q *request) {
	e := q.engine
	if q.isEnded {
		return
	}
	q.isEnded = true
	e.load--
	e.running--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		s.start(next)
	}
	s.policy.ended(q)
	s.recordLoads(e.model)
}

// recordLoads records the loads after a request ended. An engine above the bound
// counts as lifted, not as a violation, since only the mean fell.
func (s *sim) recordLoads(model int) {
	mean, highest := s.mean(model), 0
	for _, e := range s.alive[model] {
		highest = max(highest, e.load)
	}
	if mean >= 1 {
		s.m.ratios = append(s.m.ratios, float32(float64(highest)/mean))
	}
	if float64(highest) > s.d.bound*mean+1+1e-9 {
		s.m.lifted++
	}
}

// refuse counts a refusal. isAccountLimit means by the account's rate or share.
func (s *sim) refuse(q *request, isAccountLimit bool, after time.Duration) {
	if isAccountLimit {
		s.m.refusedAccount++
	} else {
		s.m.refusedBound++
	}
	if after <= 0 {
		s.m.missingRetryAfter++
	}
}

// toggle makes an engine leave, or join with an empty cache. Chats that continue
// within 60 list lags of a departure count as returned.
func (s *sim) toggle(e *engine) {
	if e.isAlive && s.previousEngine == nil {
		s.previousEngine = make(map[uint64]*engine, len(s.lastEngine))
		for chat, last := range s.lastEngine {
			s.previousEngine[chat] = last
		}
		s.after(s.d.listLag*60, func() { s.previousEngine = nil })
	}
	e.isAlive, e.toggledAt = !e.isAlive, s.now
	e.clear()
	s.index()
	s.after(s.d.listLag+200*time.Millisecond, s.index)
}

func percentile[T float32 | time.Duration](values []T, p float64) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(math.Ceil(p*float64(len(values))))-1]
}

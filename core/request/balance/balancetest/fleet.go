// Package balancetest replays load on independent routers and emulated endpoints in
// virtual time. It drives the real placement core of each router, with the beacon
// interval of a fleet of that size.
//
// A replay is deterministic for its options, seed and requests.
package balancetest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/presence"
	"gentianhead/core/request/balance"
	"gentianhead/core/request/breaker"
	"gentianhead/core/request/exchange"
	"gentianhead/core/request/fairness"
	"gentianhead/core/request/notice"
	"gentianhead/core/version/routetable"
	"gentianhead/core/virtual"
)

// Service is the name of the one service of a replay.
const Service = "service"

// linkDelay is the one-way latency between two processes.
const linkDelay = time.Millisecond

// HastyDelay is the time after which callers with HastyRepeats repeat a refused request.
const HastyDelay = 20 * time.Millisecond

// Options describe a fleet.
type Options struct {
	Routers int
	// BeaconInterval is the time between two beacons of a router.
	BeaconInterval time.Duration
	// Groups is the number of groups of routers. Routers report to their own group, and
	// the sum of their group to two partners in each other group, in alternate rounds.
	// Zero means that routers report to all others.
	Groups int
	// Endpoints is the number of endpoints. They are model engines if Engine is set,
	// otherwise plain servers.
	Endpoints int
	Plain     Plain
	Engine    *Engine
	// LoadFactor is the bound of an engine's load as a multiple of the mean.
	LoadFactor float64
	// IsPressured is the option of the placement cores.
	IsPressured bool
	// IsDown reports whether an endpoint refuses connections; nil means that none does.
	IsDown func(endpoint string, at time.Duration) bool
	// IsFailing reports whether an endpoint resets all requests; nil means that none
	// does. Such requests are not retried.
	IsFailing func(endpoint string, at time.Duration) bool
	// IsShedding reports whether an endpoint refuses all requests and asks for none for
	// ShedDistance; nil means that none does. With IgnoresNotices, routers don't read that.
	IsShedding     func(endpoint string, at time.Duration) bool
	ShedDistance   time.Duration
	IgnoresNotices bool
	// SlowFactor returns the factor by which an engine's steps, or a plain server's work,
	// take longer; nil means one.
	SlowFactor func(endpoint string, at time.Duration) float64
	// RestartAt is when all routers restart; zero means never. With ReportsCaches, they
	// get reports of what engines hold immediately.
	RestartAt     time.Duration
	ReportsCaches bool
	// RetryDelay returns the delay until the caller of a refused request retries; each
	// caller retries once. Nil means no retries.
	RetryDelay func(router int, now, left time.Duration) time.Duration
	// Observe holds functions to call with the routers at a time of the replay.
	Observe map[time.Duration]func(routers []*balance.Core, now time.Duration)
	// Baseline replaces the placement core if it is set.
	Baseline Baseline
	Seed     uint64
}

// Request is one request of a replay.
type Request struct {
	At time.Duration
	// Work is the service time at a plain server.
	Work time.Duration
	// Account is the requesting client account.
	Account string
	// HastyRepeats is how often the caller repeats the request HastyDelay after a refusal,
	// whatever the retry delay.
	HastyRepeats int
	// Prompt and Output, in tokens, are an engine's input and output.
	Prompt *exchange.Prompt
	Output int
	Target time.Duration
	// Deadline is how long the caller waits.
	Deadline time.Duration
	Class    string
	// Repeat is equal for repeats of one request; zero if that is not known.
	Repeat uint64
	// Rank is the priority; 0 is the most urgent.
	Rank int

	result *Result
}

// Result is a request with its outcome.
type Result struct {
	Request
	// IsRefused reports that the router refused it, IsUnanswered that it was sent but
	// not answered: shed, reset, not connected or still in progress.
	IsRefused, IsUnanswered bool
	// Latency is the time from the first attempt to the whole response of a plain
	// server, or to the first event of an engine.
	Latency time.Duration
	// Retries is how often the caller retried.
	Retries int
	// Pause is the longest time between two events of an engine.
	Pause time.Duration
}

// IsInTime reports whether the request was answered within its target latency.
func (r Result) IsInTime() bool { return !r.IsRefused && !r.IsUnanswered && r.Latency <= r.Target }

// server is an emulated endpoint. Its methods run in the fleet's virtual time.
type server interface {
	// offer reports whether the request is accepted. begun and done are called at the
	// first event and at the end. from is the endpoint to copy the prompt from, or nil.
	offer(request Request, from server, begun func(), done func(breaker.Outcome)) bool
	load() exchange.Load
}

// Fleet is the state of a replay.
type Fleet struct {
	options      Options
	now          time.Duration
	events       virtual.Queue
	random       *rand.Rand
	routers      []*balance.Core
	lastBeaconAt []time.Duration
	// groupReports holds, for each router, the latest reports of its group by router.
	groupReports []map[int]groupReport
	rounds       []int
	servers      map[string]server
	list         []server
	results      []Result
	// AboveBound counts requests that reached an endpoint above the load bound.
	AboveBound int
	// Prefilled counts the prompt tokens that engines prefilled, PrefilledAgain those
	// of shared parts that some engine had prefilled before, and Copied those copied.
	Prefilled, PrefilledAgain, Copied int
	// Preempted counts the requests that engines preempted.
	Preempted int
	// SentWhileAway is the largest number of requests that one router sent to one endpoint
	// between half a second after the endpoint asked it for distance and the end of that.
	SentWhileAway int
	away          map[awayKey]*awaySpan
	// FailedConnections counts attempts at endpoints that were down.
	FailedConnections int
	// Offered counts the requests that arrived at endpoints, and Rejected those of them that
	// the endpoint did not accept.
	Offered, Rejected int
	prefilledParts    map[string]bool
	// baselineLoads are the loads that endpoints reported to each router.
	baselineLoads []map[string]int
}

func (f *Fleet) countPrefill(part exchange.Part, isShared bool) {
	f.Prefilled += part.Tokens
	if isShared && f.prefilledParts[part.ID] {
		f.PrefilledAgain += part.Tokens
	}
	f.prefilledParts[part.ID] = true
}

// Replay runs requests, ordered by arrival time, through a fleet.
func Replay(options Options, requests []Request) (*Fleet, []Result) {
	f := &Fleet{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 7)),
		servers: make(map[string]server), results: make([]Result, len(requests)),
		prefilledParts: make(map[string]bool), lastBeaconAt: make([]time.Duration, options.Routers),
		away:         make(map[awayKey]*awaySpan),
		groupReports: make([]map[int]groupReport, options.Routers), rounds: make([]int, options.Routers),
		baselineLoads: make([]map[string]int, options.Routers),
	}
	for number := range options.Routers {
		f.groupReports[number] = make(map[int]groupReport)
		f.baselineLoads[number] = make(map[string]int)
	}
	view, table := f.buildEndpoints()
	f.startRouters(view, table)
	for number := range options.Routers {
		f.after(time.Duration(f.random.Int64N(int64(options.BeaconInterval))), func() { f.beacon(number) })
	}
	if options.RestartAt > 0 {
		f.after(options.RestartAt, func() {
			f.startRouters(view, table)
			f.reportCaches()
		})
	}
	for at, observe := range options.Observe {
		f.after(at, func() { observe(f.routers, f.clock()) })
	}
	for number, request := range requests {
		f.after(request.At, func() { f.arrive(number, request) })
	}
	end := requests[len(requests)-1].At + 30*time.Second
	for {
		at, run, isDue := f.events.Next(end)
		if !isDue {
			return f, f.results
		}
		f.now = at
		run()
	}
}

// startRouters replaces all routers by new ones.
func (f *Fleet) startRouters(view *endpoints.View, table *routetable.Table) {
	f.routers = nil
	for number := range f.options.Routers {
		seed := rand.New(rand.NewPCG(f.options.Seed, uint64(number+100)))
		core := balance.New(f.options.LoadFactor, 10*time.Second, seed.Float64)
		core.SetOptions(balance.Options{IsPressured: f.options.IsPressured})
		core.SetTable(table)
		core.SetView(view)
		if f.options.Baseline != "" {
			core.SetView(endpoints.New().View())
		}
		core.Tick(f.clock())
		f.routers = append(f.routers, core)
	}
}

// reportCaches reports the engines' cached parts to each router if enabled.
func (f *Fleet) reportCaches() {
	if !f.options.ReportsCaches {
		return
	}
	for id, s := range f.servers {
		e := s.(*engine)
		var parts []exchange.Part
		for part, cached := range e.cached {
			parts = append(parts, exchange.Part{ID: part, Tokens: cached.tokens})
		}
		for _, router := range f.routers {
			router.RecordCachedParts(f.clock(), id, parts)
		}
	}
}

func (f *Fleet) buildEndpoints() (*endpoints.View, *routetable.Table) {
	slots := f.options.Plain.Slots
	service := routetable.Service{Name: Service}
	if f.options.Engine != nil {
		slots = f.options.Engine.Slots
		service.Engine = &routetable.Engine{CopyPerToken: f.options.Engine.CopyPerToken, Slots: slots, MemoryTokens: f.options.Engine.Memory}
	}
	var entries []endpoints.Entry
	for number := range f.options.Endpoints {
		id := fmt.Sprintf("endpoint-%03d", number)
		entries = append(entries, endpoints.Entry{ID: id, Service: Service, Address: id, Slots: slots})
		if f.options.Engine != nil {
			f.servers[id] = newEngine(f, id, *f.options.Engine)
		} else {
			f.servers[id] = &plainServer{id: id, fleet: f, options: f.options.Plain}
		}
		f.list = append(f.list, f.servers[id])
	}
	core := endpoints.New()
	core.Apply(0, entries, nil)
	table, err := routetable.New(routetable.Spec{Version: 1, Services: []routetable.Service{service}})
	if err != nil {
		panic(err)
	}
	return core.View(), table
}

// slowFactor returns the factor by which an endpoint's work takes longer now.
func (f *Fleet) slowFactor(id string) float64 {
	if f.options.SlowFactor == nil {
		return 1
	}
	return f.options.SlowFactor(id, f.now)
}

func (f *Fleet) after(d time.Duration, run func()) {
	f.events.Add(f.now+d, run)
}

// clock starts at one hour, as the core treats zero as "never".
func (f *Fleet) clock() time.Duration { return f.now + time.Hour }

// beacon sends one router's report to the others, and schedules the next one.
func (f *Fleet) beacon(number int) {
	from := f.routers[number]
	report := from.Work(f.clock(), f.lastBeaconAt[number])
	f.lastBeaconAt[number] = f.clock()
	if f.options.Groups > 0 {
		f.reportToGroup(number, report)
		f.reportGroup(number, report)
	} else {
		f.after(linkDelay, func() {
			for other, router := range f.routers {
				if other != number {
					router.Report(f.clock(), fmt.Sprint("router-", number), report)
				}
			}
		})
	}
	f.after(f.options.BeaconInterval, func() { f.beacon(number) })
}

// groupReport is a router's report as received by another router of its group.
type groupReport struct {
	at     time.Duration
	report balance.WorkReport
}

// members returns the routers of a group.
func (f *Fleet) members(group int) []int {
	var members []int
	for number := group; number < f.options.Routers; number += f.options.Groups {
		members = append(members, number)
	}
	return members
}

// reportToGroup sends a router's report to the other routers of its group.
func (f *Fleet) reportToGroup(number int, report balance.WorkReport) {
	f.after(linkDelay, func() {
		for _, other := range f.members(number % f.options.Groups) {
			if other != number {
				f.groupReports[other][number] = groupReport{at: f.now, report: report}
				f.routers[other].Report(f.clock(), fmt.Sprint("router-", number), report)
			}
		}
	})
}

// reportGroup sends the sum of a router's group to its partners of this round.
func (f *Fleet) reportGroup(number int, own balance.WorkReport) {
	loads := []presence.Load{own.Load}
	var age time.Duration
	for _, received := range f.groupReports[number] {
		load := received.report.Load
		load.Slowness = slices.Clone(load.Slowness)
		for i := range load.Slowness {
			load.Slowness[i].Age += uint32((f.now - received.at) / time.Millisecond)
		}
		loads = append(loads, load)
		age += f.now - received.at
	}
	sum := balance.WorkReport{Load: presence.Sum(loads...), Routers: len(loads), Age: age / time.Duration(len(loads))}
	group, index := number%f.options.Groups, number/f.options.Groups
	f.rounds[number]++
	parity := f.rounds[number] % 2
	f.after(linkDelay, func() {
		for other := range f.options.Groups {
			members := f.members(other)
			smaller := min(len(members), len(f.members(group)))
			for at, member := range members {
				if other != group && (index+at)%smaller == parity {
					f.routers[member].Report(f.clock(), fmt.Sprint("group-", group), sum)
				}
			}
		}
	})
}

const (
	// maxAttempts bounds the endpoints tried when endpoints shed the request.
	maxAttempts = 2
	// maxConnectAttempts bounds the endpoints tried when connections are refused.
	maxConnectAttempts = 6
)

func (f *Fleet) arrive(number int, request Request) {
	result := &f.results[number]
	request.result = result
	result.Request = request
	result.IsUnanswered = true
	f.attempt(f.random.IntN(len(f.routers)), result, nil)
}

// refuse ends a request, or schedules its caller's retry, after the delay of shed if there is
// one.
func (f *Fleet) refuse(number int, result *Result, shed *balance.Shed) {
	left := result.At + result.Deadline - f.now
	if result.Retries < result.HastyRepeats && left > 0 {
		result.Retries++
		f.after(HastyDelay, func() {
			result.IsRefused, result.IsUnanswered = false, true
			f.attempt(f.random.IntN(len(f.routers)), result, nil)
		})
		return
	}
	if f.options.RetryDelay == nil || result.Retries > 0 || left <= 0 {
		return
	}
	result.Retries++
	delay := f.options.RetryDelay(number, f.clock(), left)
	if shed != nil {
		delay = shed.RetryDelay
	}
	f.after(delay, func() {
		result.IsRefused, result.IsUnanswered = false, true
		f.attempt(f.random.IntN(len(f.routers)), result, nil)
	})
}

func (f *Fleet) attempt(number int, result *Result, excluded []string) {
	router := f.routers[number]
	request := balance.PlacementRequest{
		Service: Service, Prompt: result.Prompt, Target: result.Target, Excluded: excluded,
		Flow: fairness.Flow{Account: result.Account, Rank: result.Rank}, Repeat: result.Repeat,
		Window: uint64(f.now / (2 * time.Second)),
		Left:   max(0, result.At+result.Deadline-f.now),
	}
	placement, refusal := f.place(number, request)
	if refusal != balance.Accepted {
		result.IsUnanswered, result.IsRefused = false, true
		f.refuse(number, result, placement.Shed)
		return
	}
	id := placement.Endpoint.ID
	target := f.servers[id]
	if f.options.IsDown != nil && f.options.IsDown(id, f.now) {
		f.after(2*linkDelay, func() {
			router.Done(f.clock(), &placement, breaker.Unreachable)
			f.FailedConnections++
			if excluded = append(excluded, id); len(excluded) < maxConnectAttempts {
				f.attempt(number, result, excluded)
				return
			}
			f.refuse(number, result, nil)
		})
		return
	}
	if f.options.IsFailing != nil && f.options.IsFailing(id, f.now) {
		f.after(2*linkDelay, func() { router.Done(f.clock(), &placement, breaker.Failed) })
		return
	}
	f.countWhileAway(number, id)
	if f.options.IsShedding != nil && f.options.IsShedding(id, f.now) {
		f.after(2*linkDelay, func() { f.shed(number, result, &placement, excluded) })
		return
	}
	f.after(linkDelay, func() {
		f.countAboveBound(target)
		isLost := false
		begun := func() {
			load := target.load()
			f.after(linkDelay, func() {
				result.Latency = f.now - result.At
				result.IsUnanswered = isLost
				if f.options.Engine != nil || f.options.Plain.StatesLoad {
					f.recordBaselineLoad(number, id, load)
					router.RecordLoad(f.clock(), id, load)
				}
				router.RecordFirstEvent(f.clock(), &placement)
			})
		}
		done := func(outcome breaker.Outcome) {
			f.after(linkDelay, func() {
				isLost = outcome != breaker.Succeeded
				result.IsUnanswered = result.IsUnanswered || isLost
				router.Done(f.clock(), &placement, outcome)
			})
		}
		f.Offered++
		if target.offer(result.Request, f.servers[placement.CopyFrom], begun, done) {
			return
		}
		f.Rejected++
		load := target.load()
		f.after(linkDelay, func() {
			var stated *exchange.Load
			if f.options.Plain.StatesLoad {
				stated = &load
				router.RecordLoad(f.clock(), id, load)
			}
			router.RecordRejection(f.clock(), &placement, stated)
			router.Done(f.clock(), &placement, breaker.Neutral)
			if excluded = append(excluded, id); len(excluded) < maxAttempts {
				f.attempt(number, result, excluded)
				return
			}
			f.refuse(number, result, nil)
		})
	})
}

// awayKey is a router and an endpoint.
type awayKey struct {
	router   int
	endpoint string
}

// awaySpan is the time for which an endpoint asked a router for distance.
type awaySpan struct {
	from, until time.Duration
	sent        int
}

// awayGrace is how long after its answer an endpoint may still get requests.
const awayGrace = 500 * time.Millisecond

func (f *Fleet) countWhileAway(router int, endpoint string) {
	if span, isAway := f.away[awayKey{router, endpoint}]; isAway && f.now >= span.from && f.now < span.until {
		span.sent++
		f.SentWhileAway = max(f.SentWhileAway, span.sent)
	}
}

// shed ends an attempt at an endpoint that refused it and asked for distance.
func (f *Fleet) shed(number int, result *Result, placement *balance.Placement, excluded []string) {
	router, id := f.routers[number], placement.Endpoint.ID
	router.Done(f.clock(), placement, breaker.Neutral)
	if !f.options.IgnoresNotices {
		router.RecordNotice(f.clock(), placement, notice.Notice{Distance: f.options.ShedDistance})
	}
	key := awayKey{number, id}
	if span, isAway := f.away[key]; !isAway || f.now >= span.until {
		f.away[key] = &awaySpan{from: f.now + awayGrace, until: f.now + f.options.ShedDistance}
	}
	if excluded = append(excluded, id); len(excluded) < maxAttempts {
		f.attempt(number, result, excluded)
		return
	}
	result.IsUnanswered, result.IsRefused = false, true
	f.refuse(number, result, nil)
}

// countAboveBound counts a request that reaches an endpoint above the load bound.
func (f *Fleet) countAboveBound(target server) {
	total := 0
	for _, s := range f.list {
		load := s.load()
		total += load.Running + load.Waiting
	}
	load := target.load()
	mean := float64(total) / float64(len(f.list))
	if float64(load.Running+load.Waiting) > f.options.LoadFactor*mean+boundSlack {
		f.AboveBound++
	}
}

// boundSlack is the number of requests allowed above the bound at a small mean.
const boundSlack = 3

// Package gossiptest simulates a fleet of gossip cores in one process in virtual
// time, for tests and measurements. It passes events to the cores as the control
// loop does, and lets callers fail the calls to peers, store and instance list. It
// doesn't model networks or hosts.
package gossiptest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianhead/core/process/gossip"
	"gentianhead/core/process/membership"
	"gentianhead/core/process/pacing"
	"gentianhead/core/process/withdrawal"
	"gentianhead/core/version/resource"
	"gentianhead/core/virtual"
)

// Options configure a Fleet. All fields except Size may be zero.
type Options struct {
	Size int
	// Zones is the number of availability zones; zero means 3.
	Zones int
	Seed  uint64
	// Latency is the one-way delay of a message; zero means 2 ms.
	Latency time.Duration
	// IsLinkDown reports whether messages from one router to another are lost now.
	IsLinkDown func(from, to int) bool
	// OnSend is called for each heartbeat and answer that a router sends.
	OnSend func(from, to int, heartbeat gossip.Heartbeat, isAnswer bool)
	// HeadInterval overrides the time between two reads of the head row.
	HeadInterval func(size int) time.Duration
	// ListedBytes is the size of one list item in bytes; zero means 150.
	ListedBytes int
}

// Platform is the state of the platform's services.
type Platform struct {
	// IsDown makes every call fail.
	IsDown bool
	// Head is the latest accepted revision.
	Head resource.Revision
	// Endpoints is the content of the list.
	Endpoints []withdrawal.ListedEndpoint
	// Reads, Lists and Writes count the calls served. The first read of the head row
	// by a router also causes a write.
	Reads, Lists, Writes int
}

// Router is a simulated router.
type Router struct {
	Core *gossip.Core
	// InForce is the revision in force, and InForceAt the time it came into force.
	InForce   resource.Revision
	InForceAt time.Time
	// IsStoreUnreachable makes this router's calls to the platform fail.
	IsStoreUnreachable bool
	IsDown             bool
	isPaused           bool

	index      int
	router     membership.Router
	lastTick   time.Time
	deferred   []func()
	schedule   *pacing.Schedule
	isFetching bool
	// isConfirmed is set by the first head row read, which includes a transaction
	// (a write) that confirms that the row is current.
	isConfirmed bool
}

var startTime = time.Unix(1_700_000_000, 0)

// Fleet is a simulated set of routers and their platform.
type Fleet struct {
	Now      time.Time
	Platform Platform
	Routers  []*Router
	// AfterTick, if set, is called after each tick of a running router.
	AfterTick func(*Router)

	options    Options
	random     *rand.Rand
	queue      virtual.Queue
	byInstance map[string]*Router
	starts     int
}

// New returns a fleet whose routers all start at the same time.
func New(options Options) *Fleet {
	if options.Zones == 0 {
		options.Zones = 3
	}
	if options.Latency == 0 {
		options.Latency = 2 * time.Millisecond
	}
	if options.ListedBytes == 0 {
		options.ListedBytes = 150
	}
	f := &Fleet{
		Now:        startTime,
		options:    options,
		random:     rand.New(rand.NewPCG(options.Seed, 1)),
		byInstance: make(map[string]*Router),
	}
	for i := range options.Size {
		f.Routers = append(f.Routers, f.newRouter(i))
	}
	for _, r := range f.Routers {
		f.Start(r)
	}
	return f
}

func (f *Fleet) newRouter(i int) *Router {
	name := fmt.Sprintf("router-%04d", i)
	r := &Router{index: i, router: membership.Router{
		Instance:      name,
		Zone:          fmt.Sprintf("zone-%02d", i%f.options.Zones+1),
		CallerAddress: fmt.Sprintf("10.%d.%d.%d:8080", i%f.options.Zones, i/250, i%250),
		PeerAddress:   fmt.Sprintf("10.%d.%d.%d:8081", i%f.options.Zones, i/250, i%250),
	}}
	f.byInstance[name] = r
	return r
}

// Start starts or restarts a router with empty state.
func (f *Fleet) Start(r *Router) {
	r.router.Incarnation = uint64(f.Now.UnixNano())
	r.Core = gossip.New(r.router, f.random.Uint64())
	r.InForce, r.IsDown, r.isPaused, r.isFetching = 0, false, false, false
	r.deferred, r.isConfirmed = nil, false
	r.schedule = pacing.NewSchedule(f.Now, f.random.Uint64())
	if f.options.HeadInterval != nil {
		r.schedule.SetHeadInterval(f.options.HeadInterval)
	}
	f.starts++
	f.after(time.Duration(f.random.Int64N(int64(membership.TickInterval))), func() { f.tick(r, r.Core) })
}

// Index returns the position of a router in Fleet.Routers.
func (r *Router) Index() int { return r.index }

// Instance returns the name of the instance that the router runs on.
func (r *Router) Instance() string { return r.router.Instance }

// Zone returns the availability zone of the router.
func (r *Router) Zone() string { return r.router.Zone }

// Pause stops a router as SIGSTOP does; its incoming events are queued.
func (f *Fleet) Pause(r *Router) { r.isPaused = true }

// Resume continues a paused router and delivers its queued events before its next
// tick.
func (f *Fleet) Resume(r *Router) {
	r.isPaused = false
	deferred := r.deferred
	r.deferred = nil
	for _, deliver := range deferred {
		deliver()
	}
}

// IsSendingWork reports whether a router would send new work to a live endpoint
// now.
func (f *Fleet) IsSendingWork(r *Router) bool {
	return !r.IsDown && !r.isPaused && !r.Core.IsIsolated() && f.Now.Sub(r.lastTick) <= membership.MaxTickGap
}

// Run advances the virtual time by d and runs all events due.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for {
		_, run, isDue := f.queue.Next(end.Sub(startTime))
		if !isDue {
			f.Now = end
			return
		}
		run()
	}
}

func (f *Fleet) after(d time.Duration, run func()) {
	at := f.Now.Add(d)
	f.queue.Add(at.Sub(startTime), func() {
		f.Now = at
		run()
	})
}

// runOrDefer runs an event of a router now, or queues it while the router is paused.
// Events of stopped processes are dropped.
func (f *Fleet) runOrDefer(r *Router, core *gossip.Core, run func()) {
	switch {
	case r.IsDown || r.Core != core:
	case r.isPaused:
		r.deferred = append(r.deferred, run)
	default:
		run()
	}
}

func (f *Fleet) tick(r *Router, core *gossip.Core) {
	if r.IsDown || r.Core != core {
		return
	}
	f.after(membership.TickInterval, func() { f.tick(r, core) })
	if r.isPaused {
		return
	}
	r.lastTick = f.Now
	core.Step(gossip.Tick{At: f.Now, InForce: r.InForce})
	f.startDueReads(r)
	f.carryOut(r)
	if f.AfterTick != nil {
		f.AfterTick(r)
	}
}

func (f *Fleet) startDueReads(r *Router) {
	slot := r.Core.View().Slot(r.router.Instance)
	if r.schedule.HeadDue(f.Now, slot, r.Core.IsStoreReadDue()) {
		f.readHead(r)
	}
	if r.schedule.ListDue(f.Now) {
		f.readList(r)
	}
	if r.schedule.RegistrationDue(f.Now) && !r.IsStoreUnreachable && !f.Platform.IsDown {
		f.Platform.Writes++
	}
}

func (f *Fleet) readHead(r *Router) {
	sentAt, core := f.Now, r.Core
	f.after(f.options.Latency, func() {
		if r.IsStoreUnreachable || f.Platform.IsDown {
			return
		}
		f.Platform.Reads++
		if !r.isConfirmed {
			r.isConfirmed = true
			f.Platform.Writes++
		}
		head := f.Platform.Head
		f.after(f.options.Latency, func() {
			f.runOrDefer(r, core, func() {
				core.Step(gossip.StoreRead{SentAt: sentAt, Revision: head})
				f.fetch(r, head, -1)
				f.carryOut(r)
			})
		})
	})
}

func (f *Fleet) readList(r *Router) {
	sentAt, core := f.Now, r.Core
	f.after(f.options.Latency, func() {
		if r.IsStoreUnreachable || f.Platform.IsDown {
			return
		}
		f.Platform.Lists++
		var routers []membership.Router
		for _, listed := range f.Routers {
			if !listed.IsDown {
				routers = append(routers, listed.router)
			}
		}
		list := gossip.ListRead{SentAt: sentAt, Routers: routers, Endpoints: f.Platform.Endpoints}
		bytes := (len(list.Routers) + len(list.Endpoints)) * f.options.ListedBytes
		f.after(f.options.Latency, func() {
			f.runOrDefer(r, core, func() {
				list.At = f.Now
				core.Step(list)
				r.schedule.ListRead(f.Now, core.View().Slot(r.router.Instance), bytes)
				f.carryOut(r)
			})
		})
	})
}

// fetch gets the revision in force on another router or in the store (-1), which
// takes one round trip.
func (f *Fleet) fetch(r *Router, revision resource.Revision, from int) {
	if revision <= r.InForce || r.isFetching {
		return
	}
	core := r.Core
	if from < 0 {
		f.Platform.Reads++
	}
	r.isFetching = true
	f.after(2*f.options.Latency, func() {
		f.runOrDefer(r, core, func() {
			r.isFetching = false
			isLost := from >= 0 && (f.isLinkDown(r.index, from) || f.isLinkDown(from, r.index))
			if !isLost && revision > r.InForce {
				r.InForce, r.InForceAt = revision, f.Now
				core.Step(gossip.InForce{At: f.Now, Revision: revision})
				f.carryOut(r)
			}
		})
	})
}

func (f *Fleet) isLinkDown(from, to int) bool {
	return f.options.IsLinkDown != nil && f.options.IsLinkDown(from, to)
}

func (f *Fleet) carryOut(r *Router) {
	ready := r.Core.Ready()
	for _, send := range ready.Send {
		f.send(r, send)
	}
	r.Core.Advance(ready)
}

func (f *Fleet) send(r *Router, send gossip.Send) {
	to := f.byInstance[send.To.Instance]
	core, sentAt, ended := r.Core, f.Now, false
	end := func(answer *gossip.Heartbeat) {
		f.runOrDefer(r, core, func() {
			if ended {
				return
			}
			ended = true
			core.Step(gossip.Sent{At: f.Now, SentAt: sentAt, Send: send, Answer: answer})
			if answer != nil {
				f.fetch(r, answer.Revision, to.index)
			}
			f.carryOut(r)
		})
	}
	f.after(membership.ProbeTimeout, func() { end(nil) })
	f.reportSend(r, to, send.Heartbeat, false)
	f.after(f.options.Latency, func() {
		if f.isLinkDown(r.index, to.index) {
			return
		}
		f.runOrDefer(to, to.Core, func() { f.receive(to, r, send.Heartbeat, end) })
	})
}

func (f *Fleet) receive(to, from *Router, heartbeat gossip.Heartbeat, end func(*gossip.Heartbeat)) {
	answer := to.Core.Message().Answer(heartbeat)
	to.Core.Step(gossip.Received{At: f.Now, Heartbeat: heartbeat, Answered: answer})
	f.fetch(to, heartbeat.Revision, from.index)
	f.carryOut(to)
	f.reportSend(to, from, answer, true)
	f.after(f.options.Latency, func() {
		if !f.isLinkDown(to.index, from.index) {
			end(&answer)
		}
	})
}

func (f *Fleet) reportSend(from, to *Router, heartbeat gossip.Heartbeat, isAnswer bool) {
	if f.options.OnSend != nil {
		f.options.OnSend(from.index, to.index, heartbeat, isAnswer)
	}
}

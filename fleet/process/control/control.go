// Package control runs the goroutine that owns a router's control state. It
// passes events to the decision cores, performs the actions they request and
// publishes an immutable State for request handling.
package control

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"gentianhead/core/process/gossip"
	"gentianhead/core/process/membership"
	"gentianhead/core/process/pacing"
	"gentianhead/core/process/withdrawal"
	"gentianhead/core/request/placement"
	"gentianhead/core/version/config"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/instances"
	"gentianhead/fleet/connection/peer"
	"gentianhead/fleet/version/desired"
	"github.com/cespare/xxhash/v2"
)

const (
	// callTimeout bounds each call of the control loop.
	callTimeout    = 3 * time.Second
	eventQueueSize = 1024
)

// State is the control state that request handling reads. It is immutable.
type State struct {
	Config *resource.Snapshot
	View   *membership.View
	Picker *placement.Picker
	// IsReady reports whether a configuration is active.
	IsReady bool
	// IsIsolated reports that the router lost contact with the store and its peers and
	// must refuse new work. Loop.IsIsolated also detects a paused control goroutine.
	IsIsolated bool
	// Withdrawn holds endpoints withdrawn in addition to those in Config.
	Withdrawn *withdrawal.Set
	// admitted holds the addresses of endpoints that accept new work.
	admitted map[string]bool
}

// Options configures a Loop. All fields are required.
type Options struct {
	Self      membership.Router
	Desired   *desired.Store
	Instances *instances.List
	Peers     *peer.Pool
	Log       *slog.Logger
}

// Loop owns the control state of a router.
type Loop struct {
	options Options
	state   atomic.Pointer[State]
	events  chan any
	// dropped counts events dropped because the queue was full.
	dropped atomic.Int64

	config    *config.Core
	isReady   bool
	revisions map[string]resource.Revision
	routing   *Routing
	roster    roster
	// history serves requests for changes from peers and watchers.
	history          atomic.Pointer[config.History]
	configChanged    broadcast
	isTickScheduled  atomic.Bool
	lastHousekeeping time.Time

	gossip *gossip.Core
	// message is the reply to heartbeats. Peer connections read it.
	message atomic.Pointer[gossip.Message]
	// announced is the last revision passed to the gossip core.
	announced resource.Revision
	reads     *pacing.Schedule
	// isListRead reports that the instance list was read and that routing must
	// be notified once its routers are in the published view.
	isListRead   bool
	revisionPoll revisionPoll
	// tickedAt is the time of the last tick, in nanoseconds since startedAt.
	tickedAt  atomic.Int64
	startedAt time.Time
	crashes   atomic.Pointer[Crashes]
	rates     atomic.Pointer[StatedRates]
}

// Events that the loop handles itself.
type (
	leaveRequested     struct{ done chan struct{} }
	revisionsRequested struct {
		answer chan []RouterRevision
	}
)

// New returns a loop; Run starts it.
func New(options Options) *Loop {
	loop := &Loop{
		options:   options,
		events:    make(chan any, eventQueueSize),
		config:    config.New(xxhash.Sum64String(options.Self.Instance)),
		revisions: make(map[string]resource.Revision),
		routing:   newRouting(options.Self, options.Peers),

		gossip:    gossip.New(options.Self, options.Self.Incarnation),
		reads:     pacing.NewSchedule(time.Now(), options.Self.Incarnation),
		startedAt: time.Now(),
	}
	loop.publish()
	loop.message.Store(loop.gossip.Message())
	loop.history.Store(loop.config.History())
	return loop
}

// State returns the current state. It may be called from any goroutine.
func (l *Loop) State() *State {
	return l.state.Load()
}

// Routing returns the component that places requests.
func (l *Loop) Routing() *Routing {
	return l.routing
}

// Post queues an event for the control goroutine. If the queue is full, the
// event is dropped and counted, so that request handling never blocks.
func (l *Loop) Post(event any) {
	select {
	case l.events <- event:
	default:
		l.dropped.Add(1)
	}
}

// DroppedEvents returns the number of events dropped because the queue was full.
func (l *Loop) DroppedEvents() int64 {
	return l.dropped.Load()
}

// Run runs the control loop until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	tick := time.NewTicker(membership.TickInterval)
	defer tick.Stop()
	go l.routing.run(ctx)
	go l.routing.readLoads(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			l.step(event)
		case <-tick.C:
			l.tick(ctx, time.Now())
		}
		l.handleConfigReady(ctx)
		l.handleGossipReady(ctx, time.Now())
	}
}

// step passes one event to the core that handles it.
func (l *Loop) step(event any) {
	switch e := event.(type) {
	case gossip.Received:
		l.recordRevision(e.Heartbeat)
		l.gossip.Step(e)
	case gossip.Sent:
		if e.Answer != nil {
			l.recordRevision(*e.Answer)
		}
		l.gossip.Step(e)
	case gossip.Event:
		l.gossip.Step(e)
	case registrationFailed:
		l.reads.RegisterAt(time.Now().Add(pacing.RegistrationJitter))
	case listRead:
		l.handleList(e)
	case config.Event:
		l.config.Step(e)
	case leaveRequested:
		l.gossip.Step(gossip.Leave{At: time.Now()})
		l.reads.RegisterAt(time.Now())
		l.publish()
		close(e.done)
	case revisionsRequested:
		l.revisionPoll.isRequested = true
		e.answer <- l.activeRevisions()
	}
}

func (l *Loop) publish() {
	snapshot := l.config.Snapshot()
	l.state.Store(&State{
		Config:  snapshot,
		View:    l.gossip.View(),
		Picker:  newPicker(snapshot, l.gossip.Withdrawn()),
		IsReady: l.isReady,

		IsIsolated: l.gossip.IsIsolated(),
		Withdrawn:  l.gossip.Withdrawn(),
		admitted:   admittedAddresses(snapshot, l.gossip.Withdrawn()),
	})
	l.routing.update(snapshot, l.gossip.Withdrawn(), l.gossip.View())
}

// Register registers the handlers of heartbeats, changes and routing calls.
func (l *Loop) Register(server *peer.Server) {
	server.Register(peer.TypeHeartbeat, peer.Handle(l.handleHeartbeat))
	server.Register(peer.TypeChanges, peer.Handle(l.handleChanges))
	l.routing.register(server)
}

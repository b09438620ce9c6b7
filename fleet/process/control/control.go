// Package control runs the one goroutine that owns a router's control state.
// It feeds the decision cores, carries out what they ask for and publishes an
// immutable State for traffic to read.
package control

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/membership"
	"gentianhead/core/request/placement"
	"gentianhead/core/version/config"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/peer"
	"gentianhead/fleet/connection/platform"
	"gentianhead/fleet/version/desired"
)

// Intervals of the control loop.
const (
	// PollInterval is the time between two reads of the head row.
	PollInterval = time.Second
	// HeartbeatInterval is the time between two rounds of heartbeats.
	HeartbeatInterval = time.Second
	// ListInterval is the time between two reads of the instance list.
	ListInterval = 5 * time.Second
	// callTimeout bounds one call that the control loop makes.
	callTimeout = 3 * time.Second
	// eventQueue is how many events may wait for the control goroutine.
	eventQueue = 1024
)

// State is what traffic reads. It is immutable.
type State struct {
	Config *resource.Snapshot
	View   *membership.View
	Picker *placement.Picker
	// IsReady says that a configuration is in force.
	IsReady bool
}

// Options are what a Loop needs. All fields are required.
type Options struct {
	Self     membership.Router
	Desired  *desired.Store
	Platform *platform.Client
	Peers    *peer.Pool
	Log      *slog.Logger
}

// Loop owns the control state of a router.
type Loop struct {
	options Options
	state   atomic.Pointer[State]
	events  chan any
	// dropped counts events that found the queue full.
	dropped atomic.Int64

	config  *config.Core
	members *membership.Core
	isReady bool
	heads   map[string]resource.Revision
	routing *Routing
	roster  roster
	// history is what peers and watchers are answered from.
	history        atomic.Pointer[config.History]
	inForceChanged broadcast
	isWakePlanned  atomic.Bool
	housekeptAt    time.Time
}

// events that only the loop knows.
type (
	leaveAsked struct{ done chan struct{} }
	fleetAsked struct {
		answer chan []RouterInForce
	}
)

// New returns a loop; Run starts it.
func New(options Options) *Loop {
	loop := &Loop{
		options: options,
		events:  make(chan any, eventQueue),
		config:  config.New(xxhash.Sum64String(options.Self.Instance)),
		members: membership.New(options.Self),
		heads:   make(map[string]resource.Revision),
		routing: newRouting(options.Self, options.Peers),
	}
	loop.publish()
	loop.history.Store(loop.config.History())
	return loop
}

// State returns the current state. It may be called from any goroutine.
func (l *Loop) State() *State {
	return l.state.Load()
}

// Routing returns the part that places requests.
func (l *Loop) Routing() *Routing {
	return l.routing
}

// Post hands an event to the control goroutine. A full queue drops and counts
// it, so that traffic never waits.
func (l *Loop) Post(event any) {
	select {
	case l.events <- event:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns how many events found the queue full.
func (l *Loop) Dropped() int64 {
	return l.dropped.Load()
}

// Run owns the control state until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	poll := time.NewTicker(PollInterval)
	defer poll.Stop()
	beat := time.NewTicker(HeartbeatInterval)
	defer beat.Stop()
	list := time.NewTicker(ListInterval)
	defer list.Stop()
	go l.readList(ctx)
	go l.readHead(ctx)
	go l.routing.run(ctx)
	go l.routing.readLoads(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			l.step(event)
		case <-poll.C:
			go l.readHead(ctx)
		case <-list.C:
			go l.readList(ctx)
		case now := <-beat.C:
			l.step(membership.Tick{At: now})
			l.sendHeartbeats(ctx)
		}
		l.carryOut(ctx)
	}
}

// step hands one event to the core that it belongs to.
func (l *Loop) step(event any) {
	switch e := event.(type) {
	case peer.Heartbeat:
		l.heads[e.Router.Instance] = e.Revision
		l.config.Step(config.PeerHead{Instance: e.Router.Instance, Revision: e.Revision})
		l.stepMembers(membership.Heartbeat{At: time.Now(), Router: e.Router})
	case membership.Event:
		l.stepMembers(e)
	case config.Event:
		l.config.Step(e)
	case leaveAsked:
		l.members.SetLeaving()
		l.publish()
		close(e.done)
	case fleetAsked:
		e.answer <- l.inForce()
	}
}

func (l *Loop) stepMembers(event membership.Event) {
	if l.members.Step(event) {
		l.publish()
	}
	if _, isList := event.(membership.ListRead); isList {
		l.routing.listed()
	}
}

func (l *Loop) publish() {
	snapshot := l.config.Snapshot()
	l.state.Store(&State{
		Config:  snapshot,
		View:    l.members.View(),
		Picker:  newPicker(snapshot),
		IsReady: l.isReady,
	})
	l.routing.update(snapshot, l.members.View())
}

// Register sets the handlers of the calls that this part answers.
func (l *Loop) Register(server *peer.Server) {
	server.Register(peer.TypeHeartbeat, peer.Handle(l.answerHeartbeat))
	server.Register(peer.TypeChanges, peer.Handle(l.answerChanges))
	l.routing.register(server)
}

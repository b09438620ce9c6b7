package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// member is the state of one peer as seen by this router.
type member struct {
	router Router
	state  State
	// stateSince is when state was last set or confirmed, or when a pause ended.
	stateSince time.Time
	// lastContactAt is the time of the latest direct sign of life, not of a rumor.
	lastContactAt time.Time
	// transmissions counts the heartbeats that carried the latest rumor.
	transmissions int
	isQueued      bool
}

// hasLeft reports whether the router shut down gracefully. Other dead routers are
// kept for as long as the platform lists them: without them, a few partitioned
// routers would see themselves as the whole fleet.
func (m *member) hasLeft() bool {
	return m.state == Dead && m.router.Leaving
}

// Core holds the membership state of one router.
type Core struct {
	self    Router
	random  *rand.Rand
	members map[string]*member
	// unhealthy holds the members that are suspect or dead. It may hold members that
	// are alive again or removed until the next tick.
	unhealthy map[string]*member

	// ring holds the members in probe order.
	ring     []string
	ringNext int
	// queue holds the members with rumors to send.
	queue    []*member
	outcomes probeOutcomes

	lastTick  time.Time
	resumedAt time.Time
	nextProbe time.Time
	nextPush  time.Time
	isPushDue bool

	probes []Router
	pushes []Router
	view   *View
	// published is the view at the latest Advance.
	published *View
	// isStale is set if view has to be rebuilt.
	isStale bool
}

// New returns a core without peers. Routers need different seeds, so that their
// probes are spread over their peers.
func New(self Router, seed uint64) *Core {
	c := &Core{
		self:      self,
		random:    rand.New(rand.NewPCG(seed, 0)),
		members:   make(map[string]*member),
		unhealthy: make(map[string]*member),
		isStale:   true,
	}
	c.rebuildView()
	c.published = c.view
	return c
}

// Step processes one event.
func (c *Core) Step(event Event) {
	switch e := event.(type) {
	case ListRead:
		c.stepList(e)
	case Heartbeat:
		c.stepHeartbeat(e)
	case ProbeFailed:
		c.stepProbeFailed(e)
	case PushRequested:
		c.isPushDue = true
		c.planHeartbeats(e.At)
	case Tick:
		c.stepTick(e.At)
	}
}

// Ready returns the pending work.
func (c *Core) Ready() Ready {
	c.rebuildView()
	ready := Ready{Probe: c.probes, Push: c.pushes}
	if c.view != c.published {
		ready.View = c.view
	}
	return ready
}

// Advance marks the work of the latest Ready as done: its probes were sent with
// the heartbeat that Message returned.
func (c *Core) Advance() {
	c.published = c.view
	c.probes, c.pushes = nil, nil
}

// Self returns this router as peers should see it.
func (c *Core) Self() Router {
	return c.self
}

// View returns the current view.
func (c *Core) View() *View {
	c.rebuildView()
	return c.view
}

// PeerCount returns the number of other routers, including dead ones.
func (c *Core) PeerCount() int {
	return len(c.members)
}

// SetLeaving marks this router as leaving and schedules a push to peers.
func (c *Core) SetLeaving(at time.Time) {
	c.self.Leaving = true
	c.self.Incarnation++
	c.isStale = true
	c.isPushDue = true
	c.planHeartbeats(at)
}

// ResumedAt returns when this router last detected a pause.
func (c *Core) ResumedAt() time.Time {
	return c.resumedAt
}

func (c *Core) stepTick(at time.Time) {
	gap := at.Sub(c.lastTick)
	if !c.lastTick.IsZero() && (gap > MaxTickGap || gap < 0) {
		c.resetAfterPause(at)
	}
	c.lastTick = at
	timeout := SuspicionTimeout
	if c.outcomes.isImpaired() {
		timeout *= ImpairedTimeoutFactor
	}
	for name, m := range c.unhealthy {
		switch {
		case m.state == Alive || c.members[name] != m:
			delete(c.unhealthy, name)
		case m.state == Suspect && at.Sub(m.stateSince) >= timeout:
			c.setState(m, Dead, at)
		case m.hasLeft() && at.Sub(m.stateSince) >= LeftMemberTTL:
			delete(c.members, name)
		}
	}
	c.planHeartbeats(at)
}

// resetAfterPause restarts the timers and drops the probe outcomes: a suspect may have
// refuted the suspicion meanwhile, and probes were unanswered because of the pause.
func (c *Core) resetAfterPause(at time.Time) {
	c.resumedAt = at
	c.outcomes = probeOutcomes{}
	c.nextProbe, c.nextPush = at, at
	for _, m := range c.unhealthy {
		m.stateSince = at
	}
}

// stepList adds routers that are listed but unknown and removes those that are
// neither listed nor alive for longer than UnlistedGracePeriod.
func (c *Core) stepList(e ListRead) {
	listed := make(map[string]bool, len(e.Routers))
	for _, router := range e.Routers {
		listed[router.Instance] = true
		if router.Instance == c.self.Instance {
			continue
		}
		if _, known := c.members[router.Instance]; !known && len(c.members) < MaxMembers {
			c.add(router, Alive, e.At)
		}
	}
	for name, m := range c.members {
		if !listed[name] && m.state != Alive && e.At.Sub(m.stateSince) > UnlistedGracePeriod {
			delete(c.members, name)
			c.isStale = true
		}
	}
}

func (c *Core) add(router Router, state State, at time.Time) *member {
	m := &member{router: router, stateSince: at}
	c.members[router.Instance] = m
	position := c.random.IntN(len(c.ring) + 1)
	c.ring = slices.Insert(c.ring, position, router.Instance)
	if position < c.ringNext {
		c.ringNext++
	}
	c.isStale = true
	c.setState(m, state, at)
	return m
}

func (c *Core) setState(m *member, state State, at time.Time) {
	if m.state != state {
		m.state = state
		m.stateSince = at
		c.isStale = true
		if state != Alive {
			c.unhealthy[m.router.Instance] = m
		}
	}
}

func (c *Core) rebuildView() {
	if !c.isStale {
		return
	}
	c.isStale = false
	routers := make([]Router, 0, len(c.members)+1)
	routers = append(routers, c.self)
	for _, m := range c.members {
		if m.state != Dead {
			routers = append(routers, m.router)
		}
	}
	slices.SortFunc(routers, func(a, b Router) int { return strings.Compare(a.Instance, b.Instance) })
	if c.view == nil || !slices.Equal(routers, c.view.Routers) {
		c.view = &View{Routers: routers}
	}
}

package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// member is what this router believes of one peer.
type member struct {
	router Router
	state  State
	// since is when state began.
	since time.Time
	// heardAt is the last direct sign of life.
	heardAt time.Time
	// transmissions counts the heartbeats that carried the newest rumor.
	transmissions int
	isQueued      bool
}

// hasLeft reports whether the router is gone by its own will. A router that
// died otherwise is remembered for as long as the platform lists it: forgetting
// it would make a few routers that were cut off take themselves for the fleet.
func (m *member) hasLeft() bool {
	return m.state == Dead && m.router.Leaving
}

// Core holds the membership of one router.
type Core struct {
	self    Router
	random  *rand.Rand
	members map[string]*member
	// unwell holds the members that are suspect or dead, and perhaps a few that
	// were until now.
	unwell map[string]*member

	// ring holds the members in the order in which they are probed.
	ring     []string
	ringNext int
	// queue holds the members about which there is news to pass on.
	queue    []*member
	outcomes probeOutcomes

	lastTick  time.Time
	resumedAt time.Time
	nextProbe time.Time
	nextPush  time.Time
	isUrgent  bool

	probes    []Router
	pushes    []Router
	view      *View
	published *View
	isStale   bool
}

// New returns a core that knows only self. The seed spreads the probes of
// different routers over their peers.
func New(self Router, seed uint64) *Core {
	c := &Core{
		self:    self,
		random:  rand.New(rand.NewPCG(seed, 0)),
		members: make(map[string]*member),
		unwell:  make(map[string]*member),
		isStale: true,
	}
	c.rebuild()
	c.published = c.view
	return c
}

// Step takes one event in.
func (c *Core) Step(event Event) {
	switch e := event.(type) {
	case ListRead:
		c.stepList(e)
	case Heartbeat:
		c.stepHeartbeat(e)
	case ProbeFailed:
		c.stepFailure(e)
	case Urgent:
		c.isUrgent = true
		c.plan(e.At)
	case Tick:
		c.stepTick(e.At)
	}
}

// Ready returns what is to be done.
func (c *Core) Ready() Ready {
	c.rebuild()
	ready := Ready{Probe: c.probes, Push: c.pushes}
	if c.view != c.published {
		ready.View = c.view
	}
	return ready
}

// Advance tells the core that the last Ready was carried out: its probes were
// sent with the heartbeat that Message returned.
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
	c.rebuild()
	return c.view
}

// Known returns how many other routers are known, the dead ones included.
func (c *Core) Known() int {
	return len(c.members)
}

// SetLeaving marks this router as leaving and has that pushed to peers.
func (c *Core) SetLeaving(at time.Time) {
	c.self.Leaving = true
	c.self.Incarnation++
	c.isStale = true
	c.isUrgent = true
	c.plan(at)
}

// ResumedAt returns when this router last noticed that it had been paused.
func (c *Core) ResumedAt() time.Time {
	return c.resumedAt
}

func (c *Core) stepTick(at time.Time) {
	gap := at.Sub(c.lastTick)
	if !c.lastTick.IsZero() && (gap > GapLimit || gap < 0) {
		c.resume(at)
	}
	c.lastTick = at
	timeout := SuspicionTimeout
	if c.outcomes.isImpaired() {
		timeout *= ImpairedFactor
	}
	for name, m := range c.unwell {
		switch {
		case m.state == Alive || c.members[name] != m:
			delete(c.unwell, name)
		case m.state == Suspect && at.Sub(m.since) >= timeout:
			c.setState(m, Dead, at)
		case m.hasLeft() && at.Sub(m.since) >= ForgetAfter:
			delete(c.members, name)
		}
	}
	c.plan(at)
}

// resume drops what a paused router was waiting for: a suspect may have refuted
// in the meantime, and an unanswered probe speaks of this router only.
func (c *Core) resume(at time.Time) {
	c.resumedAt = at
	c.outcomes = probeOutcomes{}
	c.nextProbe, c.nextPush = at, at
	for _, m := range c.unwell {
		m.since = at
	}
}

// stepList takes the list as a seed: it adds routers that are not known and
// forgets those that are neither listed nor heard.
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
		if !listed[name] && m.state != Alive && e.At.Sub(m.since) > ListGrace {
			delete(c.members, name)
			c.isStale = true
		}
	}
}

func (c *Core) add(router Router, state State, at time.Time) *member {
	m := &member{router: router, since: at}
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
		m.since = at
		c.isStale = true
		if state != Alive {
			c.unwell[m.router.Instance] = m
		}
	}
}

func (c *Core) rebuild() {
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

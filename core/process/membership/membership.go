// Package membership decides which routers and endpoints a router believes to
// be live, from the platform's lagging list, heartbeats of peers and what
// endpoints answer. Two routers may disagree for seconds; nothing but cache
// reuse and load skew may depend on their agreeing.
//
// The core has no I/O and no clock: time comes in with each event.
package membership

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Router is one instance of gentianhead that callers and peers can reach.
type Router struct {
	Instance string
	Zone     string
	// CallerAddress and PeerAddress are host:port.
	CallerAddress string
	PeerAddress   string
	// Incarnation rises with each start of the instance's process.
	Incarnation uint64
	// Leaving routers finish what they have and are named in no entry answer.
	Leaving bool
}

// Event is something that the core learns.
type Event interface{ isEvent() }

// ListRead is the platform's list of router instances as read at At.
type ListRead struct {
	At      time.Time
	Routers []Router
}

// Heartbeat is a sign of life of a peer, at At by this router's clock.
type Heartbeat struct {
	At     time.Time
	Router Router
}

// Tick lets time pass.
type Tick struct{ At time.Time }

func (ListRead) isEvent()  {}
func (Heartbeat) isEvent() {}
func (Tick) isEvent()      {}

// HeartbeatTimeout is how long after its last sign of life a router is believed live.
const HeartbeatTimeout = 5 * time.Second

// View is an immutable picture of the live routers, sorted by instance.
type View struct {
	Routers []Router
}

// Find returns the router with this instance name.
func (v *View) Find(instance string) (Router, bool) {
	i, ok := slices.BinarySearchFunc(v.Routers, instance, func(r Router, name string) int {
		return strings.Compare(r.Instance, name)
	})
	if !ok {
		return Router{}, false
	}
	return v.Routers[i], true
}

type member struct {
	router   Router
	lastSeen time.Time
}

// Core holds the membership of one router.
type Core struct {
	self    Router
	members map[string]member
	view    *View
}

// New returns a core that knows only self.
func New(self Router) *Core {
	c := &Core{self: self, members: make(map[string]member)}
	c.rebuild()
	return c
}

// Step takes one event in and reports whether the view changed.
func (c *Core) Step(event Event) bool {
	switch e := event.(type) {
	case ListRead:
		for _, router := range e.Routers {
			if _, known := c.members[router.Instance]; !known {
				c.members[router.Instance] = member{router: router, lastSeen: e.At}
			}
		}
	case Heartbeat:
		c.members[e.Router.Instance] = member{router: e.Router, lastSeen: e.At}
	case Tick:
		c.expire(e.At)
	}
	return c.rebuild()
}

func (c *Core) expire(now time.Time) {
	maps.DeleteFunc(c.members, func(_ string, m member) bool {
		return now.Sub(m.lastSeen) > HeartbeatTimeout
	})
}

func (c *Core) rebuild() bool {
	routers := []Router{c.self}
	for _, m := range c.members {
		if m.router.Instance != c.self.Instance {
			routers = append(routers, m.router)
		}
	}
	slices.SortFunc(routers, func(a, b Router) int { return strings.Compare(a.Instance, b.Instance) })
	if c.view != nil && slices.Equal(routers, c.view.Routers) {
		return false
	}
	c.view = &View{Routers: routers}
	return true
}

// SetLeaving marks this router as leaving.
func (c *Core) SetLeaving() {
	c.self.Leaving = true
	c.rebuild()
}

// Self returns this router as peers should see it.
func (c *Core) Self() Router {
	return c.self
}

// View returns the current view.
func (c *Core) View() *View {
	return c.view
}

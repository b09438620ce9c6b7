package membership

import (
	"math/bits"
	"slices"
	"time"
)

// rumorFactor times the binary logarithm of the fleet's size is how many
// heartbeats carry a rumor.
const rumorFactor = 3

// stepHeartbeat takes note of a peer and of what it passes on.
func (c *Core) stepHeartbeat(e Heartbeat) {
	if e.IsAnswer {
		c.outcomes.record(false)
	}
	if e.Router.Instance != c.self.Instance {
		c.learn(Rumor{State: Alive, Router: e.Router}, e.At)
		c.hear(e)
	}
	for _, rumor := range e.Rumors {
		c.learn(rumor, e.At)
	}
}

// hear records a direct sign of life. An answer overrides a rumor of the same
// incarnation, as the router itself has just spoken.
func (c *Core) hear(e Heartbeat) {
	m, known := c.members[e.Router.Instance]
	if !known || e.Router.Incarnation < m.router.Incarnation {
		return
	}
	m.heardAt = e.At
	if e.IsAnswer && m.state != Alive {
		c.setState(m, Alive, e.At)
	}
}

// learn takes a rumor that is newer than what is believed.
func (c *Core) learn(rumor Rumor, at time.Time) {
	if rumor.Router.Instance == c.self.Instance {
		c.refute(rumor, at)
		return
	}
	m, known := c.members[rumor.Router.Instance]
	if !known {
		if rumor.State != Dead && rumor.Router.PeerAddress != "" && len(c.members) < MaxMembers {
			c.enqueue(c.add(rumor.Router, rumor.State, at))
		}
		return
	}
	if !isNewer(rumor, m) {
		return
	}
	if rumor.State == Alive {
		m.router = rumor.Router
	} else {
		m.router.Incarnation = rumor.Router.Incarnation
	}
	c.isStale = true
	c.setState(m, rumor.State, at)
	m.since = at
	c.enqueue(m)
}

// isNewer orders rumors by incarnation, and within one by how bad they are, so
// that only the router itself can take a suspicion back.
func isNewer(rumor Rumor, m *member) bool {
	if rumor.Router.Incarnation != m.router.Incarnation {
		return rumor.Router.Incarnation > m.router.Incarnation
	}
	return rumor.State > m.state
}

// refute answers a rumor of this router's own death with a higher incarnation.
func (c *Core) refute(rumor Rumor, at time.Time) {
	isSlander := rumor.State != Alive && rumor.Router.Incarnation >= c.self.Incarnation
	isOld := rumor.Router.Incarnation > c.self.Incarnation
	if !isSlander && !isOld {
		return
	}
	c.self.Incarnation = rumor.Router.Incarnation + 1
	c.isStale = true
	c.isUrgent = true
	c.plan(at)
}

func (c *Core) enqueue(m *member) {
	m.transmissions = 0
	if !m.isQueued {
		m.isQueued = true
		c.queue = append(c.queue, m)
	}
}

// Message returns the heartbeat's rumors: the newest first, and a random member
// last, which repairs what rumors missed. Sent tells that it went out.
func (c *Core) Message() []Rumor {
	slices.SortStableFunc(c.queue, func(a, b *member) int { return a.transmissions - b.transmissions })
	rumors := make([]Rumor, 0, MaxRumors)
	for _, m := range c.queue[:min(len(c.queue), MaxRumors-1)] {
		rumors = append(rumors, rumorOf(m))
	}
	if len(c.ring) == 0 {
		return rumors
	}
	if m, known := c.members[c.ring[c.random.IntN(len(c.ring))]]; known {
		rumors = append(rumors, rumorOf(m))
	}
	return rumors
}

// MessageTo is Message for a probe of router: a router that is not believed
// alive is told so and can refute.
func (c *Core) MessageTo(instance string, rumors []Rumor) []Rumor {
	m, known := c.members[instance]
	if !known || m.state == Alive {
		return rumors
	}
	return append(slices.Clip(rumors[:min(len(rumors), MaxRumors-1)]), rumorOf(m))
}

func rumorOf(m *member) Rumor {
	if m.state == Alive {
		return Rumor{Router: m.router}
	}
	return Rumor{State: m.state, Router: Router{Instance: m.router.Instance, Incarnation: m.router.Incarnation}}
}

// Sent tells the core that a heartbeat with these rumors went to one peer.
func (c *Core) Sent(rumors []Rumor) {
	limit := rumorFactor * bits.Len(uint(len(c.members)+1))
	for _, rumor := range rumors {
		if m, known := c.members[rumor.Router.Instance]; known {
			m.transmissions++
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(m *member) bool {
		isSpent := m.transmissions >= limit
		if isSpent {
			m.isQueued = false
		}
		return isSpent
	})
}

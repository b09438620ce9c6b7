package membership

import (
	"math/bits"
	"slices"
	"time"
)

// retransmitFactor is multiplied by the binary logarithm of the fleet's size to get
// the number of heartbeats that carry a rumor.
const retransmitFactor = 3

// stepHeartbeat records contact with a peer and applies its rumors.
func (c *Core) stepHeartbeat(e Heartbeat) {
	if e.IsAnswer {
		c.outcomes.record(false)
	}
	if e.Router.Instance != c.self.Instance {
		c.applyRumor(Rumor{State: Alive, Router: e.Router}, e.At)
		c.recordContact(e)
	}
	for _, rumor := range e.Rumors {
		c.applyRumor(rumor, e.At)
	}
}

// recordContact records direct contact. An answer overrides a rumor of the same
// incarnation, since it comes from the router itself.
func (c *Core) recordContact(e Heartbeat) {
	m, known := c.members[e.Router.Instance]
	if !known || e.Router.Incarnation < m.router.Incarnation {
		return
	}
	m.lastContactAt = e.At
	if e.IsAnswer && m.state != Alive {
		c.setState(m, Alive, e.At)
	}
}

// applyRumor applies a rumor if it is newer than the member's state.
func (c *Core) applyRumor(rumor Rumor, at time.Time) {
	if rumor.Router.Instance == c.self.Instance {
		c.refuteRumor(rumor, at)
		return
	}
	m, known := c.members[rumor.Router.Instance]
	if !known {
		if rumor.State != Dead && rumor.Router.PeerAddress != "" && len(c.members) < MaxMembers {
			c.enqueueRumor(c.add(rumor.Router, rumor.State, at))
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
	m.stateSince = at
	c.enqueueRumor(m)
}

// isNewer orders rumors by incarnation, then by state from alive to dead, so only the
// router itself can refute a suspicion.
func isNewer(rumor Rumor, m *member) bool {
	if rumor.Router.Incarnation != m.router.Incarnation {
		return rumor.Router.Incarnation > m.router.Incarnation
	}
	return rumor.State > m.state
}

// refuteRumor raises this router's incarnation above that of a rumor that reports it
// as suspect or dead, or with a higher incarnation.
func (c *Core) refuteRumor(rumor Rumor, at time.Time) {
	isFalseSuspicion := rumor.State != Alive && rumor.Router.Incarnation >= c.self.Incarnation
	isOutdated := rumor.Router.Incarnation > c.self.Incarnation
	if !isFalseSuspicion && !isOutdated {
		return
	}
	c.self.Incarnation = rumor.Router.Incarnation + 1
	c.isStale = true
	c.isPushDue = true
	c.planHeartbeats(at)
}

func (c *Core) enqueueRumor(m *member) {
	m.transmissions = 0
	if !m.isQueued {
		m.isQueued = true
		c.queue = append(c.queue, m)
	}
}

// Message returns the rumors of the next heartbeat: the least transmitted first,
// and a random member last, for peers that missed a rumor. Sent must be called once
// it was sent.
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

// MessageTo adapts rumors to their receiver: a router that is suspect or dead
// receives that rumor and can refute it.
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

// Sent records that a heartbeat with these rumors was sent to one peer.
func (c *Core) Sent(rumors []Rumor) {
	limit := retransmitFactor * bits.Len(uint(len(c.members)+1))
	for _, rumor := range rumors {
		if m, known := c.members[rumor.Router.Instance]; known {
			m.transmissions++
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(m *member) bool {
		isExhausted := m.transmissions >= limit
		if isExhausted {
			m.isQueued = false
		}
		return isExhausted
	})
}

package membership

import (
	"slices"
	"time"
)

// outcomeWindow is how many of the latest probes decide whether this router is
// impaired.
const outcomeWindow = 8

// probeOutcomes is a ring buffer of the latest probes' outcomes.
type probeOutcomes struct {
	failed [outcomeWindow]bool
	next   int
}

func (o *probeOutcomes) record(failed bool) {
	o.failed[o.next] = failed
	o.next = (o.next + 1) % outcomeWindow
}

// isImpaired reports whether more than half of the latest probes failed.
func (o *probeOutcomes) isImpaired() bool {
	failures := 0
	for _, failed := range o.failed {
		if failed {
			failures++
		}
	}
	return failures > outcomeWindow/2
}

// stepProbeFailed marks a router that did not answer as suspect. It ignores probes
// sent before a pause. An impaired router doesn't spread its suspicions.
func (c *Core) stepProbeFailed(e ProbeFailed) {
	if e.SentAt.Before(c.resumedAt) {
		return
	}
	c.outcomes.record(true)
	m, known := c.members[e.Instance]
	if !known || m.state != Alive || m.lastContactAt.After(e.SentAt) {
		return
	}
	c.setState(m, Suspect, e.At)
	if !c.outcomes.isImpaired() {
		c.enqueueRumor(m)
	}
}

// planHeartbeats selects the peers to send a heartbeat to now.
func (c *Core) planHeartbeats(at time.Time) {
	if len(c.members) == 0 {
		c.isPushDue = false
		return
	}
	if c.isPushDue && !at.Before(c.nextPush) {
		c.isPushDue = false
		c.nextPush = at.Add(PushInterval)
		c.planPush()
	}
	if at.Before(c.nextProbe) {
		return
	}
	c.nextProbe = c.nextProbe.Add(time.Second / ProbesPerSecond)
	if c.nextProbe.Before(at) {
		c.nextProbe = at.Add(time.Second / ProbesPerSecond)
	}
	if m, ok := c.nextInRing(); ok {
		c.probes = append(c.probes, m.router)
	}
}

// planPush selects random live peers. The number of draws is limited, so a push
// may go to fewer than PushFanout.
func (c *Core) planPush() {
	for draws := 0; draws < 4*PushFanout && len(c.pushes) < PushFanout; draws++ {
		m, known := c.members[c.ring[c.random.IntN(len(c.ring))]]
		if known && m.state != Dead && !slices.Contains(c.pushes, m.router) {
			c.pushes = append(c.pushes, m.router)
		}
	}
}

// nextInRing returns the next member to probe. Each round covers all that haven't
// left, in random order. Dead members are probed too, so the parts of a partitioned
// fleet merge again.
func (c *Core) nextInRing() (*member, bool) {
	for range len(c.ring) + 1 {
		if c.ringNext >= len(c.ring) {
			c.shuffleRing()
		}
		if len(c.ring) == 0 {
			return nil, false
		}
		m, known := c.members[c.ring[c.ringNext]]
		c.ringNext++
		if known && !m.hasLeft() {
			return m, true
		}
	}
	return nil, false
}

// shuffleRing drops removed members and starts a new round.
func (c *Core) shuffleRing() {
	kept := c.ring[:0]
	for _, name := range c.ring {
		if _, known := c.members[name]; known {
			kept = append(kept, name)
		}
	}
	c.ring = kept
	c.ringNext = 0
	c.random.Shuffle(len(c.ring), func(i, j int) { c.ring[i], c.ring[j] = c.ring[j], c.ring[i] })
}

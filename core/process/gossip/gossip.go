package gossip

import (
	"time"

	"gentianhead/core/process/isolation"
	"gentianhead/core/process/membership"
	"gentianhead/core/process/withdrawal"
	"gentianhead/core/version/resource"
)

// newMarksPeriod is how long heartbeats carry all marks after a change.
const newMarksPeriod = 3 * time.Second

// published is the state last reported to the owner.
type published struct {
	view       *membership.View
	isIsolated bool
	withdrawn  *withdrawal.Set
}

// Core is the gossip state of one router. It is not safe for concurrent use.
type Core struct {
	members    *membership.Core
	isolation  *isolation.Core
	withdrawal *withdrawal.Core

	inForce      resource.Revision
	marksChanged time.Time
	message      *Message
	// isStale is set if message has to be rebuilt.
	isStale   bool
	now       time.Time
	published published
}

// New returns a core that knows only self. The seed makes different routers pick
// different peers for their heartbeats.
func New(self membership.Router, seed uint64) *Core {
	c := &Core{
		members:    membership.New(self, seed),
		isolation:  isolation.New(),
		withdrawal: withdrawal.New(),
	}
	c.compose()
	c.published = c.current()
	return c
}

// View returns the view of the live routers.
func (c *Core) View() *membership.View { return c.members.View() }

// Self returns this router as advertised to peers.
func (c *Core) Self() membership.Router { return c.members.Self() }

// IsIsolated reports whether the router must refuse new work.
func (c *Core) IsIsolated() bool { return c.isolation.IsIsolated() }

// IsStoreReadDue reports whether the router should read the store soon.
func (c *Core) IsStoreReadDue() bool { return c.isolation.IsStoreReadDue(c.now) }

// Withdrawn returns the endpoints withdrawn in addition to those in the configuration.
func (c *Core) Withdrawn() *withdrawal.Set { return c.withdrawal.Set() }

// Message returns the current message for answers to heartbeats.
func (c *Core) Message() *Message { return c.message }

// Step applies an event.
func (c *Core) Step(event Event) {
	switch e := event.(type) {
	case Tick:
		c.now = e.At
		c.isolation.Step(isolation.Tick{At: e.At, InForce: e.InForce})
		c.members.Step(membership.Tick{At: e.At})
		c.stepWithdrawal(withdrawal.Tick{At: e.At})
		c.isStale = true
	case Received:
		c.members.Sent(e.Answered.Rumors)
		c.applyHeartbeat(e.At, e.Heartbeat, false)
	case Sent:
		c.stepSent(e)
	case StoreRead:
		c.isolation.Step(isolation.StoreRead{SentAt: e.SentAt, Revision: e.Revision})
	case ListRead:
		c.members.Step(membership.ListRead{At: e.At, Routers: e.Routers})
		c.stepWithdrawal(withdrawal.ListRead{At: e.At, Endpoints: e.Endpoints})
		c.isolation.Step(isolation.ListRead{SentAt: e.SentAt, HasPeers: c.members.PeerCount() > 0})
	case Refused:
		c.now = e.At
		c.stepWithdrawal(withdrawal.Refused{At: e.At, Address: e.Address})
	case InForce:
		c.stepInForce(e)
	case Leave:
		c.members.SetLeaving(e.At)
		c.isStale = true
	}
}

func (c *Core) stepInForce(e InForce) {
	c.now = e.At
	c.withdrawal.Step(withdrawal.Configured{Addresses: e.Addresses})
	if e.Revision > c.inForce {
		c.inForce = e.Revision
		c.isStale = true
		c.members.Step(membership.PushRequested{At: e.At})
	}
}

func (c *Core) stepSent(e Sent) {
	if e.Send.IsProbe {
		c.isolation.Step(probeEnded(e))
	}
	if e.Answer == nil {
		c.members.Step(membership.ProbeFailed{At: e.At, SentAt: e.SentAt, Instance: e.Send.To.Instance})
		return
	}
	c.applyHeartbeat(e.At, *e.Answer, true)
}

func probeEnded(e Sent) isolation.ProbeEnded {
	event := isolation.ProbeEnded{SentAt: e.SentAt, StoreAge: -1}
	if e.Answer == nil {
		return event
	}
	event.IsAnswered = true
	event.IsOutOfTouch = e.Answer.IsOutOfTouch
	event.Revision = e.Answer.Revision
	if e.Answer.StoreAgeMillis > 0 {
		event.StoreAge = time.Duration(e.Answer.StoreAgeMillis) * time.Millisecond
	}
	return event
}

func (c *Core) applyHeartbeat(at time.Time, heartbeat Heartbeat, isAnswer bool) {
	c.now = at
	c.isStale = true
	c.members.Step(membership.Heartbeat{At: at, Router: heartbeat.Router, Rumors: heartbeat.Rumors, IsAnswer: isAnswer})
	if len(heartbeat.Withdrawn) > 0 {
		c.stepWithdrawal(withdrawal.PeerMarks{At: at, Marks: heartbeat.Withdrawn})
	}
}

// stepWithdrawal applies an event and pushes newly withdrawn endpoints to peers.
func (c *Core) stepWithdrawal(event withdrawal.Event) {
	if c.withdrawal.Step(event) {
		c.marksChanged = c.now
		c.isStale = true
		c.members.Step(membership.PushRequested{At: c.now})
	}
}

// Ready returns the pending actions.
func (c *Core) Ready() Ready {
	if c.isStale {
		c.compose()
	}
	wanted := c.members.Ready()
	ready := Ready{IsChanged: c.current() != c.published}
	for _, router := range wanted.Probe {
		ready.Send = append(ready.Send, c.send(router, true))
	}
	for _, router := range wanted.Push {
		ready.Send = append(ready.Send, c.send(router, false))
	}
	return ready
}

func (c *Core) send(to membership.Router, isProbe bool) Send {
	heartbeat := c.message.heartbeat
	heartbeat.Rumors = c.members.MessageTo(to.Instance, heartbeat.Rumors)
	return Send{To: to, Heartbeat: heartbeat, IsProbe: isProbe}
}

// Advance records that the actions in ready were carried out.
func (c *Core) Advance(ready Ready) {
	for _, send := range ready.Send {
		c.members.Sent(send.Heartbeat.Rumors)
	}
	c.members.Advance()
	c.published = c.current()
}

func (c *Core) current() published {
	return published{view: c.members.View(), isIsolated: c.isolation.IsIsolated(), withdrawn: c.withdrawal.Set()}
}

// compose rebuilds the message for heartbeats and answers.
func (c *Core) compose() {
	c.isStale = false
	message := &Message{
		heartbeat: Heartbeat{
			Router:        c.members.Self(),
			Revision:      c.inForce,
			Rumors:        c.members.Message(),
			WithdrawnHash: c.withdrawal.Set().Hash(),
			IsOutOfTouch:  c.isolation.IsOutOfTouch(c.now),
		},
		marks: c.withdrawal.Marks(c.now),
	}
	if age := c.isolation.StoreAge(c.now); age >= 0 {
		message.heartbeat.StoreAgeMillis = age.Milliseconds() + 1
	}
	if c.now.Sub(c.marksChanged) < newMarksPeriod {
		message.heartbeat.Withdrawn = message.marks
	}
	c.message = message
}

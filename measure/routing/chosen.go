package main

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"gentianhead/core/process/membership"
	"gentianhead/core/request/reservation"
	"gentianhead/core/request/routing"
)

// Sizes and times of peer calls and load polls, polled as in fleet/process/control.
const (
	frameHeaderBytes     = 10
	loadPollBytes        = 150
	loadPollInterval     = 5 * time.Second
	callTimeout          = 300 * time.Millisecond
	failureDetectionTime = 5 * time.Second
)

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

// node is one router with its routing core. sentBytes is its control traffic.
type node struct {
	*routing.Node
	index                 int
	name                  string
	isDead, isPartitioned bool
	sentBytes             int
	tickets               map[routing.Ticket]*request
}

// reservationPolicy drives the project's policy: the core of each router and the
// messages between them, which have latency and may fail.
type reservationPolicy struct {
	s            *sim
	nodes        []*node
	nodeByName   map[string]*node
	view         *membership.View
	engineByName map[string]*engine
}

func newReservationPolicy(s *sim) *reservationPolicy {
	c := &reservationPolicy{s: s, nodeByName: map[string]*node{}, engineByName: map[string]*engine{}, view: &membership.View{}}
	for i := range s.d.routers {
		n := &node{index: i, name: "router-" + itoa(1000+i), tickets: map[routing.Ticket]*request{}}
		n.Node = routing.New(n.name, 1)
		n.InstancesListed(c.time())
		c.nodes, c.nodeByName[n.name] = append(c.nodes, n), n
		c.view.Routers = append(c.view.Routers, membership.Router{Instance: n.name, PeerAddress: "10.0.0.1:7000"})
	}
	for _, e := range s.engines {
		c.engineByName[e.name] = e
	}
	for _, n := range c.nodes {
		c.updateConfig(n)
		s.at(0, func() { n.SetView(c.time(), c.view); c.handleReady(n) })
		s.at(time.Duration(s.rng.Int64N(int64(time.Second))), func() { c.tick(n) })
	}
	return c
}

func (c *reservationPolicy) time() time.Time { return time.Unix(1e9, 0).Add(c.s.now) }

// updateConfig configures a router with the engines in its list, which shows changes late.
func (c *reservationPolicy) updateConfig(n *node) {
	config := routing.Config{Accounts: map[string]routing.Account{}}
	for model := range c.s.d.models {
		m := routing.Model{Name: "model-" + itoa(model), Options: reservation.Options{Bound: c.s.d.bound, ReuseWeight: c.s.d.reuse}}
		for _, e := range c.s.known(n.index, model) {
			m.Engines = append(m.Engines, e.name)
		}
		config.Models = append(config.Models, m)
	}
	for i, share := range c.s.d.accounts {
		config.Accounts["account-"+itoa(i)] = routing.Account{Limit: limitFactor * share * c.s.d.requestsPerSecond}
	}
	n.SetConfig(c.time(), config)
}

func (c *reservationPolicy) tick(n *node) {
	if n.isDead {
		return
	}
	if c.s.d.leaves || c.s.d.flaps {
		c.updateConfig(n)
	}
	for _, name := range n.Observed() {
		n.sentBytes += int(loadPollBytes * reservation.TickInterval / loadPollInterval)
		n.Report(name, c.s.report(c.engineByName[name]), c.s.d.slots)
	}
	n.Tick(c.time())
	c.handleReady(n)
	c.s.after(reservation.TickInterval, func() { c.tick(n) })
}

// handleReady executes the calls and placements that a router's core has ready.
func (c *reservationPolicy) handleReady(n *node) {
	ready := n.Ready()
	if n.isDead {
		return
	}
	for _, call := range ready.Calls {
		c.call(n, call)
	}
	for _, placement := range ready.Placements {
		q := n.tickets[placement.Ticket]
		if q == nil {
			c.s.at(c.s.now, func() { c.handlePlacement(n, n.tickets[placement.Ticket], placement) })
			continue
		}
		c.handlePlacement(n, q, placement)
	}
}

// call sends a message to another router, 0.5 to 1 ms away, and passes back the reply.
func (c *reservationPolicy) call(from *node, call routing.Call) {
	body, _ := msgpack.Marshal(call.Message)
	from.sentBytes += frameHeaderBytes + len(body)
	to := c.nodeByName[call.Instance]
	delay := time.Duration(500+(from.index*37+to.index*37)%500) * time.Microsecond
	if from.isPartitioned != to.isPartitioned {
		c.s.after(callTimeout, func() { from.CallFailed(c.time(), call.ID, false); c.handleReady(from) })
		return
	}
	c.s.after(delay, func() {
		if to.isDead {
			from.CallFailed(c.time(), call.ID, true)
			c.handleReady(from)
			return
		}
		reply := to.HandleMessage(c.time(), call.Message)
		body, _ := msgpack.Marshal(reply)
		to.sentBytes += frameHeaderBytes + len(body)
		c.handleReady(to)
		c.s.after(delay, func() { from.CallReplied(c.time(), call.ID, reply); c.handleReady(from) })
	})
}

func (c *reservationPolicy) place(q *request) {
	n := c.nodes[q.router]
	for n.isDead {
		n = c.nodes[(n.index+1)%len(c.nodes)]
	}
	q.router = n.index
	q.ticket = n.Place(c.time(), routing.PlacementRequest{
		Model: "model-" + itoa(q.model), Account: "account-" + itoa(q.account), Chat: q.chat, Prefix: q.prefix,
	})
	n.tickets[q.ticket] = q
	c.handleReady(n)
}

func (c *reservationPolicy) handlePlacement(n *node, q *request, placement routing.Placement) {
	switch {
	case n.isDead:
	case placement.Refusal != nil:
		delete(n.tickets, placement.Ticket)
		reason := placement.Refusal.Reason
		c.s.refuse(q, reason == routing.AccountLimit || reason == routing.AccountShare, placement.Refusal.RetryAfter)
	case !c.s.send(q, c.engineByName[placement.Engine]):
		c.s.after(time.Millisecond, func() { n.Failed(c.time(), placement.Ticket, true, time.Minute); c.handleReady(n) })
	}
}

func (c *reservationPolicy) ended(q *request) {
	n := c.nodes[q.router]
	delete(n.tickets, q.ticket)
	if !n.isDead {
		n.Done(c.time(), q.ticket)
		c.handleReady(n)
	}
}

// faults schedules the router faults that the deployment enables: two crashes, a
// network partition of two minutes, and views that differ.
func (c *reservationPolicy) faults() {
	if c.s.d.crash {
		c.s.at(c.s.d.length/4, func() { c.crash(c.observer()) })
		c.s.at(c.s.d.length/2, func() { c.crash(c.observer()) })
	}
	if c.s.d.partition {
		n := c.nodes[2]
		c.s.at(c.s.d.length/4, func() { n.isPartitioned = true })
		c.s.at(c.s.d.length/4+failureDetectionTime, func() { c.splitViews(n) })
		c.s.at(c.s.d.length/4+2*time.Minute, func() { n.isPartitioned = false; c.unifyViews() })
	}
	if c.s.d.mixedViews {
		c.s.every(time.Minute, func() {
			for _, n := range c.nodes[:3] {
				c.setViewWithout(n, c.s.rng.IntN(len(c.nodes)))
			}
			c.s.after(8*time.Second, c.unifyViews)
		})
	}
}

// observer returns a live router that observes engines and grants their reservations.
func (c *reservationPolicy) observer() *node {
	i := slices.IndexFunc(c.nodes, func(n *node) bool { return !n.isDead && len(n.Observed()) > 0 })
	return c.nodes[i]
}

func (c *reservationPolicy) crash(n *node) {
	n.isDead = true
	for _, q := range n.tickets {
		if q.engine != nil {
			c.s.cancel(q)
		}
	}
	c.s.after(time.Millisecond, func() {
		for _, other := range c.nodes {
			other.Disconnected(c.time(), n.name)
			c.handleReady(other)
		}
	})
	c.s.after(failureDetectionTime, c.unifyViews)
}

// setViewWithout sets a view on n without dead routers and, unless -1, the given one.
func (c *reservationPolicy) setViewWithout(n *node, without int) {
	view := &membership.View{}
	for i, router := range c.view.Routers {
		if (i != without || i == n.index) && !c.nodes[i].isDead {
			view.Routers = append(view.Routers, router)
		}
	}
	n.SetView(c.time(), view)
	c.handleReady(n)
}

func (c *reservationPolicy) unifyViews() {
	for _, n := range c.nodes {
		c.setViewWithout(n, -1)
	}
}

func (c *reservationPolicy) splitViews(isolated *node) {
	for _, n := range c.nodes {
		c.setViewWithout(n, isolated.index)
	}
	isolated.SetView(c.time(), &membership.View{Routers: []membership.Router{c.view.Routers[isolated.index]}})
	c.handleReady(isolated)
}

package balance

import (
	"time"

	"gentianhead/core/process/presence"
)

type report struct {
	at          time.Duration
	work        map[presence.Key]presence.Work
	unreachable []presence.Key
	outcomes    []presence.Outcomes
	routers     int
}

// WorkReport is the report of one router, or of a group of them, about its work at
// endpoints.
type WorkReport struct {
	// Load has the work, the latest placements of shared prompt parts, the endpoints
	// that can't be connected to, each once per router, and the outcomes at endpoints
	// where some router has seen failures.
	presence.Load
	// Routers is the number of routers in the sum, and Age the mean age of their
	// reports; both are zero for a report that comes from a router directly.
	Routers int
	Age     time.Duration
}

// Forget drops the reports of all routers and groups.
func (c *Core) Forget() {
	for source, r := range c.reports {
		c.addReport(r, -1)
		delete(c.reports, source)
	}
}

// ForgetSource drops the report of one router or group.
func (c *Core) ForgetSource(source string) {
	if r, known := c.reports[source]; known {
		c.addReport(r, -1)
		delete(c.reports, source)
	}
}

// Report applies a report, which replaces the previous one of the same source: the
// instance of a router or the name of a group. A router must be in one source only.
func (c *Core) Report(now time.Duration, source string, received WorkReport) {
	for _, p := range received.Placed {
		if state, known := c.byKey[p.Endpoint]; known {
			state.cache.add(now, p.Part, true)
		}
	}
	if old, known := c.reports[source]; known {
		c.addReport(old, -1)
		c.reportInterval.AddSamples(now-old.at+2*received.Age, max(1, received.Routers))
	}
	r := report{at: now, work: received.Work, outcomes: received.Outcomes, routers: received.Routers}
	if len(received.Unreachable) <= int(maxUnreachableShare*float64(c.view.Len())) {
		r.unreachable = received.Unreachable
	}
	c.addReport(r, 1)
	c.reports[source] = r
	c.recordReportedRates(now, received.Rates)
	c.recordReportedSlowness(now, received.Slowness)
	c.expireReports(now)
}

// addReport adds a report to the endpoints' states (sign 1) or removes it (sign -1).
func (c *Core) addReport(r report, sign int) {
	for key, w := range r.work {
		if state, known := c.byKey[key]; known {
			state.peers.Running += sign * w.Running
			state.peers.Prefill += sign * w.Prefill
		}
	}
	for _, key := range r.unreachable {
		if state, known := c.byKey[key]; known {
			state.unreachableBy += sign
		}
	}
	for _, outcomes := range r.outcomes {
		if state, known := c.byKey[outcomes.Endpoint]; known {
			state.suspicion.applyOutcomes(outcomes, sign)
		}
	}
}

// expireReports drops the expired reports of routers that no longer send any.
func (c *Core) expireReports(now time.Duration) {
	for name, r := range c.reports {
		if now-r.at > reportTTL {
			c.addReport(r, -1)
			delete(c.reports, name)
		}
	}
}

// applyReports applies the latest reports of other routers to a new endpoint state.
func (c *Core) applyReports(key presence.Key, state *endpointState) {
	for _, r := range c.reports {
		state.peers.Running += r.work[key].Running
		state.peers.Prefill += r.work[key].Prefill
		for _, unreachable := range r.unreachable {
			if unreachable == key {
				state.unreachableBy++
			}
		}
		for _, outcomes := range r.outcomes {
			if outcomes.Endpoint == key {
				state.suspicion.applyOutcomes(outcomes, 1)
			}
		}
	}
}

// Work returns this router's report: its requests in progress, the endpoints that it
// can't connect to, that asked for no requests or where requests fail, and its
// placements since a time.
func (c *Core) Work(now, since time.Duration) WorkReport {
	reported := WorkReport{Load: presence.Load{Work: make(map[presence.Key]presence.Work), Placed: c.recent.since(since), Rates: c.limits.Reports(now), Slowness: c.slownessReport(now)}}
	for id, state := range c.states {
		key := presence.KeyOf(id)
		if state.own.Running > 0 {
			reported.Work[key] = state.own
		}
		// An endpoint that shed this router's requests probably sheds those of others too,
		// and each of many routers would have to learn it by a request of its own.
		if state.breaker.IsUnreachable() || !c.notices.MayReceive(now, state.entry) {
			reported.Unreachable = append(reported.Unreachable, key)
		}
		if outcomes, isReported := state.suspicion.localOutcomes(now, key); isReported {
			reported.Outcomes = append(reported.Outcomes, outcomes)
		}
	}
	return reported
}

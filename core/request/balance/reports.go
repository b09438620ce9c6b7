package balance

import (
	"slices"
	"time"

	"gentianhead/core/process/presence"
)

type report struct {
	at          time.Duration
	work        map[presence.Key]presence.Work
	unreachable []presence.Key
	outcomes    []presence.Outcomes
}

// WorkReport is a router's report about its work at endpoints.
type WorkReport struct {
	Work map[presence.Key]presence.Work
	// Placed lists the latest placements of shared prompt parts.
	Placed []presence.Placed
	// Unreachable lists endpoints that the router can't connect to.
	Unreachable []presence.Key
	// Outcomes lists the outcomes at endpoints where some router has seen failures.
	Outcomes []presence.Outcomes
}

// Report applies another router's report, which replaces its previous one.
func (c *Core) Report(now time.Duration, instance string, received WorkReport) {
	for _, p := range received.Placed {
		if state, known := c.byKey[p.Endpoint]; known {
			state.cache.add(now, p.Part, true)
		}
	}
	if old, known := c.reports[instance]; known {
		c.addReport(old, -1)
		c.reportInterval.Add(now - old.at)
	}
	r := report{at: now, work: received.Work, outcomes: received.Outcomes}
	if len(received.Unreachable) <= int(maxUnreachableShare*float64(c.view.Len())) {
		r.unreachable = received.Unreachable
	}
	c.addReport(r, 1)
	c.reports[instance] = r
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
		if slices.Contains(r.unreachable, key) {
			state.unreachableBy++
		}
		for _, outcomes := range r.outcomes {
			if outcomes.Endpoint == key {
				state.suspicion.applyOutcomes(outcomes, 1)
			}
		}
	}
}

// Work returns this router's report: its requests in progress, the endpoints that it
// can't connect to or where requests fail, and its placements since a time.
func (c *Core) Work(now, since time.Duration) WorkReport {
	reported := WorkReport{Work: make(map[presence.Key]presence.Work), Placed: c.recent.since(since)}
	for id, state := range c.states {
		key := presence.KeyOf(id)
		if state.own.Running > 0 {
			reported.Work[key] = state.own
		}
		if state.breaker.IsUnreachable() {
			reported.Unreachable = append(reported.Unreachable, key)
		}
		if outcomes, isReported := state.suspicion.localOutcomes(now, key); isReported {
			reported.Outcomes = append(reported.Outcomes, outcomes)
		}
	}
	return reported
}

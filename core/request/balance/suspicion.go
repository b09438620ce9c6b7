package balance

import (
	"time"

	"gentianhead/core/process/presence"
)

const (
	// outcomeWindow is the length of a window of outcome counts. The previous window
	// counts too, so a router reports outcomes of at most two windows.
	outcomeWindow = time.Second
	// minFailures is how many failures over all routers make an endpoint suspect, and
	// maxFailureShare the share of failures above which it is avoided. Endpoints that
	// lose a third of their responses still serve most requests; with a limit above
	// one half, those that fail every request are detected a third of a second later.
	minFailures     = 5
	maxFailureShare = 0.5
	// suspectCooldown is how long a suspect is avoided: longer than the age of the
	// outcomes that other routers report, so that it is then judged by new ones.
	suspectCooldown = 3 * time.Second
	// probationShare is the share of requests for which a suspect is a candidate after
	// the cooldown, until its latest outcomes have minSuccesses and no failure.
	probationShare = 0.1
	minSuccesses   = 2
	// maxSuspectShare is the share of a service's endpoints above which suspicion is
	// ignored: if most fail, the rest could not carry the load.
	maxSuspectShare = 0.5
)

// outcomeCounts counts the latest outcomes of requests at an endpoint.
type outcomeCounts struct {
	window            int64
	failed, succeeded int
	// previousFailed and previousSucceeded are the counts of the previous window.
	previousFailed, previousSucceeded int
}

func (t *outcomeCounts) advance(now time.Duration) {
	window := int64(now / outcomeWindow)
	switch {
	case window == t.window:
		return
	case window == t.window+1:
		t.previousFailed, t.previousSucceeded = t.failed, t.succeeded
	default:
		t.previousFailed, t.previousSucceeded = 0, 0
	}
	t.window, t.failed, t.succeeded = window, 0, 0
}

func (t *outcomeCounts) add(now time.Duration, isFailure bool) {
	t.advance(now)
	if isFailure {
		t.failed++
	} else {
		t.succeeded++
	}
}

func (t *outcomeCounts) totals(now time.Duration) (failed, succeeded int) {
	t.advance(now)
	return t.failed + t.previousFailed, t.succeeded + t.previousSucceeded
}

// suspicion combines all routers' outcomes at an endpoint to detect one that fails
// its requests.
//
// A tenth of the engines may reset every request for some seconds while they report
// themselves healthy. Each of many routers sends such an engine a request only every
// few seconds, so none would detect it alone in time.
type suspicion struct {
	own outcomeCounts
	// peersFailed, peersSucceeded and reporters are sums over other routers' reports;
	// reporters counts the routers that saw failures.
	peersFailed, peersSucceeded, reporters int
	// cooldownUntil is when the cooldown ends. isOnProbation is set from the start of
	// the cooldown until the endpoint is trusted again.
	cooldownUntil time.Duration
	isOnProbation bool
}

// SuspicionChange is a change of an endpoint's suspicion, with the outcomes of all
// routers that caused it.
type SuspicionChange struct {
	Endpoint                     string
	IsSuspect                    bool
	Failed, Succeeded, Reporters int
}

// isSuspect updates an endpoint's suspicion and reports whether a request avoids it.
func (c *Core) isSuspect(now time.Duration, state *endpointState) bool {
	s := &state.suspicion
	if now < s.cooldownUntil {
		return true
	}
	failed, succeeded := s.own.totals(now)
	reporters := s.reporters
	if failed > 0 {
		reporters++
	}
	failed, succeeded = failed+s.peersFailed, succeeded+s.peersSucceeded
	isFailing := float64(failed) > maxFailureShare*float64(failed+succeeded)
	switch {
	case isFailing && (s.isOnProbation || failed >= minFailures && reporters >= minReporters):
		s.cooldownUntil, s.isOnProbation = now+suspectCooldown, true
		c.suspicionChanges = append(c.suspicionChanges, SuspicionChange{state.entry.ID, true, failed, succeeded, reporters})
		return true
	case s.isOnProbation && failed == 0 && succeeded >= minSuccesses:
		s.isOnProbation = false
		c.suspicionChanges = append(c.suspicionChanges, SuspicionChange{state.entry.ID, false, failed, succeeded, reporters})
	}
	return s.isOnProbation && c.random() >= probationShare
}

// TakeSuspicionChanges returns the changes of suspicion since the previous call.
func (c *Core) TakeSuspicionChanges() []SuspicionChange {
	changed := c.suspicionChanges
	c.suspicionChanges = nil
	return changed
}

// localOutcomes returns this router's outcomes, and whether it reports them to others:
// it has some, and some router has seen failures.
func (s *suspicion) localOutcomes(now time.Duration, endpoint presence.Key) (presence.Outcomes, bool) {
	failed, succeeded := s.own.totals(now)
	isReported := failed+succeeded > 0 && failed+s.peersFailed > 0
	return presence.Outcomes{Endpoint: endpoint, Failed: failed, Succeeded: succeeded}, isReported
}

// applyOutcomes adds another router's outcomes (sign 1) or removes them (sign -1).
func (s *suspicion) applyOutcomes(outcomes presence.Outcomes, sign int) {
	s.peersFailed += sign * outcomes.Failed
	s.peersSucceeded += sign * outcomes.Succeeded
	if outcomes.Failed > 0 {
		s.reporters += sign * max(1, outcomes.Reporters)
	}
}

// withoutSuspects filters out suspect endpoints, unless most are suspect.
func (c *Core) withoutSuspects(now time.Duration, states []*endpointState) []*endpointState {
	healthy := make([]*endpointState, 0, len(states))
	for _, state := range states {
		if !c.isSuspect(now, state) {
			healthy = append(healthy, state)
		}
	}
	if float64(len(healthy)) < (1-maxSuspectShare)*float64(len(states)) {
		return states
	}
	return healthy
}

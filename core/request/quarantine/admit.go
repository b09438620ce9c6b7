package quarantine

import (
	"fmt"
	"slices"
	"time"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/presence"
)

// maxTurns is the number of turns after which any router may test.
const maxTurns = 10

// Refusal is why a request is refused.
type Refusal struct {
	// ID is the id of the part in quarantine.
	ID      string
	Crashes int
	// IsWhole is set if the part is the whole request. Crashes may then count some that are
	// not confirmed.
	IsWhole bool
	// IsRunning is set if the request is being run, so that its end may soon tell whether this
	// one may be sent.
	IsRunning bool
	// Wait is the time until a request may test the quarantine, or until it may be run again.
	Wait time.Duration
}

// Detail says why a request is refused.
func (r *Refusal) Detail() string {
	if r.IsWhole {
		return fmt.Sprintf("endpoints crashed while they answered this request, %q, or may have", r.ID)
	}
	return fmt.Sprintf("%d endpoints crashed while they answered requests with the part %q", r.Crashes, r.ID)
}

// Admission is the decision on a request.
type Admission struct {
	// Refusal is nil if the request may be sent.
	Refusal *Refusal
	// IsTest is set if the request tests a quarantine. If it isn't sent after all, Untested
	// must be called.
	IsTest bool
	// IsRun is set if the request may have crashed an endpoint, so that no other router
	// should run it. EndRun must be called when it has ended.
	IsRun bool
}

// Admit decides whether a request with these parts may be sent to an endpoint.
func (c *Core) Admit(now time.Duration, parts []Part) Admission {
	if len(c.verdicts)+len(c.whole)+len(c.pending) == 0 {
		return Admission{}
	}
	var tested []*verdict
	var refusal *Refusal
	for _, part := range parts {
		v, known := c.verdicts[part.Key]
		if !known || v.IsLifted {
			continue
		}
		v.matchedAt, v.id = now, part.ID
		if now >= v.until() && c.mayTest(now, v) {
			tested = append(tested, v)
			continue
		}
		refusal = &Refusal{ID: part.ID, Crashes: int(v.Crashes), IsWhole: part.Key.IsWhole(), Wait: max(v.until()-now, testSlot)}
	}
	if refusal != nil {
		return Admission{Refusal: refusal}
	}
	if len(tested) == 0 {
		return c.admitSuspects(now, parts)
	}
	for _, v := range tested {
		// The quarantine is extended before the request is sent, so that no other router
		// sends a second one.
		v.Revision++
		v.Period = min(periodFactor*v.Period, milliseconds(maxPeriod))
		v.decidedAt = now
		c.changes = append(c.changes, Change{Part: v.Part, ID: v.id, IsQuarantined: true, Crashes: int(v.Crashes), Period: v.period(), Reason: ReasonTest})
	}
	c.isUrgent = true
	return Admission{IsTest: true}
}

// admitSuspects decides on a request without parts in quarantine.
func (c *Core) admitSuspects(now time.Duration, parts []Part) Admission {
	for _, part := range parts {
		if !part.Key.IsWhole() {
			continue
		}
		refusal, isRun := c.admitWhole(now, part)
		return Admission{Refusal: refusal, IsRun: isRun}
	}
	return Admission{}
}

// IsRefused reports whether one of the parts is in quarantine. Unlike Admit, it never lets a
// request through to test.
func (c *Core) IsRefused(parts []Part) bool { return len(c.verdicts) > 0 && c.isExplained(parts) }

// mayTest reports whether this router may let a request through now. Routers take turns in
// an order on which they agree without communication, with a pause between two turns.
func (c *Core) mayTest(now time.Duration, v *verdict) bool {
	since := now - v.until()
	if since%testSlot >= testSlot/2 {
		return false
	}
	turn := since / testSlot
	name := fmt.Sprintf("%x/%d/%d", v.Part, v.Revision, turn)
	own := entry.Score(name, c.self)
	before := 0
	for _, router := range c.routers {
		if router != c.self && entry.Score(name, router) > own {
			before++
		}
	}
	// With each turn that no request used, four times as many routers have the next one: a
	// caller who repeats a request now and then would not find the right one of hundreds.
	return before < 1<<(2*min(turn, maxTurns))
}

// Untested records that a request that was to test quarantines was not sent: the next one
// may do so.
func (c *Core) Untested(now time.Duration, parts []Part) {
	for _, part := range parts {
		if v, known := c.verdicts[part.Key]; known && !v.IsLifted {
			v.Revision++
			v.Period = max(v.Period/periodFactor, milliseconds(firstPeriodOf(part.Key)))
			v.decidedAt = now - v.period()
		}
	}
}

// MayRepeat reports whether a request whose connection broke may be sent to another
// endpoint: not if it may have crashed as many as put it in quarantine, nor if one of its
// parts was in progress at two or more crashes, or broken connections that may be crashes,
// and is not known to be served.
func (c *Core) MayRepeat(now time.Duration, parts []Part) bool {
	all := c.evidence(now)
	for _, part := range parts {
		if c.isQuarantined(part.Key) {
			return false
		}
		if part.Key.IsWhole() {
			if c.suspicion(now, part.Key) >= c.crashesToQuarantine(now, part.Key) {
				return false
			}
			continue
		}
		if c.processesWith(all, part.Key) >= minCrashes-1 && c.servedCount(now, part.Key) == 0 {
			return false
		}
	}
	return true
}

// processesWith returns how many processes crashed, or broke a connection just now, with a
// part in progress.
func (c *Core) processesWith(crashes []presence.Crash, part presence.PartKey) int {
	processes := make(map[presence.Key]bool)
	for _, crash := range crashes {
		if slices.ContainsFunc(crash.Suspects, func(s presence.Suspect) bool { return s.Part == part }) {
			processes[crash.Process] = true
		}
	}
	for _, p := range c.pending {
		if !p.isSilent && slices.ContainsFunc(p.parts, func(other Part) bool { return other.Key == part }) {
			processes[p.process] = true
		}
	}
	return len(processes)
}

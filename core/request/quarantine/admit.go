package quarantine

import (
	"fmt"
	"time"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/presence"
)

// Refusal is why a request is refused.
type Refusal struct {
	// ID is the id of the part in quarantine.
	ID      string
	Crashes int
	// Wait is the time until a request may test the quarantine.
	Wait time.Duration
}

// Admission is the decision on a request.
type Admission struct {
	// Refusal is nil if the request may be sent.
	Refusal *Refusal
	// IsTest is set if the request tests a quarantine. If it isn't sent after all, Untested
	// must be called.
	IsTest bool
}

// Admit decides whether a request with these parts may be sent to an endpoint.
func (c *Core) Admit(now time.Duration, parts []Part) Admission {
	if len(c.verdicts) == 0 {
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
		refusal = &Refusal{ID: part.ID, Crashes: int(v.Crashes), Wait: max(v.until()-now, testSlot)}
	}
	if refusal != nil || len(tested) == 0 {
		return Admission{Refusal: refusal}
	}
	for _, v := range tested {
		// The quarantine is extended before the request is sent, so that no other router
		// sends a second one.
		v.Revision++
		v.Period = min(2*v.Period, milliseconds(maxPeriod))
		v.decidedAt = now
		c.changes = append(c.changes, Change{Part: v.Part, ID: v.id, IsQuarantined: true, Crashes: int(v.Crashes), Period: v.period(), Reason: ReasonTest})
	}
	return Admission{IsTest: true}
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
	turn := fmt.Sprintf("%x/%d/%d", v.Part, v.Revision, since/testSlot)
	own := entry.Score(turn, c.self)
	for _, router := range c.routers {
		if router != c.self && entry.Score(turn, router) > own {
			return false
		}
	}
	return true
}

// Untested records that a request that was to test quarantines was not sent: the next one
// may do so.
func (c *Core) Untested(now time.Duration, parts []Part) {
	for _, part := range parts {
		if v, known := c.verdicts[part.Key]; known && !v.IsLifted {
			v.Revision++
			v.Period = max(v.Period/2, milliseconds(firstPeriod))
			v.decidedAt = now - v.period()
		}
	}
}

// MayRepeat reports whether a request whose connection broke may be sent to another
// endpoint: not if one of its parts was in progress at two or more crashes, or broken
// connections that may be crashes, and is not known to be served.
func (c *Core) MayRepeat(now time.Duration, parts []Part) bool {
	all := c.evidence(now)
	for _, part := range parts {
		if c.isQuarantined(part.Key) {
			return false
		}
		processes := make(map[presence.Key]bool)
		for _, crash := range all {
			for _, s := range crash.Suspects {
				if s.Part == part.Key {
					processes[crash.Process] = true
				}
			}
		}
		for _, p := range c.pending {
			for _, other := range p.parts {
				if other.Key == part.Key {
					processes[p.process] = true
				}
			}
		}
		if len(processes) >= minCrashes-1 && c.servedCount(now, part.Key) == 0 {
			return false
		}
	}
	return true
}

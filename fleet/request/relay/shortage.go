package relay

import (
	"time"

	"gentianhead/core/request/balance"
)

// shortageEnd is how long after its last refusal the shortage of a service ends.
const shortageEnd = 3 * time.Second

// shortage is a time in which a service refuses requests for lack of capacity.
type shortage struct {
	service         string
	since, latestAt time.Duration
	refused         int
}

// recordShed records a refusal, if shed is not nil. It reports whether a shortage begins. The
// caller holds the lock.
func (b *Balancer) recordShed(now time.Duration, service string, shed *balance.Shed) (isNew bool) {
	if shed == nil {
		return false
	}
	current, isKnown := b.shortages[service]
	if !isKnown {
		current = &shortage{service: service, since: now}
		b.shortages[service] = current
	}
	current.latestAt = now
	current.refused++
	return !isKnown
}

// takeEndedShortages returns and forgets the shortages that have ended. The caller holds the
// lock.
func (b *Balancer) takeEndedShortages(now time.Duration) []*shortage {
	var ended []*shortage
	for service, s := range b.shortages {
		if now-s.latestAt > shortageEnd {
			ended = append(ended, s)
			delete(b.shortages, service)
		}
	}
	return ended
}

func (b *Balancer) logShortage(service string, shed *balance.Shed) {
	b.log.Info("A service is short of capacity.", "service", service, "isShort", true, "reason", string(shed.Reason),
		"rank", shed.Rank, "expected", shed.Expected, "capacity", shed.Capacity, "reportAge", shed.Age)
}

func (b *Balancer) logEndedShortages(ended []*shortage) {
	for _, s := range ended {
		b.log.Info("A service has enough capacity again.", "service", s.service, "isShort", false,
			"lasted", s.latestAt-s.since, "refused", s.refused)
	}
}

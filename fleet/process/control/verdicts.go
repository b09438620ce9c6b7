package control

import (
	"gentianhead/core/process/gossip"
	"gentianhead/core/process/presence"
)

// Crashes is what a router knows of requests that crash endpoints, which routers tell each
// other in heartbeats. The gateway implements it; its methods are called concurrently and must
// not block.
type Crashes interface {
	// Stated returns the crashes that this router saw, and its verdicts.
	Stated() presence.CrashEvidence
	// Adopt takes over what another router states.
	Adopt(instance string, evidence presence.CrashEvidence)
}

// ShareCrashes makes heartbeats carry what routers know of crashes. Before it is called, they
// carry nothing of it.
func (l *Loop) ShareCrashes(crashes Crashes) { l.crashes.Store(&crashes) }

// stateCrashes adds what this router knows of crashes to a heartbeat. Verdicts have a field of
// their own, which is all that earlier releases read.
func (l *Loop) stateCrashes(heartbeat *gossip.Heartbeat) {
	if shared := l.crashes.Load(); shared != nil {
		evidence := (*shared).Stated()
		heartbeat.Verdicts, evidence.Verdicts = evidence.Verdicts, nil
		heartbeat.Crashes = evidence
	}
}

func (l *Loop) adoptCrashes(heartbeat gossip.Heartbeat) {
	if shared := l.crashes.Load(); shared != nil {
		evidence := heartbeat.Crashes
		evidence.Verdicts = heartbeat.Verdicts
		(*shared).Adopt(heartbeat.Router.Instance, evidence)
	}
}

// StatedRates are the request rates that endpoints stated, which routers pass on in
// heartbeats. The gateway implements it; its methods are called concurrently and must not
// block.
type StatedRates interface {
	// Rates returns the rates known to this router.
	Rates() []presence.StatedRate
	// AdoptRates takes over those that another router knows from later answers.
	AdoptRates(rates []presence.StatedRate)
}

// ShareRates makes heartbeats carry rates. Before it is called, they carry none.
func (l *Loop) ShareRates(rates StatedRates) { l.rates.Store(&rates) }

func (l *Loop) statedRates() []presence.StatedRate {
	if shared := l.rates.Load(); shared != nil {
		return (*shared).Rates()
	}
	return nil
}

func (l *Loop) adoptRates(heartbeat gossip.Heartbeat) {
	if shared := l.rates.Load(); shared != nil && len(heartbeat.Rates) > 0 {
		(*shared).AdoptRates(heartbeat.Rates)
	}
}

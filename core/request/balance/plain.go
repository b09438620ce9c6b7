package balance

import "time"

const (
	// firstRefusal and lastRefusal bound the part of the target latency that a
	// request is expected to take between which refusals grow from none to all.
	// A ramp, since routers that all stopped at one bound would all send again at
	// once when they hear of the room. A lower ramp refuses what would be in time at
	// nine tenths of the load; a higher one answers late at four thirds.
	firstRefusal = 0.7
	lastRefusal  = 1.4
	// busyShare is how much of their slots servers must be using for recentShare of
	// what was refused lately to go on being refused. What routers know of the load
	// swings between too much and too little; accounts above their share are to
	// stay refused in between, so that the next swing does not meet the others. With
	// a lower busyShare, requests are refused at nine tenths of the load.
	busyShare   = 1.2
	recentShare = 0.85
	// unknownBound times its slots is what a server is sent while the time that its
	// requests take, or their target latency, is not known.
	unknownBound = 2
)

// pickPlain returns a server with room, or nil.
//
// The load pattern: many routers of which each sends a small part of the load.
// What a router hears of the others is as old as their beacons. If it sent to the
// server that was least loaded then, all others would do so too and flood it. So
// the choice is the more random, the more requests come to a server between two
// beacons.
func (c *Core) pickPlain(now time.Duration, job Job, candidates []*endpointState) *endpointState {
	service := c.seen(job.Service)
	if len(job.Excluded) == 0 {
		service.shares.Note(now, job.Asker)
	}
	mean := meanRunning(now, candidates)
	unseen := c.unseen(&service.took, mean)
	var best *endpointState
	bestCost := 0.0
	for _, state := range candidates {
		slots := float64(max(1, state.entry.Slots))
		cost := (float64(state.running(now)) + c.random()*(1+unseen)) / slots
		if best == nil || cost < bestCost {
			best, bestCost = state, cost
		}
	}
	running := min(float64(best.running(now)), mean)
	refused := service.refusalShare(running, best.entry.Slots, job.Target)
	if running > busyShare*float64(best.entry.Slots) {
		refused = max(refused, recentShare*service.shares.Recent())
	}
	if c.random() < service.shares.Refusal(job.Asker, refused) {
		service.shares.Refused()
		return nil
	}
	return best
}

// refusalShare returns the share of requests to refuse at a server that has
// running requests, so that those that are sent are answered in time.
func (s *seenService) refusalShare(running float64, slots int, target time.Duration) float64 {
	if running < float64(slots) {
		return 0
	}
	if target <= 0 || s.took.value == 0 {
		return running - unknownBound*float64(slots) + 1
	}
	expected := float64(s.took.value) * (running + 1) / float64(max(1, slots))
	part := expected / float64(target)
	return (part - firstRefusal) / (lastRefusal - firstRefusal)
}

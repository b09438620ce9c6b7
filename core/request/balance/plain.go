package balance

import (
	"time"

	"gentianhead/core/request/fairness"
)

const (
	// smoothing is the weight of a new sample in a smoothed time: about the last
	// twenty count.
	smoothing = 0.1
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

// smoothed is a moving average of times; zero until the first sample.
type smoothed struct {
	value time.Duration
}

// Add takes a sample.
func (s *smoothed) Add(sample time.Duration) {
	if s.value == 0 {
		s.value = sample
		return
	}
	s.value += time.Duration(smoothing * float64(sample-s.value))
}

// seenService is what this router has seen of a service.
type seenService struct {
	// took is the time that a request takes at an endpoint, without what it waits
	// at a plain server.
	took smoothed
	// shares divides what is refused among client accounts.
	shares fairness.Shares
}

// seen returns what this router has seen of a service.
func (c *Core) seen(name string) *seenService {
	service, known := c.services[name]
	if !known {
		service = &seenService{}
		c.services[name] = service
	}
	return service
}

// noteWork takes the time that an answer took. What it waited behind others is
// taken off by how many the server was taken to have.
func (c *Core) noteWork(now time.Duration, p *Placement) {
	if service, known := c.services[p.Endpoint.Service]; known && p.Endpoint.Slots > 0 {
		ahead := max(1, float64(p.Running+1)/float64(p.Endpoint.Slots))
		service.took.Add(time.Duration(float64(now-p.at) / ahead))
	}
}

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

func meanRunning(now time.Duration, candidates []*endpointState) float64 {
	total := 0
	for _, state := range candidates {
		total += state.running(now)
	}
	return float64(total) / float64(len(candidates))
}

// unseen returns how many requests are expected to have reached a server since
// the reports that this router knows. mean is how many are there.
func (c *Core) unseen(took *smoothed, mean float64) float64 {
	if len(c.reports) == 0 || took.value == 0 {
		return 0
	}
	age := c.reportGap.value / 2
	return mean * float64(age) / float64(took.value)
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

// Capacity returns how many requests a second the endpoints of a service can do, or
// zero while that is not known.
func (c *Core) Capacity(service string) float64 {
	known, isKnown := c.services[service]
	if !isKnown || known.took.value == 0 {
		return 0
	}
	slots := 0
	for _, e := range c.view.Of(service) {
		slots += e.Slots
	}
	return float64(slots) / known.took.value.Seconds()
}

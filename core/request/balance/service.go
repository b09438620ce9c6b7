package balance

import (
	"time"

	"gentianhead/core/request/fairness"
)

// smoothing is the weight of a new sample in a smoothed time: about the last twenty
// count.
const smoothing = 0.1

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

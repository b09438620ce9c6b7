package balance

import (
	"math"
	"time"

	"gentianhead/core/request/fairness"
	"gentianhead/core/request/shedding"
)

// smoothing is the weight of a new sample in a moving average: about the last twenty
// samples count.
const smoothing = 0.1

// movingAverage is an exponential moving average of durations; zero until the first
// sample.
type movingAverage struct {
	value time.Duration
}

func (s *movingAverage) Add(sample time.Duration) { s.AddSamples(sample, 1) }

// AddSamples adds count samples of the same value.
func (s *movingAverage) AddSamples(sample time.Duration, count int) {
	if s.value == 0 {
		s.value = sample
		return
	}
	weight := 1 - math.Pow(1-smoothing, float64(count))
	s.value += time.Duration(weight * float64(sample-s.value))
}

// serviceStats holds this router's measurements of a service.
type serviceStats struct {
	// serviceTime is the time of a request at an endpoint, without the queueing time at
	// a plain server.
	serviceTime movingAverage
	// coldTime is the time of a request at a cold endpoint, to the first event of a stream, and
	// coldMeasuredAt when it was last measured.
	coldTime       movingAverage
	coldMeasuredAt time.Duration
	// demand decides how refusals are divided among client accounts.
	demand fairness.DemandTracker
	// tokenTimes estimates the time to the first event at an engine.
	tokenTimes tokenTimes
	memoryUse  memoryUse
	// statesSlowness is set once an endpoint of the service has stated its slowness.
	statesSlowness bool
	// shedding orders refusals of a service under pressure.
	shedding shedding.Core
}

// statsFor returns the measurements of a service, creating them if needed.
func (c *Core) statsFor(name string) *serviceStats {
	service, known := c.services[name]
	if !known {
		service = &serviceStats{}
		c.services[name] = service
	}
	return service
}

// recordRefusal records that a request is refused.
func (s *serviceStats) recordRefusal(request PlacementRequest) {
	if !request.IsMove {
		s.demand.RecordRefusal()
	}
}

// isDrawnForRefusal decides whether a request is among the fraction to refuse.
func (c *Core) isDrawnForRefusal(request PlacementRequest, fraction float64) bool {
	if request.IsMove {
		return fraction > 0
	}
	return c.random() < fraction
}

// recordServiceTime records the service time of a completed request. The queueing
// time is removed by dividing by the estimated number of requests per slot.
func (c *Core) recordServiceTime(now time.Duration, p *Placement) {
	if service, known := c.services[p.Endpoint.Service]; known && p.Endpoint.Slots > 0 {
		perSlot := max(1, float64(p.Running+1)/float64(p.Endpoint.Slots))
		if state := c.stateOf(p); state != nil && c.isPressured(p.Endpoint.Service) {
			perSlot *= state.slowness.expected(now, 1)
		}
		service.serviceTime.Add(time.Duration(float64(now-p.placedAt) / perSlot))
	}
}

// ServiceTime returns the measured time of a request at an endpoint of a service, without
// queueing; zero if none was measured.
func (c *Core) ServiceTime(name string) time.Duration { return c.statsFor(name).serviceTime.value }

func meanRunning(now time.Duration, candidates []*endpointState) float64 {
	total := 0
	for _, state := range candidates {
		total += state.running(now)
	}
	return float64(total) / float64(len(candidates))
}

// unreported estimates how many requests have reached a server since the latest
// reports of other routers. mean is the mean number of requests at a server.
func (c *Core) unreported(serviceTime *movingAverage, mean float64) float64 {
	if len(c.reports) == 0 || serviceTime.value == 0 {
		return 0
	}
	age := c.reportInterval.value / 2
	return mean * float64(age) / float64(serviceTime.value)
}

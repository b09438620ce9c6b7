package balance

import (
	"math"
	"time"

	"gentianhead/core/process/presence"
)

const (
	// usualSlowness is the slowness of an endpoint that works as usual, in percent.
	usualSlowness = 100
	// slownessDecay is the time in which two thirds of a statement stop counting: an endpoint
	// may become slow and recover within 600 ms. Without new ones, it is expected to be as slow
	// as the others on average, so that it gets requests and states its slowness again. With a
	// second, most routers still avoided engines 1.5 s after they had recovered.
	slownessDecay = 500 * time.Millisecond
	// slownessNews is how long after an endpoint was last known to be slow its statements are
	// reported to other routers, so that they learn of its recovery.
	slownessNews = 2 * time.Second
	// minSlowness and maxSlowness bound what counts of a statement, so that a wrong one neither
	// draws all requests to an endpoint nor keeps all away.
	minSlowness, maxSlowness = 50, 2000
	// minReportedSlowness is the slowness from which an endpoint counts as slow in reports.
	minReportedSlowness = 110
	// defaultTokenTime is the time per prefilled token until it is measured.
	defaultTokenTime = 20 * time.Microsecond
	// minTokenSamples is the number of first events from which the measurement counts.
	minTokenSamples = 30
	// tokenSampleDecay is the weight that earlier samples keep at each new one.
	tokenSampleDecay = 0.99
)

// slowness is what is known of how long work takes at an endpoint.
type slowness struct {
	percent int
	// at is when the endpoint stated it; zero if it never did.
	at time.Duration
	// slowAt is when the endpoint was last known to be slow.
	slowAt time.Duration
	// isOwn is set if the endpoint stated it to this router. Only such statements are reported:
	// passed on again and again, they would seem newer by the delay of each step.
	isOwn bool
}

// record records a statement. Older ones than the known are ignored.
func (s *slowness) record(at time.Duration, percent int, isOwn bool) {
	if percent <= 0 || s.at != 0 && at <= s.at {
		return
	}
	s.percent, s.at, s.isOwn = min(max(percent, minSlowness), maxSlowness), at, isOwn
	if percent >= minReportedSlowness {
		s.slowAt = at
	}
}

// expected returns the expected factor by which work takes longer than usual. mean is that of
// the endpoints of the service.
func (s *slowness) expected(now time.Duration, mean float64) float64 {
	if s.at == 0 {
		return mean
	}
	weight := math.Exp(-float64(max(0, now-s.at)) / float64(slownessDecay))
	return mean + weight*(float64(s.percent)/usualSlowness-mean)
}

// meanSlowness returns the mean of the factors last stated; one if none was.
func meanSlowness(candidates []*endpointState) float64 {
	sum, count := 0.0, 0
	for _, state := range candidates {
		if state.slowness.at != 0 {
			sum += float64(state.slowness.percent) / usualSlowness
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / float64(count)
}

// recordSlowness records the slowness that an endpoint stated at a time.
func (c *Core) recordSlowness(state *endpointState, at time.Duration, percent int, isOwn bool) {
	if percent <= 0 {
		return
	}
	state.slowness.record(at, percent, isOwn)
	if stats := c.statsFor(state.entry.Service); !stats.statesSlowness {
		stats.statesSlowness = true
		c.pressured = append(c.pressured, state.entry.Service)
	}
}

// TakePressured returns the services whose endpoints have begun to state their slowness since
// its last call.
func (c *Core) TakePressured() []string {
	services := c.pressured
	c.pressured = nil
	return services
}

// SlowEndpoints returns the number of endpoints that are known to be slow now.
func (c *Core) SlowEndpoints(now time.Duration) int {
	count := 0
	for _, state := range c.states {
		if state.slowness.expected(now, 1)*usualSlowness >= minReportedSlowness {
			count++
		}
	}
	return count
}

// slownessReport returns the statements to report to other routers.
func (c *Core) slownessReport(now time.Duration) []presence.Slowness {
	var stated []presence.Slowness
	for key, state := range c.byKey {
		if s := state.slowness; s.isOwn && s.slowAt != 0 && now-s.slowAt < slownessNews {
			stated = append(stated, presence.Slowness{Endpoint: key, Percent: uint32(s.percent), Age: uint32(max(0, now-s.at) / time.Millisecond)})
		}
	}
	return presence.LatestSlowness(stated)
}

// recordReportedSlowness records what endpoints stated to other routers.
func (c *Core) recordReportedSlowness(now time.Duration, reported []presence.Slowness) {
	for _, r := range reported {
		if state, known := c.byKey[r.Endpoint]; known {
			c.recordSlowness(state, now-time.Duration(r.Age)*time.Millisecond, int(min(r.Percent, math.MaxInt32)), false)
		}
	}
}

// tokenTimes estimates the time to the first event by the number of tokens to prefill: a
// regression over the latest samples.
type tokenTimes struct {
	count, x, y, xx, xy float64
}

func (t *tokenTimes) add(tokens int, took float64) {
	x := float64(tokens)
	for _, sum := range []*float64{&t.count, &t.x, &t.y, &t.xx, &t.xy} {
		*sum *= tokenSampleDecay
	}
	t.count, t.x, t.y, t.xx, t.xy = t.count+1, t.x+x, t.y+took, t.xx+x*x, t.xy+x*took
}

// estimate returns the time per token and the time beside it.
func (t *tokenTimes) estimate() (perToken, base float64) {
	perToken = float64(defaultTokenTime)
	if variance := t.count*t.xx - t.x*t.x; t.count >= minTokenSamples && variance > 0 {
		perToken = min(max((t.count*t.xy-t.x*t.y)/variance, perToken/10), perToken*10)
	}
	if t.count > 0 {
		base = max(0, (t.y-perToken*t.x)/t.count)
	}
	return perToken, base
}

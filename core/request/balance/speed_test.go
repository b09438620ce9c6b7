package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/presence"
	"gentianhead/core/request/exchange"
)

// Guards against an older statement that replaces a newer one, and against one that counts
// forever, so that an engine that recovered gets no requests.
func TestSlownessAge(t *testing.T) {
	var s slowness
	s.record(time.Minute, 250, true)
	s.record(time.Minute-time.Millisecond, 100, true)
	s.record(time.Minute+time.Millisecond, 0, true)
	assert.Equal(t, s.expected(time.Minute, 1), 2.5)
	assert.Assert(t, s.expected(time.Minute+3*time.Second, 1) < 1.1)
	s.record(time.Minute+time.Second, 100, true)
	assert.Equal(t, s.expected(time.Minute+time.Second, 1), 1.0)
}

// Guards against an absurd statement that draws all requests to an endpoint or keeps all away.
func TestSlownessBounded(t *testing.T) {
	for percent, want := range map[int]float64{1: 0.5, 60: 0.6, 100_000: 20} {
		var s slowness
		s.record(time.Minute, percent, true)
		assert.Equal(t, s.expected(time.Minute, 1), want, percent)
	}
}

// Guards against placement by time where no endpoint states its slowness, and against reports
// that a router passes on as its own news forever.
func TestSlownessSwitchAndReport(t *testing.T) {
	first, second := newCore(t, 1, 3), newCore(t, 2, 3)
	first.Tick(time.Hour)
	second.Tick(time.Hour)
	first.RecordLoad(time.Hour, "engine-00", exchange.Load{Running: 3, Slots: 16})
	assert.Assert(t, !first.isPressured("pool") && !first.isPressured("plain"))
	first.RecordLoad(time.Hour, "engine-00", exchange.Load{Slowness: 250})
	assert.Assert(t, first.isPressured("pool") && first.isPressured("plain"))
	assert.DeepEqual(t, first.TakePressured(), []string{"pool"})

	second.Report(time.Hour+time.Second, "router-1", first.Work(time.Hour+time.Second, 0))
	assert.Assert(t, second.isPressured("pool"))
	assert.Equal(t, second.SlowEndpoints(time.Hour+time.Second), 1)
	assert.Equal(t, first.Work(time.Hour+time.Second, 0).Slowness[0].Age, uint32(1000))
	assert.Equal(t, len(first.Work(time.Hour+slownessNews, 0).Slowness), 0)
	assert.Equal(t, len(second.Work(time.Hour+time.Second, 0).Slowness), 0, "what another router reported")

	second.Report(time.Hour, "router-1", WorkReport{Load: presence.Load{Slowness: []presence.Slowness{{Endpoint: presence.KeyOf("engine-01")}, {Endpoint: 7, Percent: 300}}}})
	assert.Equal(t, second.SlowEndpoints(time.Hour), 1, "a statement without a meaning and one of an unknown endpoint")

	third := newCore(t, 3, 3)
	third.SetOptions(Options{IsPressured: true})
	assert.Assert(t, third.isPressured("pool") && third.isPressured("plain"))
}

// Guards against requests that fit into the slots of an engine but not into its memory, which
// preempts some of them.
func TestMemoryUseSlots(t *testing.T) {
	var m memoryUse
	assert.Equal(t, m.slots(400_000, 64), 64)
	m.add(memoryOf(&exchange.Prompt{InputTokens: 19_800, MaxOutputTokens: 400}), 2*time.Second)
	assert.Equal(t, m.slots(400_000, 64), 20)
	assert.Equal(t, m.slots(0, 64), 64, "an unknown capacity")
	assert.Equal(t, m.slots(100, 64), 1)
	m.add(0, 2*time.Second)
	assert.Assert(t, m.slots(400_000, 64) > 39, "half of the running requests hold nothing")
}

// Guards against a wrong time per token, from too few samples or from equal ones.
func TestTokenTimes(t *testing.T) {
	var times tokenTimes
	perToken, base := times.estimate()
	assert.Equal(t, perToken, float64(defaultTokenTime))
	assert.Equal(t, base, 0.0)
	for number := range 200 {
		tokens := 100 * (1 + number%50)
		times.add(tokens, float64(40*time.Millisecond)+float64(tokens)*float64(12*time.Microsecond))
	}
	perToken, base = times.estimate()
	assert.Assert(t, perToken > 11.9e3 && perToken < 12.1e3, "%f", perToken)
	assert.Assert(t, base > 39e6 && base < 41e6, "%f", base)
	times = tokenTimes{}
	for range 200 {
		times.add(500, float64(20*time.Millisecond))
	}
	perToken, _ = times.estimate()
	assert.Assert(t, perToken >= float64(defaultTokenTime)/10 && perToken <= 10*float64(defaultTokenTime), "%f", perToken)
}

package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// simulate simulates one account at several routers and its home router, and
// returns how many requests were admitted. requests returns how many of them a
// router receives in one step of 10 ms.
func simulate(routers, seconds int, limit float64, requests func(router, step int) int) int {
	now := time.Unix(1e9, 0)
	allocator := NewAllocator()
	allocator.SetRouters(routers)
	limiters := make([]*Limiter, routers)
	for i := range limiters {
		limiters[i] = NewLimiter()
		limiters[i].SetRouters(routers)
	}
	admitted := 0
	for step := range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		for i, limiter := range limiters {
			for range requests(i, step) {
				if ok, after := limiter.Allow(now, "a", limit); ok {
					admitted++
				} else if after <= 0 {
					panic("refused without a retry delay")
				}
			}
			if step%25 == i%25 {
				for _, demand := range limiter.Demands(now, fmt.Sprint("router-", i)) {
					limiter.SetShare(now, allocator.Allocate(now, demand, limit))
				}
			}
		}
	}
	return admitted
}

func TestSharesFollowDemand(t *testing.T) {
	// One router of seven receives all requests. With an equal share it would refuse
	// all but 14 per second.
	admitted := simulate(7, 30, 100, func(router, step int) int {
		if router == 0 {
			return 1
		}
		return 0
	})
	assert.Assert(t, admitted > 28*100, "%d of 3000 admitted", admitted)
}

func TestLimitHoldsForAnyDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 12).Draw(t, "routers")
		limit := rapid.Float64Range(1, 200).Draw(t, "limit")
		weights := rapid.SliceOfN(rapid.IntRange(0, 5), routers, routers).Draw(t, "demand")
		const seconds = 20
		admitted := simulate(routers, seconds, limit, func(router, _ int) int { return weights[router] })
		bursts := float64(routers)*MinBurst + 2*limit*BurstTime.Seconds()
		untilShared := limit * 2 * ReportInterval.Seconds()
		assert.Assert(t, float64(admitted) <= limit*seconds+bursts+untilShared, "%d admitted", admitted)
	})
}

// A router whose demand was exactly its equal share never ran out of tokens and
// reported nothing, so its share was also given to the other router: 6,000 of
// 6,000 requests were admitted.
func TestRouterAtEqualShareReportsDemand(t *testing.T) {
	const limit, seconds = 200, 20
	admitted := simulate(2, seconds, limit, func(router, _ int) int { return 1 + router })
	bursts := 2*MinBurst + 2*limit*BurstTime.Seconds()
	untilShared := limit * 2 * ReportInterval.Seconds()
	assert.Assert(t, float64(admitted) <= limit*seconds+bursts+untilShared, "%d admitted", admitted)
}

func TestSharesSumToAtMostLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allocator := NewAllocator()
		now := time.Unix(1e9, 0)
		held := map[string]float64{}
		limit := rapid.Float64Range(1, 100).Draw(t, "limit")
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			now = now.Add(50 * time.Millisecond)
			router := rapid.SampledFrom([]string{"r", "s", "t", "u"}).Draw(t, "router")
			share := allocator.Allocate(now, Demand{Account: "a", Router: router, Rate: rapid.Float64Range(0, 300).Draw(t, "rate")}, limit)
			held[router] = share.Rate
			sum := 0.0
			for _, rate := range held {
				sum += rate
			}
			assert.Assert(t, sum <= limit+1e-6, "%v", held)
		}
	})
}

func TestAllowWithoutLimit(t *testing.T) {
	l := NewLimiter()
	for range 1000 {
		ok, _ := l.Allow(time.Unix(1e9, 0), "a", 0)
		assert.Assert(t, ok)
	}
}

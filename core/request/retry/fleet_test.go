package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var fleetLimits = FleetLimits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}

// Every request fails at every endpoint for a minute, at seven routers. Retries
// must stay within the limit in every sliding window.
func TestFleetBudgetHoldsInEveryWindow(t *testing.T) {
	const seed, routers = 3, 7
	random := rand.New(rand.NewPCG(seed, 0))
	budgets := make([]*FleetBudget, routers)
	for i := range budgets {
		budgets[i] = NewFleetBudget(fleetLimits)
	}
	type sent struct {
		at      time.Duration
		isRetry bool
	}
	var all []sent
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		b := budgets[random.IntN(routers)]
		b.RecordFirst(now)
		all = append(all, sent{at: now})
		for range 3 {
			if b.AllowRetry(now, routers) {
				all = append(all, sent{now, true})
			}
		}
	}
	for from := time.Duration(0); from < time.Minute; from += 100 * time.Millisecond {
		first, retries := 0, 0
		for _, s := range all {
			if s.at < from || s.at >= from+fleetLimits.Window {
				continue
			}
			if s.isRetry {
				retries++
			} else {
				first++
			}
		}
		limit := fleetLimits.Ratio*float64(first) + fleetLimits.Slack
		assert.Assert(t, float64(retries) <= limit, "seed %d from %v: %d retries, limit %.0f", seed, from, retries, limit)
	}
}

func TestSetLimitsKeepsCountedRetries(t *testing.T) {
	budget := NewFleetBudget(FleetLimits{Slack: 10, Window: time.Second})
	for range 6 {
		assert.Assert(t, budget.AllowRetry(0, 1))
	}
	assert.Assert(t, !budget.AllowRetry(0, 1))
	budget.SetLimits(FleetLimits{Slack: 12, Window: time.Minute})
	assert.Assert(t, budget.AllowRetry(0, 1))
	assert.Assert(t, !budget.AllowRetry(0, 1))
	budget.SetLimits(FleetLimits{Slack: 1})
	assert.Assert(t, !budget.AllowRetry(0, 1))
}

func TestUnusedFleetBudgetAllowsShareOfSlack(t *testing.T) {
	b := NewFleetBudget(fleetLimits)
	allowed := 0
	for b.AllowRetry(time.Second, 7) {
		allowed++
	}
	assert.Equal(t, allowed, 4)
	assert.Assert(t, b.AllowRetry(time.Minute, 7), "retries of a past window are still counted")
}

// Guards against a check of configurations that takes a budget without a ratio for unlimited.
func TestMaxRetries(t *testing.T) {
	most, isLimited := FleetLimits{Slack: 5}.MaxRetries()
	assert.Assert(t, isLimited)
	assert.Equal(t, most, 3)
	_, isLimited = FleetLimits{Ratio: 0.1}.MaxRetries()
	assert.Assert(t, !isLimited)
}

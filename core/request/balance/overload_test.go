package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/request/balance/balancetest"
)

// fewEngines is a fleet of few routers and a few large engines.
func fewEngines(seed uint64) balancetest.Options {
	options := engineFleet(seed)
	options.Routers, options.BeaconInterval, options.Endpoints = 7, 250*time.Millisecond, 5
	options.Engine.Slots, options.Engine.CacheTokens = 64, 600_000
	return options
}

// classes returns x times the load that twelve engines are sized for. Two thirds of
// the output tokens belong to requests with a long prompt.
func classes(seed uint64, x float64, length time.Duration) []balancetest.Request {
	return mix(seed, length,
		class{"long", 20.4 * x, 40, 10000, 1300, 380, 800 * time.Millisecond},
		class{"question", 18.5 * x, 60, 600, 130, 290, 400 * time.Millisecond},
		class{"sort", 26 * x, 50, 1900, 360, 25, 500 * time.Millisecond})
}

// Guards against late responses and uneven refusals under overload: 2.5 times the load
// at less than half of the engines that it needs, with empty caches. After warm-up,
// accepted requests must be in time and no class be refused much more often.
func TestReplayOverloadedEngines(t *testing.T) {
	t.Parallel()
	const warm = 5 * time.Second
	for seed := range uint64(replaySeeds) {
		_, all := balancetest.Replay(fewEngines(seed), classes(seed, 2.5, 12*time.Second))
		byClass := make(map[string][]balancetest.Result)
		var results []balancetest.Result
		for _, r := range all {
			if r.At > warm {
				results = append(results, r)
				byClass[r.Class] = append(byClass[r.Class], r)
			}
		}
		s := sharesOf(results)
		t.Logf("seed %d: %+v", seed, s)
		late := 1 - s.inTime - s.refused - s.unanswered
		assert.Assert(t, late < 0.03, "seed %d: %.3f late", seed, late)
		assert.Assert(t, s.inTime > 0.55, "seed %d: %+v", seed, s)
		for name, classResults := range byClass {
			assert.Assert(t, sharesOf(classResults).refused < s.refused+0.1, "seed %d: %s %+v", seed, name, sharesOf(classResults))
		}
	}
}

// surgeAtEngines has one of ten accounts send, for six seconds, two thirds (x = 1) to
// four thirds (x = 2) of the load of all others.
func surgeAtEngines(seed uint64, x float64) []balancetest.Request {
	random := rand.New(rand.NewPCG(seed, 11))
	requests := classes(seed, 1.5, 12*time.Second)
	for i := range requests {
		requests[i].Account = fmt.Sprint("account-", random.IntN(9))
	}
	for _, request := range classes(seed+100, x, 12*time.Second) {
		if request.At > 4*time.Second && request.At < 10*time.Second {
			request.Account = "hot"
			requests = append(requests, request)
		}
	}
	return inOrder(requests)
}

// duringSurge returns the shares of the other accounts' requests and of all requests.
// visibleAccount maps an account to the one that routers see.
func duringSurge(seed uint64, x float64, visibleAccount func(account string) string) (others, all shares) {
	requests := surgeAtEngines(seed, x)
	hot := make(map[time.Duration]bool)
	for i := range requests {
		hot[requests[i].At] = requests[i].Account == "hot"
		requests[i].Account = visibleAccount(requests[i].Account)
	}
	_, results := balancetest.Replay(fewEngines(seed), requests)
	var ofOthers, ofAll []balancetest.Result
	for _, r := range results {
		if r.At <= 4*time.Second || r.At >= 10*time.Second {
			continue
		}
		ofAll = append(ofAll, r)
		if !hot[r.At] {
			ofOthers = append(ofOthers, r)
		}
	}
	return sharesOf(ofOthers), sharesOf(ofAll)
}

// Guards against refusing other accounts when one sends many times its usual load and
// engines fill up: they must be refused less than half as often as without accounts,
// at about the same total served.
func TestReplayAccountSurgeEngines(t *testing.T) {
	t.Parallel()
	for _, x := range []float64{1, 2} {
		for seed := range uint64(replaySeeds) {
			others, all := duringSurge(seed, x, func(account string) string { return account })
			withoutAccounts, allWithoutAccounts := duringSurge(seed, x, func(string) string { return "" })
			t.Logf("surge %.0f seed %d: others %+v, %+v without accounts", x, seed, others, withoutAccounts)
			assert.Assert(t, others.refused < withoutAccounts.refused/2, "seed %d: %.3f and %.3f", seed, others.refused, withoutAccounts.refused)
			assert.Assert(t, all.inTime > allWithoutAccounts.inTime-0.05, "seed %d: %+v and %+v", seed, all, allWithoutAccounts)
		}
	}
}

// Guards against repeated prefill after all routers restart under load while engines
// keep their caches: with cache reports, fewer than half as many shared tokens must be
// prefilled again.
func TestReplayRestartedRouters(t *testing.T) {
	t.Parallel()
	for seed := range uint64(replaySeeds) {
		prefilledAgain := func(reportsCaches bool) int {
			options := fewEngines(seed)
			options.Endpoints, options.RestartAt, options.ReportsCaches = 12, 6*time.Second, reportsCaches
			fleet, _ := balancetest.Replay(options, classes(seed, 1.5, 12*time.Second))
			return fleet.PrefilledAgain
		}
		withReports, withoutReports := prefilledAgain(true), prefilledAgain(false)
		t.Logf("seed %d: %d shared tokens prefilled again with cache reports, %d without", seed, withReports, withoutReports)
		assert.Assert(t, withReports < withoutReports/2, "seed %d: %d and %d", seed, withReports, withoutReports)
	}
}

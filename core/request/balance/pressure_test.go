package balance_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/request/balance/balancetest"
	"gentianhead/core/request/retrydelay"
)

// pressedCapacity is the capacity in requests per second of the servers of pressedFleet,
// on average over the times when they are slow.
const pressedCapacity = 5 * 6 / 0.06 * (0.85 + 0.15/2.5)

// pressedFleet has five plain servers that share their machines with other work: 15% of them
// are 2.5 times slower at any moment, each for about 600 ms. Groups follow the number of
// routers.
func pressedFleet(seed uint64, routers int) balancetest.Options {
	random := rand.New(rand.NewPCG(seed, 9))
	options := balancetest.Options{
		Routers: routers, BeaconInterval: 250 * time.Millisecond, Endpoints: 5, Seed: seed, LoadFactor: 2, IsPressured: true,
		Plain:      balancetest.Plain{Slots: 6, Queue: 24, StatesLoad: true, StatesSlowness: true},
		SlowFactor: func(endpoint string, at time.Duration) float64 { return slowAt(seed, endpoint, at) },
		RetryDelay: func(_ int, _, left time.Duration) time.Duration {
			return retrydelay.InTime(300*time.Millisecond, left, random.Float64())
		},
	}
	if routers >= 32 {
		options.Groups = int(math.Sqrt(float64(routers)))
	}
	return options
}

// withoutPressure returns the options of a fleet as it was before, in which routers read the
// load that servers state, but neither their slowness nor the settings ask for more.
func withoutPressure(options balancetest.Options) balancetest.Options {
	schedules := make([]retrydelay.Schedule, options.Routers)
	random := rand.New(rand.NewPCG(options.Seed, 9))
	options.IsPressured, options.Plain.StatesSlowness = false, false
	options.RetryDelay = func(router int, now, left time.Duration) time.Duration {
		return schedules[router].Delay(now, 0, pressedCapacity/float64(options.Routers), 500*time.Millisecond, left, random.Float64())
	}
	return options
}

// slowAt returns 2.5 in 15% of the spans of 600 ms of an endpoint, each with its own phase.
func slowAt(seed uint64, endpoint string, at time.Duration) float64 {
	const span = 600 * time.Millisecond
	hash := func(text string) uint64 {
		h := fnv.New64a()
		fmt.Fprint(h, seed, text)
		return rand.New(rand.NewPCG(h.Sum64(), 0)).Uint64()
	}
	phase := time.Duration(hash(endpoint) % uint64(span))
	if hash(fmt.Sprint(endpoint, (at+phase)/span))%100 < 15 {
		return 2.5
	}
	return 1
}

// pressedLoad is x times the capacity on average, with a wave of 55% and a period of 13 s.
// One of 24 accounts sends 6 times its usual load for 11 s.
func pressedLoad(seed uint64, x float64) []balancetest.Request {
	const length, period = 26 * time.Second, 13 * time.Second
	random := rand.New(rand.NewPCG(seed, 3))
	request := balancetest.Request{Work: 60 * time.Millisecond, Target: 300 * time.Millisecond, Deadline: 1500 * time.Millisecond, Rank: 2}
	rate := x * pressedCapacity
	var requests []balancetest.Request
	for _, r := range balancetest.PoissonRequests(random.Float64, 0, length, 1.55*rate, request) {
		wave := 1 + 0.55*math.Sin(2*math.Pi*float64(r.At)/float64(period))
		if random.Float64()*1.55 > wave {
			continue
		}
		r.Account = fmt.Sprint("account-", random.IntN(24))
		if random.IntN(100) == 0 {
			r.Work *= 5
		}
		requests = append(requests, r)
	}
	request.Account = "account-0"
	requests = append(requests, balancetest.PoissonRequests(random.Float64, 5*time.Second, 16*time.Second, rate*5/24, request)...)
	requests = inOrder(requests)
	for i := range requests {
		requests[i].Repeat = uint64(i + 1)
	}
	return requests
}

// pressedResult holds shares of the requests, and rejected as a share of those sent to servers.
type pressedResult struct{ inTime, late, refused, unanswered, rejected float64 }

func (s pressedResult) String() string {
	return fmt.Sprintf("in time %.3f, late %.3f, refused %.3f, unanswered %.3f, rejected %.4f of arrivals", s.inTime, s.late, s.refused, s.unanswered, s.rejected)
}

func pressed(options balancetest.Options, requests []balancetest.Request) pressedResult {
	fleet, results := balancetest.Replay(options, requests)
	s := sharesOf(results)
	late := 1 - s.inTime - s.refused - s.unanswered
	return pressedResult{s.inTime, late, s.refused, s.unanswered, float64(fleet.Rejected) / float64(fleet.Offered)}
}

// Guards against requests that reach servers whose queues are full, since each of many
// routers knows the others' requests some hundred milliseconds late, and against callers
// that are told to come back when their answer can only be late.
func TestReplayPressedPlain(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		routers int
		x       float64
	}{{7, 1}, {70, 0.7}, {70, 1}, {70, 1.3}, {295, 1}} {
		options := pressedFleet(1, c.routers)
		requests := pressedLoad(1, c.x)
		before, now := pressed(withoutPressure(options), requests), pressed(options, requests)
		t.Logf("%d routers, load %.1f: before: %v", c.routers, c.x, before)
		t.Logf("%d routers, load %.1f: now: %v", c.routers, c.x, now)
		assert.Check(t, now.rejected < 0.02 && now.inTime > before.inTime+0.05, "%d routers, load %.1f: %v", c.routers, c.x, now)
	}
}

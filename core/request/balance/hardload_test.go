package balance_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/request/balance"
	"gentianhead/core/request/balance/balancetest"
	"gentianhead/core/request/exchange"
)

// hardClass is a class of requests at engines under a load that changes.
type hardClass struct {
	name string
	// rate is in requests per second, output in tokens.
	rate                                 float64
	rank, documents, shared, own, output int
	target                               time.Duration
	// burst is the factor of the rate between two times.
	burst          float64
	burstAt, until time.Duration
}

// hardLoad is a deployment with its load, of which the first seconds fill the caches.
type hardLoad struct {
	options balancetest.Options
	classes []hardClass
	// gap is the target of the longest pause between events.
	gap time.Duration
	// phases and wave are the number of zones whose load follows a sine wave, each with its own
	// phase, and its amplitude.
	phases int
	wave   float64
	period time.Duration
	// hotAccount is the factor of one account's load while hot.
	hotAccount float64
	hotAt      time.Duration
	hotUntil   time.Duration
}

const (
	hardWarm     = 3 * time.Second
	hardLength   = 12 * time.Second
	hardAccounts = 24
)

// deploymentA is deployment A of the work plan, B the other.
func deploymentA(seed uint64) hardLoad {
	engine := &balancetest.Engine{
		Slots: 16, Queue: 48, Step: 2770 * time.Microsecond, StepPerSlot: 50 * time.Microsecond, PrefillPerMS: 85.2, Chunk: 2048,
		CacheTokens: 409_730, Memory: 409_730, TokensPerEvent: 12, CopySetup: 8 * time.Millisecond, CopyPerToken: 1700 * time.Nanosecond, LosesWork: true,
	}
	return hardLoad{
		options: balancetest.Options{Routers: 81, BeaconInterval: 250 * time.Millisecond, Groups: 9, Endpoints: 140, Engine: engine, LoadFactor: 2, IsPressured: true, Seed: seed, RetryDelay: thirdOfTimeLeft},
		classes: []hardClass{
			{"drafts", 127, 2, 220, 10512, 1300, 384, 1200 * time.Millisecond, 2.4, 4 * time.Second, 11 * time.Second},
			{"questions", 317, 0, 830, 699, 130, 288, 250 * time.Millisecond, 1.7, 6 * time.Second, 9 * time.Second},
			{"labels", 257, 1, 300, 2041, 360, 24, 400 * time.Millisecond, 1, 0, 0},
		},
		gap: 400 * time.Millisecond, phases: 3, wave: 0.27, period: 11 * time.Second, hotAccount: 7.5, hotAt: 4 * time.Second, hotUntil: 11 * time.Second,
	}
}

func deploymentB(seed uint64) hardLoad {
	engine := &balancetest.Engine{
		Slots: 16, Queue: 48, Step: 3230 * time.Microsecond, StepPerSlot: 50 * time.Microsecond, PrefillPerMS: 112, Chunk: 2048, FirstToken: 47 * time.Millisecond,
		CacheTokens: 418_635, Memory: 418_635, TokensPerEvent: 10, CopySetup: 8 * time.Millisecond, CopyPerToken: 1700 * time.Nanosecond, LosesWork: true, StatesSlowness: true,
	}
	l := hardLoad{
		options: balancetest.Options{Routers: 70, BeaconInterval: 250 * time.Millisecond, Groups: 8, Endpoints: 90, Engine: engine, LoadFactor: 2, Seed: seed, RetryDelay: thirdOfTimeLeft},
		classes: []hardClass{
			{"drafts", 180, 1, 310, 10512, 1300, 380, 600 * time.Millisecond, 1, 0, 0},
			{"questions", 99, 0, 260, 699, 130, 290, 300 * time.Millisecond, 1, 0, 0},
			{"labels", 318, 2, 370, 2041, 360, 20, 300 * time.Millisecond, 1, 0, 0},
		},
		gap: 250 * time.Millisecond, phases: 1, wave: 0.55, period: 13 * time.Second, hotAccount: 6, hotAt: 4 * time.Second, hotUntil: 11 * time.Second,
	}
	l.options.SlowFactor = slowPhases(seed, 0.15, 2.5, 600*time.Millisecond)
	l.options.IsDown = lostQuarter(l.options.Endpoints, 6*time.Second, 8*time.Second)
	return l
}

func thirdOfTimeLeft(_ int, _, left time.Duration) time.Duration { return left / 3 }

// slowPhases returns factors of engines that are slow for a length at a time, a share of them
// at any moment.
func slowPhases(seed uint64, share, factor float64, length time.Duration) func(string, time.Duration) float64 {
	return func(id string, at time.Duration) float64 {
		random := rand.New(rand.NewPCG(seed, uint64(id[len(id)-1])|uint64(id[len(id)-2])<<8|uint64(id[len(id)-3])<<16))
		offset := time.Duration(random.Float64() * float64(length))
		phase := rand.New(rand.NewPCG(random.Uint64(), uint64((at+offset)/length)))
		if phase.Float64() < share {
			return factor
		}
		return 1
	}
}

// lostQuarter returns a fault that takes a quarter of the engines down between two times.
func lostQuarter(engines int, from, until time.Duration) func(string, time.Duration) bool {
	first := fmt.Sprintf("endpoint-%03d", engines/4)
	return func(id string, at time.Duration) bool { return at > from && at < until && id < first }
}

// requests returns the requests at x times the load.
func (l hardLoad) requests(seed uint64, x float64) []balancetest.Request {
	random := rand.New(rand.NewPCG(seed, 5))
	hot := (l.hotAccount - 1) / hardAccounts
	var requests []balancetest.Request
	for _, c := range l.classes {
		peak := c.rate * x * (1 + l.wave) * max(1, c.burst) * (1 + hot)
		request := balancetest.Request{Class: c.name, Target: c.target, Rank: c.rank, Deadline: 4 * c.target}
		sizes := make([]int, c.documents)
		for i := range sizes {
			sizes[i] = int(float64(c.shared) * (0.3 + 1.4*random.Float64()))
		}
		for i, r := range balancetest.PoissonRequests(random.Float64, 0, hardLength, peak, request) {
			zone := 2 * math.Pi * (float64(r.At)/float64(l.period) + float64(random.IntN(l.phases))/float64(l.phases))
			level := 1 + l.wave*math.Sin(zone)
			if r.At > c.burstAt && r.At < c.until {
				level *= c.burst
			}
			isHotTime := r.At > l.hotAt && r.At < l.hotUntil
			if isHotTime {
				level *= 1 + hot
			}
			if random.Float64()*peak > c.rate*x*level {
				continue
			}
			r.Account = fmt.Sprint("account-", 1+random.IntN(hardAccounts))
			document := random.IntN(c.documents)
			if isHotTime && random.Float64() < hot/(1+hot) {
				r.Account = "account-1"
			}
			if isHotTime && random.Float64() < 0.2 {
				document = 0
			}
			r.Output = 1 + int(float64(c.output)*2*random.Float64())
			r.Prompt = &exchange.Prompt{MaxOutputTokens: 2 * c.output, Parts: []exchange.Part{
				{ID: c.name, Tokens: c.shared / 20},
				{ID: fmt.Sprint(c.name, "-document-", document), Tokens: sizes[document]},
				{ID: fmt.Sprint(c.name, "-own-", i), Tokens: int(float64(c.own) * 2 * random.Float64())},
			}}
			requests = append(requests, r)
		}
	}
	return inOrder(requests)
}

// hardOutcome is what callers got from a replay after the warm-up.
type hardOutcome struct {
	shares
	byClass map[string]shares
	// paused is the share of answered requests with a longer pause than the target.
	paused float64
	text   string
	// again is the number of shared tokens prefilled again, in millions.
	again float64
}

func (l hardLoad) replay(seed uint64, x float64) hardOutcome {
	fleet, all := balancetest.Replay(l.options, l.requests(seed, x))
	o := hardOutcome{byClass: make(map[string]shares)}
	all = slices.DeleteFunc(all, func(r balancetest.Result) bool { return r.At < hardWarm })
	o.shares = sharesOf(all)
	answered, paused, tokens := 0, 0, 0
	for _, r := range all {
		tokens += r.Prompt.Parts[0].Tokens + r.Prompt.Parts[1].Tokens
		if !r.IsRefused && !r.IsUnanswered {
			answered++
			if r.Pause > l.gap {
				paused++
			}
		}
	}
	o.paused = float64(paused) / float64(max(1, answered))
	o.again = float64(fleet.PrefilledAgain) / 1e6
	var text strings.Builder
	fmt.Fprintf(&text, "in time %.3f refused %.3f lost %.3f paused %.3f again %.2fM of %.0fM copied %.1fM preempted %d above %.3f |", o.inTime, o.refused, o.unanswered, o.paused,
		float64(fleet.PrefilledAgain)/1e6, float64(tokens)/1e6, float64(fleet.Copied)/1e6, fleet.Preempted, float64(fleet.AboveBound)/float64(len(all)))
	for _, c := range l.classes {
		results := slices.DeleteFunc(slices.Clone(all), func(r balancetest.Result) bool { return r.Class != c.name })
		o.byClass[c.name] = sharesOf(results)
		results = slices.DeleteFunc(results, func(r balancetest.Result) bool { return r.IsRefused || r.IsUnanswered })
		slices.SortFunc(results, func(a, b balancetest.Result) int { return cmp.Compare(a.Latency, b.Latency) })
		if len(results) > 0 {
			fmt.Fprintf(&text, " %s %.3f p50 %d p99 %d;", c.name, o.byClass[c.name].inTime, results[len(results)/2].Latency.Milliseconds(), results[len(results)*99/100].Latency.Milliseconds())
		}
	}
	o.text = text.String()
	return o
}

// Measures the placement and the baselines on the same requests, as
// docs/design/placement-by-time.md states them: HARD_LOAD=1.5 HARD_SEEDS=2 go test -v -run TestHardLoadTable.
func TestHardLoadTable(t *testing.T) {
	x, err := strconv.ParseFloat(os.Getenv("HARD_LOAD"), 64)
	if err != nil {
		t.Skip("a measurement, run if HARD_LOAD is set")
	}
	seeds, err := strconv.Atoi(os.Getenv("HARD_SEEDS"))
	assert.NilError(t, err)
	for seed := range uint64(seeds) {
		for name, l := range map[string]hardLoad{"A": deploymentA(seed), "B": deploymentB(seed), "slow": slowStays(seed)} {
			t.Logf("%s x%.1f seed %d by time: %s", name, x, seed, l.replay(seed, x).text)
			byTokens, engine := l, *l.options.Engine
			engine.StatesSlowness, byTokens.options.IsPressured, byTokens.options.Engine = false, false, &engine
			t.Logf("%s x%.1f seed %d by tokens: %s", name, x, seed, byTokens.replay(seed, x).text)
			if os.Getenv("HARD_BASELINES") == "" {
				continue
			}
			for _, baseline := range []balancetest.Baseline{balancetest.Random, balancetest.LeastReported, balancetest.SessionHash, balancetest.FirstCome} {
				b := l
				b.options.Baseline = baseline
				engine := *l.options.Engine
				b.options.Engine = &engine
				if baseline == balancetest.FirstCome {
					engine.Queue, engine.IgnoresRank = 1<<20, true
				}
				t.Logf("%s x%.1f seed %d %s: %s", name, x, seed, baseline, b.replay(seed, x).text)
			}
		}
	}
}

// Guards against engines that fill up while others are idle, as all routers send to those that
// look idle in views of the same age: deployment A at 1.5 times its load.
func TestReplayBurstsByTime(t *testing.T) {
	t.Parallel()
	l := deploymentA(1)
	l.options.IsPressured = false
	before := l.replay(1, 1.5)
	l.options.IsPressured = true
	now := l.replay(1, 1.5)
	t.Logf("by tokens: %s\nby time: %s", before.text, now.text)
	assert.Check(t, now.inTime > before.inTime+0.01, "%.3f and %.3f", before.inTime, now.inTime)
	assert.Check(t, now.again < before.again*1.1, "%.2f and %.2f million", before.again, now.again)
}

// slowStays returns deployment B with a sixth of the engines six times slower for five seconds.
func slowStays(seed uint64) hardLoad {
	l := deploymentB(seed)
	l.options.IsDown = nil
	l.options.SlowFactor = func(id string, at time.Duration) float64 {
		if at > 5*time.Second && at < 10*time.Second && id < "endpoint-015" {
			return 6
		}
		return 1
	}
	return l
}

// Guards against long prompts at engines that stay slow, where they miss their target and pause
// the streams, and against routers that avoid an engine for dips of 600 ms that are over once
// they know.
func TestReplaySlownessByTime(t *testing.T) {
	t.Parallel()
	for name, l := range map[string]hardLoad{"stays": slowStays(1), "dips": deploymentB(1)} {
		now := l.replay(1, 1)
		engine := *l.options.Engine
		engine.StatesSlowness = false
		l.options.Engine = &engine
		before := l.replay(1, 1)
		t.Logf("%s, not stated: %s\nstated: %s", name, before.text, now.text)
		if name == "stays" {
			assert.Check(t, now.inTime > before.inTime+0.005, "%.3f and %.3f", before.inTime, now.inTime)
			assert.Check(t, now.paused < 0.9*before.paused, "%.3f and %.3f", before.paused, now.paused)
		} else {
			assert.Check(t, now.inTime > before.inTime-0.01, "%.3f and %.3f", before.inTime, now.inTime)
		}
	}
}

// Guards against slowness that only the router knows that got the response: 1.5 s after engines
// become slow, 95 in 100 pairs of a router and a slow engine must be known, and 1.5 s after they
// recover, at most 10 in 100 may still count as slow.
func TestReplaySlownessKnownFleetWide(t *testing.T) {
	t.Parallel()
	for _, fleet := range []struct{ routers, groups int }{{7, 0}, {81, 9}, {295, 17}} {
		l := slowStays(1)
		l.options.Routers, l.options.Groups = fleet.routers, fleet.groups
		const slowEngines = 15
		known := func(routers []*balance.Core, now time.Duration) float64 {
			total := 0
			for _, router := range routers {
				total += router.SlowEndpoints(now)
			}
			return float64(total) / float64(len(routers)*slowEngines)
		}
		var during, after float64
		l.options.Observe = map[time.Duration]func([]*balance.Core, time.Duration){
			6500 * time.Millisecond:  func(routers []*balance.Core, now time.Duration) { during = known(routers, now) },
			11500 * time.Millisecond: func(routers []*balance.Core, now time.Duration) { after = known(routers, now) },
		}
		l.replay(1, 1)
		t.Logf("%d routers: known %.3f, still taken for slow %.3f", fleet.routers, during, after)
		assert.Check(t, during > 0.95 && after < 0.1, "%d routers: %.3f and %.3f", fleet.routers, during, after)
	}
}

// Guards against more prompts at an engine than fit into its memory, whose slots would allow
// them: they wait in its queue, and it preempts some, whose prompts are prefilled again.
func TestReplayMemoryByTime(t *testing.T) {
	t.Parallel()
	l := deploymentA(1)
	l.options.Routers, l.options.Groups, l.options.Endpoints = 62, 8, 9
	engine := l.options.Engine
	engine.Slots, engine.Queue, engine.Memory, engine.CacheTokens = 64, 192, 389_454, 389_454
	engine.Step, engine.PrefillPerMS = 3790*time.Microsecond, 56.6
	l.classes = []hardClass{
		{"drafts", 128, 2, 20, 6512, 1300, 380, time.Second, 1, 0, 0},
		{"questions", 40, 0, 40, 699, 130, 290, 500 * time.Millisecond, 1, 0, 0},
		{"labels", 32, 1, 40, 2041, 360, 21, 500 * time.Millisecond, 1, 0, 0},
	}
	now := l.replay(1, 1)
	l.options.IsPressured = false
	before := l.replay(1, 1)
	t.Logf("by tokens: %s\nby time: %s", before.text, now.text)
	assert.Check(t, now.inTime > before.inTime+0.03, "%.3f and %.3f", before.inTime, now.inTime)
}

package drain

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A series replays routers that stop one after the other under callers who hold addresses.
type series struct {
	routers int
	// stopEvery is the time from one stop to the next.
	stopEvery time.Duration
	// longest is the time that an answer may take, spread evenly from a tenth of it.
	longest time.Duration
	// decide reports whether a router takes a request.
	decide func(plan *Plan, now, expected time.Duration, isKnown bool) bool
}

const (
	testGrace = 8 * time.Second
	// addressUse is how long callers may hold an address, newsDelay how long the other routers
	// return one after its stop.
	addressUse, newsDelay = 3 * time.Second, time.Second
	// idleUse is how long some callers use connections that are open, against the addresses' expiry.
	idleUse     = 200 * time.Millisecond
	callerLimit = 15 * time.Second
	seriesLoad  = 8 // requests a second for each router
	// firstStop is when the series begins.
	firstStop = 10 * time.Second
)

// seriesResult counts requests.
type seriesResult struct {
	sent, refused, failed, cut int
}

type simulatedRouter struct {
	durations *Durations
	// plan is that of the stop in progress, startedAt the start of the process.
	plan      *Plan
	stoppedAt time.Duration
}

type ending struct {
	at      time.Duration
	router  *simulatedRouter
	process *Durations
	request *Request
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// play returns what callers of the series got.
func (s series) play(seed uint64) seriesResult {
	random := rand.New(rand.NewPCG(seed, 0))
	routers := make([]*simulatedRouter, s.routers)
	for number := range routers {
		routers[number] = &simulatedRouter{durations: NewDurations()}
	}
	var result seriesResult
	inFlight := &endings{}
	nextStop, stopped := firstStop, 0
	step := time.Second / time.Duration(seriesLoad*s.routers)
	for now := time.Duration(0); now < firstStop+time.Duration(s.routers)*s.stopEvery+testGrace; now += step {
		for now >= nextStop && stopped < s.routers {
			routers[stopped].stoppedAt = now
			routers[stopped].plan = &Plan{AddressesExpireAt: now + addressUse, AnswerBy: now + testGrace - 400*time.Millisecond, ExitAt: now + testGrace}
			stopped++
			nextStop += s.stopEvery
		}
		for number, r := range routers {
			if r.plan != nil && now >= r.plan.ExitAt {
				routers[number] = &simulatedRouter{durations: NewDurations()}
			}
		}
		for len(*inFlight) > 0 && (*inFlight)[0].at <= now {
			e := heap.Pop(inFlight).(ending)
			e.process.End(e.request, e.at, true)
		}
		// A caller's second attempt goes to another router.
		result.sent++
		var tried *simulatedRouter
		for attempt := 0; ; attempt++ {
			r := s.pick(routers, tried, now, random)
			if r == nil || attempt == 2 {
				result.failed++
				break
			}
			if s.take(r, now, random, inFlight, &result) {
				break
			}
			result.refused++
			tried = r
		}
	}
	return result
}

// pick returns a router whose address a caller may hold, other than tried; nil if there is none.
func (s series) pick(routers []*simulatedRouter, tried *simulatedRouter, now time.Duration, random *rand.Rand) *simulatedRouter {
	first := random.IntN(len(routers))
	for number := range routers {
		r := routers[(first+number)%len(routers)]
		heldSince := time.Duration(random.Int64N(int64(addressUse - newsDelay + idleUse)))
		if r != tried && (r.plan == nil || now <= r.stoppedAt+newsDelay+heldSince) {
			return r
		}
	}
	return nil
}

func (s series) take(r *simulatedRouter, now time.Duration, random *rand.Rand, inFlight *endings, result *seriesResult) bool {
	expected, isKnown := r.durations.Expected("chat", now)
	if r.plan != nil && !s.decide(r.plan, now, expected, isKnown) {
		return false
	}
	took := s.longest/10 + time.Duration(random.Int64N(int64(s.longest*9/10)))
	if r.plan != nil && now+took > r.plan.AnswerBy {
		result.cut++
	}
	heap.Push(inFlight, ending{at: now + took, router: r, process: r.durations, request: r.durations.Begin("chat", now)})
	return true
}

// Guards against answers that a stop cuts off, and against callers who find only routers that refuse,
// while the routers of a fleet are stopped one after the other.
func TestSeriesOfStopsCutsOffNoAnswer(t *testing.T) {
	always := func(*Plan, time.Duration, time.Duration, bool) bool { return true }
	byLimit := func(plan *Plan, now, _ time.Duration, _ bool) bool { return plan.Admits(now, callerLimit, 0, false) }
	measured := func(plan *Plan, now, expected time.Duration, isKnown bool) bool {
		return plan.Admits(now, callerLimit, expected, isKnown)
	}
	for _, c := range []series{
		{routers: 7, stopEvery: 3 * time.Second, longest: 5500 * time.Millisecond},
		{routers: 7, stopEvery: time.Second, longest: 5 * time.Second},
		{routers: 61, stopEvery: 300 * time.Millisecond, longest: 5 * time.Second},
		{routers: 295, stopEvery: 100 * time.Millisecond, longest: 5 * time.Second},
		{routers: 295, stopEvery: 10 * time.Millisecond, longest: 5 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d routers every %v, answers to %v", c.routers, c.stopEvery, c.longest), func(t *testing.T) {
			t.Parallel()
			results := make(map[string]seriesResult)
			for name, decide := range map[string]func(*Plan, time.Duration, time.Duration, bool) bool{"always": always, "by limit": byLimit, "measured": measured} {
				played := c
				played.decide = decide
				results[name] = played.play(1)
				t.Logf("%s: %+v", name, results[name])
			}
			assert.Assert(t, results["always"].cut > 0, "the load must show the failure")
			assert.Equal(t, results["measured"].cut, 0)
			assert.Assert(t, results["measured"].refused <= results["by limit"].refused)
			assert.Assert(t, results["measured"].failed <= results["by limit"].failed)
		})
	}
}

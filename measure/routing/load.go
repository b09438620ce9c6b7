package main

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"gentianhead/core/request/routing"
)

const (
	prefillPerToken = 100 * time.Microsecond
	// limitFactor is an account's limit as a multiple of its normal request rate.
	limitFactor = 3
)

// request is one request of a chat, generated before the run so that every policy
// gets the same load. A prefix of 0 means none.
type request struct {
	at                                     time.Duration
	account, router, model                 int
	chat, prefix                           uint64
	prefixTokens, historyTokens, newTokens int
	decodeTime                             time.Duration

	engine   *engine
	sent     time.Duration
	isEnded  bool
	excluded []string
	ticket   routing.Ticket
}

// deployment describes the fleet, the load and the faults of one table. accounts
// holds request shares; bound and reuse are reservation options; lag delays load
// reports and listLag engine lists. surgeAccount is -1 if none surges.
type deployment struct {
	name                                        string
	routers, engines, models                    int
	slots, cacheTokens                          int
	accounts                                    []float64
	requestsPerSecond                           float64
	sharedPrefixes, sharedPrefixShare           float64
	bound, reuse                                float64
	lag, listLag, length                        time.Duration
	surgeAccount                                int
	leaves, flaps, crash, partition, mixedViews bool
}

func itoa(i int) string { return strconv.Itoa(i) }

// level is the relative load at time t: a ramp of 20 s in a short run, otherwise a
// daily cycle, simulated by a sine wave of 15 minutes.
func (d deployment) level(t time.Duration) float64 {
	if d.length < 2*time.Minute {
		return min(1, t.Seconds()/20)
	}
	return 0.65 + 0.35*math.Sin(2*math.Pi*t.Minutes()/15)
}

// isSurge reports whether surgeAccount sends ten times its normal load at time t.
func (d deployment) isSurge(t time.Duration) bool { return t > d.length/3 && t < d.length*2/3 }

// requests generates the load by thinning Poisson arrivals. Each account has its own
// random source, so that a surge of one doesn't change the requests of the others.
func (d deployment) requests(seed uint64, withSurge bool) []*request {
	var all []*request
	for account, share := range d.accounts {
		rng := rand.New(rand.NewPCG(seed, uint64(account)+100))
		chats := []*request{}
		factor := 1.0
		if account == d.surgeAccount && withSurge {
			factor = 10
		}
		rate := d.requestsPerSecond * share
		for t := time.Duration(0); t < d.length; {
			t += time.Duration(rng.ExpFloat64() / (rate * factor) * float64(time.Second))
			keep := d.level(t)
			if !d.isSurge(t) {
				keep /= factor
			}
			if rng.Float64() > keep {
				continue
			}
			q := d.nextRequest(rng, account, &chats)
			q.at = t
			all = append(all, q)
		}
	}
	slices.SortStableFunc(all, func(a, b *request) int { return cmp.Compare(a.at, b.at) })
	return all
}

// nextRequest continues a chat, most often a recent one, or starts a new one.
func (d deployment) nextRequest(rng *rand.Rand, account int, chats *[]*request) *request {
	q := &request{
		account:    account,
		newTokens:  100 + int(rng.ExpFloat64()*400),
		decodeTime: time.Duration((0.5 + rng.ExpFloat64()*7.5) * float64(time.Second)),
	}
	if n := len(*chats); n > 0 && rng.Float64() < 0.75 {
		back := int(math.Pow(float64(n), rng.Float64()))
		earlier := (*chats)[n-back]
		q.chat, q.prefix, q.prefixTokens = earlier.chat, earlier.prefix, earlier.prefixTokens
		q.model, q.router, q.historyTokens = earlier.model, earlier.router, earlier.historyTokens+earlier.newTokens
		(*chats)[n-back] = q
	} else {
		q.chat = rng.Uint64() | 1
		q.model = int(float64(d.models) * rng.Float64() * rng.Float64())
		q.router = rng.IntN(d.routers)
		if rng.Float64() < d.sharedPrefixShare {
			prefixIndex := rng.IntN(int(d.sharedPrefixes))
			q.prefix = uint64(account+1)<<32 | uint64(prefixIndex+1)
			q.prefixTokens = 20_000 + prefixIndex*997%40_000
		}
		*chats = append(*chats, q)
	}
	if rng.Float64() < 0.1 {
		q.router = rng.IntN(d.routers)
	}
	return q
}

// faults schedules the engines that leave and rejoin.
func (s *sim) faults() {
	if s.d.leaves {
		for t := 5 * time.Minute; t < s.d.length; t += 10 * time.Minute {
			e := s.engines[s.rng.IntN(len(s.engines)-1)]
			s.at(t, func() { s.toggle(e) })
			s.at(t+4*time.Minute, func() { s.toggle(e) })
		}
	}
	if s.d.flaps {
		for i := range 8 {
			s.at(11*time.Minute+time.Duration(i)*15*time.Second, func() { s.toggle(s.engines[len(s.engines)-1]) })
		}
	}
}

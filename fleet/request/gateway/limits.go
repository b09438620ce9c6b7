package gateway

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/membership"
	"gentianhead/core/process/presence"
	"gentianhead/core/process/withdrawal"
	metadata "gentianhead/core/request/exchange"
	"gentianhead/core/request/outcome"
	"gentianhead/core/request/ratelimit"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/process/boottime"
)

// minRetryAtLimit is the shortest retry delay after a refusal for request rates: another
// request may have taken the last token just now.
const minRetryAtLimit = 50 * time.Millisecond

// rateGuard keeps the request rates that endpoints state. It is safe for concurrent use.
type rateGuard struct {
	instance string
	log      *slog.Logger
	// view returns the live routers.
	view func() *membership.View
	// unreadableLogs limits the log lines about rates without a meaning.
	unreadableLogs *rate.Limiter

	mu   sync.Mutex
	core *ratelimit.Core
	// known is the view that the core has.
	known *membership.View
}

func newRateGuard(instance string, view func() *membership.View, log *slog.Logger) *rateGuard {
	return &rateGuard{instance: instance, view: view, log: log, unreadableLogs: rate.NewLimiter(1, 1), core: ratelimit.New(rand.Float64)}
}

// processOf returns the key of the endpoint at host:port.
func processOf(address string) presence.Key {
	return presence.KeyOf(endpoints.Entry{Address: address}.Process())
}

// update passes on time and the live routers. It is called with mu held.
func (g *rateGuard) update() (now time.Duration) {
	now = boottime.Now()
	g.core.Tick(now)
	view := g.view()
	if view == g.known || view == nil {
		return now
	}
	g.known = view
	var others []ratelimit.Router
	for _, router := range view.Routers {
		if router.Instance != g.instance {
			others = append(others, ratelimit.Router{Instance: router.Instance, IsServing: !router.Leaving})
		}
	}
	g.core.SetRouters(now, g.instance, others)
	return now
}

// Take implements engine.Rates.
func (g *rateGuard) Take(address string) (at time.Duration, isAllowed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.update()
	return now, g.core.Take(now, processOf(address))
}

// Stated implements engine.Rates.
func (g *rateGuard) Stated(address string, takenAt time.Duration, values []string) {
	stated := metadata.ParseRates(values)
	perSecond, isReadable := ratelimit.RateOf(stated)
	if !isReadable {
		unreadableRates.Add(1)
		if g.unreadableLogs.Allow() {
			g.log.Warn("An endpoint stated a request rate without a meaning.", "address", address, "stated", values)
		}
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.update()
	isChanged := g.core.Stated(now, takenAt, processOf(address), perSecond)
	limited, owned := g.core.Limited(now)
	limitedEndpoints.Set(int64(limited))
	ownedLimits.Set(int64(owned))
	if !isChanged {
		return
	}
	attributes := []any{"address", address, "isLimited", perSecond != ratelimit.Unlimited}
	if part, isLimited := g.core.PartOf(now, processOf(address)); isLimited {
		attributes = append(attributes, "perSecond", perSecond, "part", part.PerSecond)
	}
	g.log.Info("The request rate of an endpoint changed.", attributes...)
}

// Rates implements control.StatedRates.
func (g *rateGuard) Rates() []presence.StatedRate {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.All(g.update())
}

// AdoptRates implements control.StatedRates.
func (g *rateGuard) AdoptRates(rates []presence.StatedRate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Report(g.update(), rates)
}

// choice is what the stated rates leave of the endpoints of a request.
type choice struct {
	// excluded are the names of endpoints at their rates.
	excluded []string
	// problem is set if none is left.
	problem *outcome.Problem
}

// choose excludes endpoints at their rates.
func (g *rateGuard) choose(config *resource.Snapshot, names []string) choice {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.update()
	if limited, _ := g.core.Limited(now); limited == 0 {
		return choice{}
	}
	var c choice
	wait := retryAfterNoEndpoint
	for _, name := range names {
		object, known := config.Get(resource.KindEndpoint, name)
		if !known {
			continue
		}
		process := processOf(withdrawal.AddressOf(object.Endpoint.URL))
		if g.core.Allows(now, process) {
			continue
		}
		c.excluded = append(c.excluded, name)
		if part, _ := g.core.PartOf(now, process); part.PerSecond > 0 {
			wait = min(wait, part.Wait)
		}
	}
	if len(c.excluded) == len(names) && len(names) > 0 {
		c.problem = atLimitProblem(wait)
	}
	return c
}

func atLimitProblem(wait time.Duration) *outcome.Problem {
	return notRun(http.StatusServiceUnavailable, outcome.CodeEndpointLimit, "all endpoints are at the request rates that they state").retryAfter(max(wait, minRetryAtLimit))
}

package relay

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/presence"
	"gentianhead/core/request/balance"
	"gentianhead/core/request/breaker"
	"gentianhead/core/request/exchange"
	"gentianhead/core/request/notice"
	"gentianhead/core/request/quarantine"
	"gentianhead/core/request/ratelimit"
	"gentianhead/core/request/retry"
	"gentianhead/core/request/retrydelay"
	"gentianhead/core/version/routetable"
	"gentianhead/fleet/process/boottime"
)

// Balancer guards the placement core for concurrent use. Its methods take
// microseconds and never wait for another router.
type Balancer struct {
	mu         sync.Mutex
	core       *balance.Core
	quarantine *quarantine.Core
	limits     retry.FleetLimits
	budgets    map[string]*retry.FleetBudget
	delays     map[string]*retrydelay.Schedule
	routers    int
	log        *slog.Logger
	// news is ready when other routers should be told of crashes at once.
	news chan struct{}
	// shortages are the services that refused requests for lack of capacity just now.
	shortages map[string]*shortage
	// unreadableLogs limits the log lines about rates without a meaning.
	unreadableLogs *rate.Limiter
	// isEmptying is set while requests of this router are in progress in evacuated zones.
	isEmptying bool
}

// NewBalancer returns a balancer. It keeps each engine below loadFactor times the
// mean load and assumes that a prompt part stays cached for prefixTTL.
func NewBalancer(loadFactor float64, prefixTTL time.Duration, limits retry.FleetLimits, log *slog.Logger) *Balancer {
	b := &Balancer{
		core:       balance.New(loadFactor, prefixTTL, rand.Float64),
		quarantine: quarantine.New(),
		limits:     limits,
		budgets:    make(map[string]*retry.FleetBudget),
		delays:     make(map[string]*retrydelay.Schedule),
		shortages:  make(map[string]*shortage),
		routers:    1,
		log:        log,
		news:       make(chan struct{}, 1),

		unreadableLogs: rate.NewLimiter(1, 1),
	}
	b.core.SetView(endpoints.New().View())
	return b
}

// SetLimits replaces the limits passed to NewBalancer, except for the window of
// the retry budget.
func (b *Balancer) SetLimits(loadFactor float64, limits retry.FleetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.SetLoadFactor(loadFactor)
	limits.Window = b.limits.Window
	b.limits = limits
	for _, budget := range b.budgets {
		budget.SetLimits(limits)
	}
}

// SetColdBounds sets the bound on requests to a cold endpoint in any one second: overage times
// the rate of its service, plus tolerance.
func (b *Balancer) SetColdBounds(overage, tolerance float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.SetColdBounds(overage, tolerance)
}

// SetRegions replaces the regions of zones.
func (b *Balancer) SetRegions(regions map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.SetRegions(regions)
}

// SetOptions sets which optional behaviors apply to all services.
func (b *Balancer) SetOptions(options balance.Options) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.SetOptions(options)
}

// SetView replaces the endpoints that accept new requests.
func (b *Balancer) SetView(view *endpoints.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.SetView(view)
	b.core.Tick(boottime.Now())
}

// SetTable replaces the active route table.
func (b *Balancer) SetTable(table *routetable.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.SetTable(table)
}

// SetEvacuated replaces the evacuated zones, sorted.
func (b *Balancer) SetEvacuated(zones []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.SetEvacuated(zones)
}

// SetFleet sets this router's instance and the other live routers.
func (b *Balancer) SetFleet(instance string, others []ratelimit.Router) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routers = len(others) + 1
	b.core.SetRouters(boottime.Now(), instance, others)
	instances := lo.Map(others, func(r ratelimit.Router, _ int) string { return r.Instance })
	b.quarantine.SetRouters(instance, append([]string{instance}, instances...))
}

// Tick updates what depends on the time.
func (b *Balancer) Tick() {
	b.mu.Lock()
	now := boottime.Now()
	b.core.TickLimits(now)
	limited, owned := b.core.LimitedEndpoints(now)
	limitedEndpoints.Set(int64(limited))
	ownedLimits.Set(int64(owned))
	evacuated, evacuatedWork := b.core.EvacuatedWork()
	evacuatedEndpoints.Set(int64(evacuated))
	evacuatedRunning.Set(int64(evacuatedWork))
	wasEmptying := b.isEmptying
	b.isEmptying = evacuatedWork > 0
	cold, ownedCold := b.core.ColdEndpoints()
	coldEndpoints.Set(int64(cold))
	ownedColdLimits.Set(int64(ownedCold))
	coldChanges := b.core.TakeColdChanges()
	slowEndpoints.Set(int64(b.core.SlowEndpoints(now)))
	b.quarantine.Step(now, b.core.HasEntry)
	quarantined.Set(int64(b.quarantine.Size()))
	changes := b.quarantine.TakeChanges()
	isUrgent := b.quarantine.TakeUrgent()
	ended := b.takeEndedShortages(now)
	b.mu.Unlock()
	if wasEmptying && evacuatedWork == 0 {
		b.log.Info("No request of this router is in progress in an evacuated zone any more.", "endpoints", evacuated)
	}
	b.logColdChanges(now, coldChanges)
	b.logEndedShortages(ended)
	b.logQuarantine(changes)
	b.signalNews(isUrgent)
}

// Report records the load and the evidence of crashes that another router, or a group of
// them, reported.
func (b *Balancer) Report(source string, report balance.WorkReport) {
	b.mu.Lock()
	now := boottime.Now()
	b.core.Report(now, source, report)
	b.quarantine.Report(now, source, report.Evidence)
	changes := b.core.TakeRateChanges()
	pressured := b.core.TakePressured()
	isUrgent := b.quarantine.TakeUrgent()
	b.mu.Unlock()
	b.logPressured(pressured)
	b.logRateChanges(changes, "")
	b.signalNews(isUrgent)
}

// ForgetSource drops the report of one router or group.
func (b *Balancer) ForgetSource(source string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.ForgetSource(source)
	b.quarantine.ForgetSource(source)
}

// Forget drops all reports.
func (b *Balancer) Forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Forget()
	b.quarantine.Forget()
}

// RecordCachedParts records the prompt parts that an engine reports as cached and
// returns those that should be sent to other routers.
func (b *Balancer) RecordCachedParts(id string, parts []exchange.Part) []presence.Placed {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.RecordCachedParts(boottime.Now(), id, parts)
}

// Cached returns the shared prompt parts that engines are assumed to have cached.
func (b *Balancer) Cached() []presence.Placed {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Cached(boottime.Now())
}

// Work returns what to report to other routers, with the placements made after since.
func (b *Balancer) Work(since time.Duration) balance.WorkReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := boottime.Now()
	report := b.core.Work(now, since)
	report.Evidence = b.quarantine.Evidence(now)
	return report
}

// StatedRates returns the request rates that endpoints state, for a router that has started.
func (b *Balancer) StatedRates() []presence.StatedRate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.StatedRates(boottime.Now())
}

func (b *Balancer) place(request balance.PlacementRequest) (balance.Placement, balance.Refusal) {
	b.mu.Lock()
	now := boottime.Now()
	placement, refusal := b.core.Place(now, request)
	suspects := b.core.TakeSuspicionChanges()
	isNew := b.recordShed(now, request.Service, placement.Shed)
	b.mu.Unlock()
	if isNew {
		b.logShortage(request.Service, placement.Shed)
	}
	b.logSuspects(suspects)
	if placement.IsCold() {
		coldPlaced.Add(1)
	}
	return placement, refusal
}

func (b *Balancer) logSuspects(suspects []balance.SuspicionChange) {
	for _, s := range suspects {
		b.log.Info("Suspicion of an endpoint changed.", "endpoint", s.Endpoint, "isSuspect", s.IsSuspect,
			"failed", s.Failed, "succeeded", s.Succeeded, "witnesses", s.Reporters)
	}
}

func (b *Balancer) recordFirstEvent(p *balance.Placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.RecordFirstEvent(boottime.Now(), p)
}

// recordLoad records the load that an endpoint's response stated.
func (b *Balancer) recordLoad(id string, info exchange.ResponseInfo) {
	if info.UnreadableLoad != "" {
		unreadableLoads.Add(1)
		if b.unreadableLogs.Allow() {
			b.log.Warn("A part of an endpoint's load has no meaning.", "endpoint", id, "stated", info.UnreadableLoad, "attempt", info.AttemptID)
		}
	}
	if info.Load == nil {
		return
	}
	b.mu.Lock()
	b.core.RecordLoad(boottime.Now(), id, *info.Load)
	pressured := b.core.TakePressured()
	b.mu.Unlock()
	b.logPressured(pressured)
}

// logPressured logs services whose endpoints have begun to state their slowness.
func (b *Balancer) logPressured(services []string) {
	for _, service := range services {
		b.log.Info("Endpoints state their slowness; requests are placed by expected time.", "service", service)
	}
}

// recordNotice records what an endpoint said of itself in a response.
func (b *Balancer) recordNotice(p *balance.Placement, info exchange.ResponseInfo) {
	n := notice.Notice{IsLeaving: info.IsLeaving, Distance: notice.DistanceOf(info.StayAwaySeconds)}
	b.mu.Lock()
	isChanged := b.core.RecordNotice(boottime.Now(), p, n)
	b.mu.Unlock()
	if isChanged {
		noticesReceived.Add(1)
		b.log.Info("An endpoint asked for no requests.", "endpoint", p.Endpoint.ID, "service", p.Endpoint.Service,
			"isLeaving", n.IsLeaving, "distance", n.Distance, "stated", info.StayAwaySeconds, "attempt", info.AttemptID)
	}
}

// recordRate records the request rate that an endpoint's response stated.
func (b *Balancer) recordRate(p *balance.Placement, info exchange.ResponseInfo) {
	perSecond, isReadable := ratelimit.RateOf(info.StatedRates)
	if !isReadable {
		unreadableRates.Add(1)
		if b.unreadableLogs.Allow() {
			b.log.Warn("An endpoint stated a request rate without a meaning.", "endpoint", p.Endpoint.ID, "service", p.Endpoint.Service,
				"stated", fmt.Sprint(info.StatedRates), "attempt", info.AttemptID)
		}
		return
	}
	b.mu.Lock()
	b.core.RecordRate(boottime.Now(), p, perSecond)
	changes := b.core.TakeRateChanges()
	b.mu.Unlock()
	b.logRateChanges(changes, info.AttemptID)
}

// logRateChanges logs changed request rates; attempt is the request with whose response they
// came, if it was this router's.
func (b *Balancer) logRateChanges(changes []balance.RateChange, attempt string) {
	for _, change := range changes {
		isLimited := change.PerSecond != ratelimit.Unlimited
		attributes := []any{"endpoint", change.Endpoint.ID, "service", change.Endpoint.Service, "isLimited", isLimited, "isReported", change.IsReported}
		if isLimited {
			attributes = append(attributes, "perSecond", change.PerSecond, "part", change.Part)
		}
		if attempt != "" {
			attributes = append(attributes, "attempt", attempt)
		}
		b.log.Info("The request rate of an endpoint changed.", attributes...)
	}
}

// recordCold records for how long an endpoint is still cold, as its response stated it.
func (b *Balancer) recordCold(p *balance.Placement, info exchange.ResponseInfo) {
	if !info.IsColdStated {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.RecordCold(boottime.Now(), p, info.Cold)
}

func (b *Balancer) logColdChanges(now time.Duration, changes []balance.ColdChange) {
	for _, change := range changes {
		attributes := []any{"endpoint", change.Endpoint.ID, "service", change.Endpoint.Service, "isCold", change.Until != 0}
		level := slog.LevelInfo
		if change.Until != 0 {
			attributes = append(attributes, "remaining", change.Until-now, "stated", change.Stated, "age", change.Age,
				"isFromResponse", change.IsFromResponse, "perSecond", change.Limit.PerSecond, "owners", change.Limit.Owners, "part", change.Part)
		}
		if change.Stated > endpoints.MaxCold {
			level = slog.LevelWarn
		}
		b.log.Log(context.Background(), level, "Whether an endpoint is cold changed.", attributes...)
	}
}

// recordRejection records that the endpoint of a placement was full.
func (b *Balancer) recordRejection(p *balance.Placement, load *exchange.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.RecordRejection(boottime.Now(), p, load)
}

// isWithheld reports whether mayReceive has refused the request of a placement.
func (b *Balancer) isWithheld(p *balance.Placement) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.IsWithheld(p)
}

// mayReceive reports whether the endpoint of a placement may still be sent its request, which
// may be sent to some regions only.
func (b *Balancer) mayReceive(p *balance.Placement, homes routetable.Homes) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.core.IsEvacuated(p) {
		evacuatedWithheld.Add(1)
	}
	if !b.core.IsInRegions(p.Endpoint, homes) {
		b.core.Withhold(p)
		homesWithheld.Add(1)
		return false
	}
	mayReceive := b.core.MayReceive(boottime.Now(), p)
	if !mayReceive && p.IsCold() {
		coldWithheld.Add(1)
	}
	return mayReceive
}

func (b *Balancer) recordResult(p *balance.Placement, result breaker.Outcome) {
	b.mu.Lock()
	isChanged := b.core.Done(boottime.Now(), p, result)
	b.mu.Unlock()
	b.logTrustChange(p, isChanged, result)
}

func (b *Balancer) reportOverdue(p *balance.Placement) {
	b.mu.Lock()
	isChanged := b.core.Overdue(boottime.Now(), p)
	b.mu.Unlock()
	b.logTrustChange(p, isChanged, breaker.Failed)
}

func (b *Balancer) logTrustChange(p *balance.Placement, isChanged bool, result breaker.Outcome) {
	if isChanged {
		b.log.Info("Trust in an endpoint changed.", "endpoint", p.Endpoint.ID, "service", p.Endpoint.Service,
			"isTrusted", result == breaker.Succeeded, "isUnreachable", result == breaker.Unreachable)
	}
}

// recordFirstSend records the first send of a request in the service's retry budget.
func (b *Balancer) recordFirstSend(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).RecordFirst(boottime.Now())
}

// allowRetry reports whether the retry budget allows a retry, and charges it.
func (b *Balancer) allowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).AllowRetry(boottime.Now(), b.routers)
}

func (b *Balancer) budget(service string) *retry.FleetBudget {
	budget, known := b.budgets[service]
	if !known {
		budget = retry.NewFleetBudget(b.limits)
		b.budgets[service] = budget
	}
	return budget
}

// retryDelay returns the delay after which the caller of a refused request should
// retry. service is empty if the request matched none. fallback applies when the
// service's capacity is unknown; target is the target latency, zero if there is none, and left
// the time until the caller's deadline.
func (b *Balancer) retryDelay(service string, fallback, target, left time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	delays, known := b.delays[service]
	if !known {
		delays = &retrydelay.Schedule{}
		b.delays[service] = delays
	}
	now := boottime.Now()
	capacity := b.core.Capacity(service) / float64(max(1, b.routers))
	opensIn, isAway := b.core.AwayFor(now, service)
	if wait, isLimited := b.core.LimitedFor(now, service); isLimited && !isAway {
		opensIn = wait
	}
	if opensIn == 0 && target > 0 && b.core.IsPressured(service) {
		return retrydelay.InTime(target, left, rand.Float64())
	}
	return delays.Delay(now, opensIn, capacity, fallback, left, rand.Float64())
}

package relay

import (
	"context"
	"fmt"
	"time"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/presence"
	"gentianhead/core/request/balance"
	"gentianhead/core/request/breaker"
	"gentianhead/core/request/quarantine"
	"gentianhead/fleet/connection/transport"
	"gentianhead/fleet/process/boottime"
)

const (
	// probeTimeout is the time limit for the connection to an endpoint that broke another.
	probeTimeout = time.Second
	// suspicionCheckInterval is how often a request that waits for news is checked. Most probes
	// are answered within a millisecond.
	suspicionCheckInterval = 5 * time.Millisecond
	// runResultWait is how long a request waits for the end of a repeat that is being run: the
	// delay of the run, and the time of most plain requests.
	runResultWait = 250 * time.Millisecond
)

// quarantineParts returns the parts of a request that may crash an endpoint: those of its
// prompt, and the whole request.
func (c *call) quarantineParts() []quarantine.Part {
	return append(quarantine.PartsOf(c.metadata.Prompt), c.wholePart())
}

// wholePart returns the part that stands for the whole request.
func (c *call) wholePart() quarantine.Part {
	caller := "account " + c.accountName()
	if c.account == nil {
		caller = "secret " + c.metadata.Credential
	}
	return quarantine.WholePart(quarantine.Request{
		Caller: caller, Service: c.service, Host: c.r.Host, Method: c.r.Method, Target: c.target, Body: c.body, Prompt: c.metadata.Prompt,
	})
}

// admit returns a failure if the request may not be sent to an endpoint. It waits if the
// request may have crashed one before.
func (r *Relay) admit(ctx context.Context, c *call) *failure {
	if c.isRun {
		// The fleet runs no other, until this one has crashed too many endpoints.
		return r.admitRun(c)
	}
	admission := r.admitAfterRun(ctx, c)
	c.isTest, c.isRun = c.isTest || admission.IsTest, admission.IsRun
	switch {
	case admission.Refusal != nil:
		return newFailure(kindQuarantined, admission.Refusal.Detail()).withRetryAfter(admission.Refusal.Wait)
	case !admission.IsRun:
		return nil
	}
	r.waitForNews(ctx, c)
	return r.admitRun(c)
}

// admitAfterRun returns the decision on the request. If a repeat of it is being run, it waits a
// while for the end of that: a sound one is then free.
func (r *Relay) admitAfterRun(ctx context.Context, c *call) (admission quarantine.Admission) {
	pollSuspicion(ctx, runResultWait, func() bool {
		admission = r.options.Balancer.admit(c.parts)
		return admission.Refusal == nil || !admission.Refusal.IsRunning
	})
	return admission
}

// waitForNews waits until other routers know of the request's run, or until a connection that
// broke turns out to be no crash.
func (r *Relay) waitForNews(ctx context.Context, c *call) {
	pollSuspicion(ctx, quarantine.RunDelay, func() bool { return !r.options.Balancer.isSuspect(c.parts) })
}

// pollSuspicion calls isDone until it returns true, the limit has passed or ctx has ended.
func pollSuspicion(ctx context.Context, limit time.Duration, isDone func() bool) {
	if isDone() {
		return
	}
	end := time.NewTimer(limit)
	defer end.Stop()
	check := time.NewTicker(suspicionCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-end.C:
			return
		case <-ctx.Done():
			return
		case <-check.C:
			if isDone() {
				return
			}
		}
	}
}

// admitRun returns a failure if the request, of which the fleet runs no other, may not be sent.
func (r *Relay) admitRun(c *call) *failure {
	if r.options.Balancer.mayRun(c.parts) {
		return nil
	}
	return newFailure(kindQuarantined, "endpoints crashed while they answered this request, or another router runs it").withRetryAfter(quarantine.RunWait)
}

// isQuarantined reports whether the request may no longer be sent since a part of it has
// been put in quarantine.
func (r *Relay) isQuarantined(c *call) bool {
	return !c.isTest && r.options.Balancer.isQuarantined(c.parts)
}

// recordSurvival records whether an attempt's endpoint survived it.
func (r *Relay) recordSurvival(c *call, placement *balance.Placement, result result) {
	switch {
	case result.failure == nil && result.breakerOutcome == breaker.Succeeded:
		r.recordServed(c)
	case result.isBroken && !c.progress.isServed && r.options.Balancer.recordBroken(placement, c.parts):
		go r.probe(placement.Endpoint)
	case result.isSilent:
		r.options.Balancer.recordSilent(placement, c.parts)
	}
}

// recordServed records, once for each attempt, that the endpoint survived the request.
func (r *Relay) recordServed(c *call) {
	if !c.progress.isServed {
		c.progress.isServed = true
		r.options.Balancer.recordServed(c.parts)
	}
}

// probe finds out whether an endpoint accepts connections after one broke.
func (r *Relay) probe(endpoint endpoints.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	switch result := transport.Probe(ctx, endpoint.Address); result {
	case transport.Refused, transport.Accepted:
		r.options.Balancer.recordProbe(endpoint, result == transport.Refused)
	case transport.NoAnswer:
		// A broken link. If the endpoint crashed, its entry expires.
	}
}

// Quarantined returns the verdicts that refuse requests.
func (b *Balancer) Quarantined() []presence.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quarantine.Quarantined(boottime.Now())
}

// AdoptQuarantined takes over stored verdicts that are newer than the known ones.
func (b *Balancer) AdoptQuarantined(verdicts []presence.Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quarantine.Adopt(boottime.Now(), verdicts)
}

func (b *Balancer) admit(parts []quarantine.Part) quarantine.Admission {
	b.mu.Lock()
	admission := b.quarantine.Admit(boottime.Now(), parts)
	isUrgent := b.quarantine.TakeUrgent()
	b.mu.Unlock()
	b.signalNews(isUrgent)
	return admission
}

// untested records that a request that was to test a quarantine was not sent.
func (b *Balancer) untested(parts []quarantine.Part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quarantine.Untested(boottime.Now(), parts)
}

func (b *Balancer) isQuarantined(parts []quarantine.Part) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quarantine.IsRefused(parts)
}

func (b *Balancer) mayRepeat(parts []quarantine.Part) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quarantine.MayRepeat(boottime.Now(), parts)
}

// mayRun reports whether a request of which the fleet runs no other may be sent now.
func (b *Balancer) mayRun(parts []quarantine.Part) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quarantine.MayRun(boottime.Now(), parts)
}

func (b *Balancer) isSuspect(parts []quarantine.Part) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quarantine.IsSuspect(boottime.Now(), parts)
}

func (b *Balancer) endRun(parts []quarantine.Part) {
	b.mu.Lock()
	b.quarantine.EndRun(parts)
	isUrgent := b.quarantine.TakeUrgent()
	b.mu.Unlock()
	b.signalNews(isUrgent)
}

// recordSilent records that the endpoint of a placement gave no answer in time.
func (b *Balancer) recordSilent(p *balance.Placement, parts []quarantine.Part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.core.IsInService(p.Endpoint) {
		b.quarantine.Silent(boottime.Now(), p.Endpoint, parts)
	}
}

// News returns the channel that has a value when there is news of crashes that other routers
// should be sent at once.
func (b *Balancer) News() <-chan struct{} { return b.news }

// signalNews makes News ready.
func (b *Balancer) signalNews(isUrgent bool) {
	if !isUrgent {
		return
	}
	select {
	case b.news <- struct{}{}:
	default:
		// It is ready already.
	}
}

// recordBroken records a broken connection and reports whether its endpoint should be probed.
func (b *Balancer) recordBroken(p *balance.Placement, parts []quarantine.Part) (shouldProbe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.IsInService(p.Endpoint) && b.quarantine.Broken(boottime.Now(), p.Endpoint, parts)
}

func (b *Balancer) recordProbe(endpoint endpoints.Entry, isRefused bool) {
	b.mu.Lock()
	b.quarantine.Probed(boottime.Now(), endpoint, isRefused)
	isUrgent := b.quarantine.TakeUrgent()
	b.mu.Unlock()
	b.signalNews(isUrgent)
	if isRefused {
		// Links break far more often than endpoints.
		b.log.Info("An endpoint has ended with requests in progress.", "endpoint", endpoint.ID, "service", endpoint.Service)
	}
}

func (b *Balancer) recordServed(parts []quarantine.Part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quarantine.Served(boottime.Now(), parts)
}

func (b *Balancer) logQuarantine(changes []quarantine.Change) {
	for _, c := range changes {
		b.log.Info("Quarantine of a prompt part changed.", "partId", c.ID, "key", fmt.Sprintf("%016x", uint64(c.Part)), "isWhole", c.Part.IsWhole(), "isQuarantined", c.IsQuarantined,
			"crashes", c.Crashes, "served", c.Served, "period", c.Period, "reason", c.Reason)
	}
}

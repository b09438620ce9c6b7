package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/entry"
	"gentianhead/core/process/presence"
	metadata "gentianhead/core/request/exchange"
	"gentianhead/core/request/outcome"
	"gentianhead/core/request/placement"
	"gentianhead/core/request/quarantine"
	"gentianhead/fleet/connection/transport"
	"gentianhead/fleet/process/boottime"
)

const (
	// probeTimeout is the time limit for the connection to an endpoint that broke another.
	probeTimeout = time.Second
	// quarantineStep is the least time between two updates of the quarantines.
	quarantineStep = 100 * time.Millisecond
	// maxMessageParts is how many messages of a chat are considered, the latest ones.
	maxMessageParts = 32
)

// crashGuard refuses requests that crash endpoints. Each router decides by the crashes that
// it saw and that others tell of. It is safe for concurrent use.
type crashGuard struct {
	log *slog.Logger

	mu        sync.Mutex
	core      *quarantine.Core
	steppedAt time.Duration
}

func newCrashGuard(instance string, log *slog.Logger) *crashGuard {
	core := quarantine.New()
	core.SetRouters(instance, []string{instance})
	return &crashGuard{core: core, log: log}
}

// messageParts returns the messages of a chat as the parts that may crash an engine. Unlike
// a prompt's, the last one counts: a repeated request has it again.
func messageParts(account string, messages []json.RawMessage) []quarantine.Part {
	first := max(0, len(messages)-maxMessageParts)
	parts := make([]quarantine.Part, 0, len(messages)-first)
	for i, message := range messages[first:] {
		key := entry.Mix(xxhash.Sum64String(account), xxhash.Sum64(message))
		parts = append(parts, quarantine.Part{Key: presence.PromptPartKey(key), ID: fmt.Sprintf("message %016x", key), Position: i})
	}
	return parts
}

// wholePart returns the part that stands for a whole request of an account.
func wholePart(account string, info placement.PickInfo, call endpointCall, body []byte) quarantine.Part {
	request := quarantine.Request{Caller: account, Service: info.Service, Method: call.method, Target: call.path, Body: body}
	if info.Model != "" {
		request.Prompt = &metadata.Prompt{Model: info.Model}
	}
	return quarantine.WholePart(request)
}

// admit returns a problem if a request with these parts may not be sent.
func (g *crashGuard) admit(parts []quarantine.Part) (problem *outcome.Problem, admission quarantine.Admission) {
	now := boottime.Now()
	g.mu.Lock()
	if now-g.steppedAt >= quarantineStep {
		g.steppedAt = now
		// The list of endpoints doesn't show whether one has ended.
		g.core.Step(now, func(endpoints.Entry) bool { return true })
	}
	admission = g.core.Admit(now, parts)
	changes := g.core.TakeChanges()
	g.mu.Unlock()
	g.logChanges(changes)
	if refusal := admission.Refusal; refusal != nil {
		problem = notRun(http.StatusServiceUnavailable, outcome.CodeQuarantined, refusal.Detail()).retryAfter(refusal.Wait)
	}
	return problem, admission
}

func (g *crashGuard) endRun(parts []quarantine.Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.EndRun(parts)
}

// Stated implements control.Crashes.
func (g *crashGuard) Stated() presence.CrashEvidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Evidence(boottime.Now())
}

// Adopt implements control.Crashes.
func (g *crashGuard) Adopt(instance string, evidence presence.CrashEvidence) {
	g.mu.Lock()
	g.core.Report(boottime.Now(), instance, evidence)
	changes := g.core.TakeChanges()
	g.mu.Unlock()
	g.logChanges(changes)
}

func (g *crashGuard) untested(parts []quarantine.Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Untested(boottime.Now(), parts)
}

func (g *crashGuard) served(parts []quarantine.Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Served(boottime.Now(), parts)
}

// broken records that an endpoint broke a request's connection, and finds out in the
// background whether it has ended.
func (g *crashGuard) broken(name, rawURL string, parts []quarantine.Part) {
	address, err := addressOf(rawURL)
	if err != nil {
		g.log.Warn("The URL of an endpoint can't be read.", "endpoint", name, "error", err)
		return
	}
	endpoint := endpoints.Entry{ID: name, Address: address}
	g.mu.Lock()
	shouldProbe := g.core.Broken(boottime.Now(), endpoint, parts)
	g.mu.Unlock()
	if shouldProbe {
		go g.probe(endpoint)
	}
}

func (g *crashGuard) probe(endpoint endpoints.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	result := transport.Probe(ctx, endpoint.Address)
	if result == transport.NoAnswer {
		return
	}
	isGone := result == transport.Refused
	if isGone {
		g.log.Info("An endpoint has ended with requests in progress.", "endpoint", endpoint.ID)
	}
	g.mu.Lock()
	g.core.Probed(boottime.Now(), endpoint, isGone)
	changes := g.core.TakeChanges()
	g.mu.Unlock()
	g.logChanges(changes)
}

func (g *crashGuard) logChanges(changes []quarantine.Change) {
	for _, c := range changes {
		g.log.Info("Quarantine of a part changed.", "partId", c.ID, "isQuarantined", c.IsQuarantined, "crashes", c.Crashes,
			"served", c.Served, "period", c.Period, "reason", c.Reason)
	}
}

// addressOf returns the host and port of an endpoint's URL.
func addressOf(rawURL string) (string, error) {
	parsed, err := url.Parse(rawURL)
	if err != nil {
		return "", err
	}
	if parsed.Port() != "" {
		return parsed.Host, nil
	}
	port := "80"
	if parsed.Scheme == "https" {
		port = "443"
	}
	return net.JoinHostPort(parsed.Hostname(), port), nil
}

// recordEnd records how an attempt at an endpoint ended: err is the error of sending it, or
// nil, and problem that of forwarding its answer, or nil.
func (g *Gateway) recordEnd(x *exchange, name, url string, err error, problem *outcome.Problem) {
	if problem == nil {
		problem = x.abortProblem
	}
	if err != nil {
		problem = problemFromError(err)
		if problem.Code != outcome.CodeAbandoned && problem.Code != outcome.CodeDeadline {
			g.options.Log.Warn("An endpoint gave no answer.", "request", x.id, "endpoint", name, "error", err)
		}
	}
	switch {
	case problem == nil:
		g.recordServed(x)
	case x.isServed || problem.Outcome != outcome.Unknown:
	case problem.Code == outcome.CodeAnswerTruncated || problem.Code == outcome.CodeEndpointFailed:
		g.crashes.broken(name, url, x.parts)
	}
}

// recordServed records, once for each request, that its endpoint survived it.
func (g *Gateway) recordServed(x *exchange) {
	if !x.isServed {
		x.isServed = true
		g.crashes.served(x.parts)
	}
}

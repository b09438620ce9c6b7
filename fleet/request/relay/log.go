package relay

import (
	"expvar"
	"fmt"
	"log/slog"
	"time"

	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"gentianhead/core/request/balance"
	"gentianhead/core/request/exchange"
	"gentianhead/core/request/outcome"
	"gentianhead/fleet/process/boottime"
)

const (
	// failedLinesPerSecond and answeredLinesPerSecond limit the log lines of failed
	// and of successful requests. The burst is one second's worth.
	failedLinesPerSecond   = 100
	answeredLinesPerSecond = 20
	maxLoggedParts         = 16
)

// linesDropped counts the log lines dropped by the rate limits.
var linesDropped = expvar.NewMap("relay_log_lines_left_out")

type requestLogLimiter struct {
	failed, answered *rate.Limiter
}

func newRequestLogLimiter() *requestLogLimiter {
	return &requestLogLimiter{
		failed:   rate.NewLimiter(failedLinesPerSecond, failedLinesPerSecond),
		answered: rate.NewLimiter(answeredLinesPerSecond, answeredLinesPerSecond),
	}
}

func (l *requestLogLimiter) allows(f *failure) bool {
	limiter, name := l.answered, "answered"
	if f != nil {
		limiter, name = l.failed, "failed"
	}
	if limiter.Allow() {
		return true
	}
	linesDropped.Add(name, 1)
	return false
}

func (c *call) recordAttempt(placement *balance.Placement, startedAt time.Duration, result result) {
	a := outcome.Attempt{
		Endpoint: placement.Endpoint.ID, At: startedAt - c.startedAt, Running: placement.Running, Prefill: placement.Prefill,
		Expected: placement.Expected, CopyFrom: placement.CopyFrom, Took: boottime.Now() - startedAt, Events: c.progress.events,
	}
	if placement.Expected > 0 {
		expectedTime.Record(placement.Expected)
	}
	if c.progress.headAt != 0 {
		a.Head = c.progress.headAt - startedAt
	}
	if result.failure != nil {
		a.Ended = result.failure.detail
		if result.failure.cause != nil {
			a.Cause = result.failure.cause.Error()
		}
	}
	c.attempts = append(c.attempts, a)
	c.zone = placement.Endpoint.Zone
}

// partIDs returns the ids of a prompt's parts, at most maxLoggedParts.
func partIDs(prompt *exchange.Prompt) []string {
	return lo.Map(prompt.Parts[:min(len(prompt.Parts), maxLoggedParts)], func(p exchange.Part, _ int) string { return p.ID })
}

// log writes the log line of a request, within the rate limits, with its outcome,
// the configuration version it was authorized with, and its attempts.
func (r *Relay) log(c *call, f *failure) {
	if !r.logLimiter.allows(f) {
		return
	}
	attributes := []slog.Attr{
		slog.String("request", c.metadata.AttemptID),
		slog.Duration("took", boottime.Now()-c.startedAt),
		slog.Duration("firstByte", c.firstByte),
		slog.Int64("version", c.version),
		slog.Duration("confirmedAgo", c.leaseAge),
		slog.Int("sends", c.sends),
	}
	if since := r.stop.since.Load(); since != 0 {
		attributes = append(attributes, slog.Duration("sinceStop", c.startedAt-time.Duration(since)))
	}
	if c.route != nil {
		attributes = append(attributes, slog.String("route", c.route.Name), slog.String("service", c.service))
	}
	if c.account != nil {
		attributes = append(attributes, slog.String("account", c.account.Name))
	}
	if len(c.attempts) > 0 {
		attributes = append(attributes, slog.Any("attempts", c.attempts))
	}
	if f == nil {
		r.options.Log.LogAttrs(c.r.Context(), slog.LevelInfo, "Request answered.", attributes...)
		return
	}
	attributes = append(attributes, slog.String("code", string(codes[f.kind].code)), slog.String("outcome", string(c.outcome())),
		slog.String("detail", f.detail), slog.Duration("retryAfter", f.retryAfter))
	if c.route != nil {
		attributes = append(attributes, slog.Int("rank", c.priority()))
	}
	if f.shed != nil {
		attributes = append(attributes, slog.Any("shed", outcome.Shed{
			Reason: string(f.shed.Reason), Fraction: f.shed.Fraction, Rank: f.shed.Rank,
			Expected: f.shed.Expected, Capacity: f.shed.Capacity, Age: f.shed.Age,
		}))
	}
	if len(c.parts) > 0 {
		whole := c.parts[len(c.parts)-1]
		attributes = append(attributes, slog.String("repeatKey", fmt.Sprintf("%016x", uint64(whole.Key))))
	}
	if c.metadata.Prompt != nil {
		attributes = append(attributes, slog.Any("parts", partIDs(c.metadata.Prompt)))
	}
	if c.fallback != nil {
		attributes = append(attributes, slog.Int("handedOn", c.fallback.status))
	}
	if f.cause != nil {
		attributes = append(attributes, slog.String("cause", f.cause.Error()))
	}
	r.options.Log.LogAttrs(c.r.Context(), slog.LevelInfo, "Request failed.", attributes...)
}

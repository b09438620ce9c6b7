package relay

import (
	"expvar"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"gentianhead/core/request/balance"
	"gentianhead/core/request/outcome"
	"gentianhead/fleet/process/boottime"
)

const (
	// failedLines and answeredLines bound the lines a second about requests that
	// failed and about those that went well; bursts are of one second's worth.
	failedLines   = 100
	answeredLines = 20
)

// linesLeftOut counts lines about requests above the bounds.
var linesLeftOut = expvar.NewMap("relay_log_lines_left_out")

// lineLimit bounds the log lines about requests.
type lineLimit struct {
	failed, answered *rate.Limiter
}

func newLineLimit() *lineLimit {
	return &lineLimit{
		failed:   rate.NewLimiter(failedLines, failedLines),
		answered: rate.NewLimiter(answeredLines, answeredLines),
	}
}

func (l *lineLimit) allows(f *failure) bool {
	limiter, name := l.answered, "answered"
	if f != nil {
		limiter, name = l.failed, "failed"
	}
	if limiter.Allow() {
		return true
	}
	linesLeftOut.Add(name, 1)
	return false
}

func (c *call) noteAttempt(placement *balance.Placement, begun time.Duration, result result) {
	a := outcome.Attempt{
		Endpoint: placement.Endpoint.ID, At: begun - c.begun, Running: placement.Running, Prefill: placement.Prefill,
		CopyFrom: placement.CopyFrom, Took: boottime.Now() - begun,
	}
	if result.failure != nil {
		a.Ended = result.failure.detail
		if result.failure.cause != nil {
			a.Cause = result.failure.cause.Error()
		}
	}
	c.attempts = append(c.attempts, a)
}

// log writes the line of a request: how it ended, what it was judged by, and each
// attempt with what decided it.
func (r *Relay) log(c *call, f *failure) {
	if !r.lines.allows(f) {
		return
	}
	attributes := []slog.Attr{
		slog.String("request", c.ask.AttemptID),
		slog.Duration("took", boottime.Now()-c.begun),
		slog.Duration("firstByte", c.firstByte),
		slog.Int64("version", c.version),
		slog.Duration("confirmedAgo", c.leaseAge),
		slog.Int("sends", c.sends),
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
	if c.fallback != nil {
		attributes = append(attributes, slog.Int("handedOn", c.fallback.status))
	}
	if f.cause != nil {
		attributes = append(attributes, slog.String("cause", f.cause.Error()))
	}
	r.options.Log.LogAttrs(c.r.Context(), slog.LevelInfo, "Request failed.", attributes...)
}

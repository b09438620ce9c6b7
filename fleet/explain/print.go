package explain

import (
	"fmt"
	"io"
	"time"

	"gentianhead/core/request/outcome"
)

// Print writes a story for people.
func (s *Story) Print(w io.Writer) {
	p := printer{w: w}
	end := "failed: " + string(s.Code) + ", " + string(s.Outcome)
	if s.IsAnswered {
		end = "answered"
	}
	p.line("request %s on router %s, %s", s.ID, s.Router, end)
	p.line("  %s", s.Why())
	p.line("  arrived %s, took %v, first byte after %v", s.EndedAt.Add(-s.Took).Format(time.RFC3339Nano), s.Took, s.FirstByte)
	p.line("  configuration %d, confirmed %v before; route %s, service %s, account %s", s.Version, s.ConfirmedAgo, s.Route, s.Service, s.Account)
	for number, a := range s.Attempts {
		end := reason(a)
		if end == "" {
			end = "answered"
		}
		p.line("  %d. at %v to %s, which had %d requests and %d prompt tokens to read%s: %s after %v",
			number+1, a.At, a.Endpoint, a.Running, a.Prefill, copied(a), end, a.Took)
	}
	if s.RetryAfter > 0 {
		p.line("  the caller was told to come back after %v", s.RetryAfter)
	}
	if len(s.Events) > 0 {
		p.line("  around it:")
	}
	for _, event := range s.Events {
		p.line("    %+.3f s %s: %s", event.Time.Sub(s.EndedAt).Seconds(), event.Router, event.text)
	}
}

func copied(a outcome.Attempt) string {
	if a.CopyFrom == "" {
		return ""
	}
	return " and was to copy the prompt from " + a.CopyFrom
}

// printer writes lines. Errors of a terminal or pipe that closed have no remedy.
type printer struct{ w io.Writer }

func (p printer) line(format string, values ...any) { fmt.Fprintf(p.w, format+"\n", values...) }

package explain

import (
	"fmt"
	"io"
	"time"

	"gentianhead/core/request/outcome"
)

// Print writes the report as text.
func (s *Report) Print(w io.Writer) {
	p := printer{w: w}
	end := "failed: " + string(s.Code) + ", " + string(s.Outcome)
	if s.IsAnswered {
		end = "answered"
	}
	p.line("request %s on router %s, %s", s.ID, s.Router, end)
	p.line("  %s", s.Explanation())
	p.line("  arrived %s, took %v, first byte after %v", s.EndedAt.Add(-s.Took).Format(time.RFC3339Nano), s.Took, s.FirstByte)
	p.line("  configuration %d, confirmed %v before; route %s, service %s, account %s", s.Version, s.LeaseAge, s.Route, s.Service, s.Account)
	for number, a := range s.Attempts {
		end := attemptError(a)
		if end == "" {
			end = "answered"
		}
		p.line("  %d. at %v to %s, which had %d requests and %d prompt tokens to prefill%s: %s after %v",
			number+1, a.At, a.Endpoint, a.Running, a.Prefill, copySource(a), end, a.Took)
	}
	if s.RetryAfter > 0 {
		p.line("  the caller was told to retry after %v", s.RetryAfter)
	}
	if len(s.Events) > 0 {
		p.line("  related events:")
	}
	for _, event := range s.Events {
		p.line("    %+.3f s %s: %s", event.Time.Sub(s.EndedAt).Seconds(), event.Router, event.text)
	}
}

func copySource(a outcome.Attempt) string {
	if a.CopyFrom == "" {
		return ""
	}
	return " and was told to copy the prompt's cached state from " + a.CopyFrom
}

// printer writes lines. It ignores write errors: a closed terminal or pipe can't be
// handled.
type printer struct{ w io.Writer }

func (p printer) line(format string, values ...any) { fmt.Fprintf(p.w, format+"\n", values...) }

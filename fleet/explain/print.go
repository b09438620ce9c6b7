package explain

import (
	"fmt"
	"io"
	"strings"
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
		p.line("  %d. at %v to %s, which had %d requests and %d prompt tokens to prefill%s: %s after %v%s",
			number+1, a.At, a.Endpoint, a.Running, a.Prefill, copySource(a), end, a.Took, progressOf(a))
	}
	if len(s.Parts) > 0 {
		p.line("  prompt parts: %s", strings.Join(s.Parts, ", "))
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

// progressOf returns a clause that says how far a failed attempt's response had come.
func progressOf(a outcome.Attempt) string {
	switch {
	case a.Ended == "" || a.Head == 0 && a.Events == 0:
		return ""
	case a.Events == 0:
		return fmt.Sprintf(", with a response head after %v and no event", a.Head)
	}
	return fmt.Sprintf(", with a response head after %v and %d events", a.Head, a.Events)
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

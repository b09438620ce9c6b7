package explain

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/outcome"
)

// ErrNotFound means that no line concerns the request. Under load, routers omit the
// lines of some requests, with a lower limit for successful ones.
var ErrNotFound = errors.New("explain: no log line for this request")

const (
	// lookback is how long before a request's arrival an event may still affect it:
	// the maximum lifetime of a confirmation.
	lookback  = 5 * time.Second
	maxEvents = 12
)

// Report is what the logs contain about one request on one router.
type Report struct {
	Router          string
	EndedAt         time.Time
	IsAnswered      bool
	ID              string            `json:"request"`
	Took            time.Duration     `json:"took"`
	FirstByte       time.Duration     `json:"firstByte"`
	Version         int64             `json:"version"`
	LeaseAge        time.Duration     `json:"confirmedAgo"`
	Route           string            `json:"route"`
	Service         string            `json:"service"`
	Account         string            `json:"account"`
	Attempts        []outcome.Attempt `json:"attempts"`
	Parts           []string          `json:"parts"`
	Code            outcome.Code      `json:"code"`
	Outcome         outcome.Outcome   `json:"outcome"`
	Detail          string            `json:"detail"`
	RetryAfter      time.Duration     `json:"retryAfter"`
	ForwardedStatus int               `json:"handedOn"`
	Cause           string            `json:"cause"`
	// Shed is set if the request was refused in the order of refusals.
	Shed *outcome.Shed `json:"shed"`
	// Events holds state changes of its router, and events of all routers that
	// concern its endpoints or the parts of its prompt, until the request's end, oldest first.
	// For a request refused for stated rates, they include those that its router knew.
	Events []Line
}

// Messages that routers log for requests.
const (
	msgAnswered = "relay: Request answered."
	msgFailed   = "relay: Request failed."
	// msgRate is logged when an endpoint begins, changes or ends a stated request rate.
	msgRate = "balance: The request rate of an endpoint changed."
	// msgCold is logged when an endpoint becomes cold or warm.
	msgCold = "balance: Whether an endpoint is cold changed."
)

// stateMessages holds the messages about state of the request's router that affects
// requests.
var stateMessages = []string{
	"control: Configuration in force.",
	"control: Evacuated zones changed.",
	"control: Freshness of the configuration changed.",
	"control: Contact with the store changed.",
	"control: The configuration can't be read.",
	"control: The configuration can't be used.",
	"hosted: Leaving.",
	"hosted: Started.",
}

// Find returns the reports of a request, oldest first. There are several if a caller
// reuses an id. It returns ErrNotFound if there is none.
func Find(lines []Line, id string) ([]Report, error) {
	var reports []Report
	for _, line := range lines {
		if line.Request != id || line.Message != msgAnswered && line.Message != msgFailed {
			continue
		}
		report := Report{Router: line.Router, EndedAt: line.Time, IsAnswered: line.Message == msgAnswered}
		if err := json.Unmarshal(line.text, &report); err != nil {
			return nil, errors.Wrapf(err, "line of request %s", id)
		}
		report.Events = relatedEvents(lines, &report)
		reports = append(reports, report)
	}
	if len(reports) == 0 {
		return nil, ErrNotFound
	}
	slices.SortFunc(reports, func(a, b Report) int { return a.EndedAt.Compare(b.EndedAt) })
	return reports, nil
}

// relatedEvents returns the latest maxEvents lines relevant to a report, oldest first.
func relatedEvents(lines []Line, report *Report) []Line {
	from := report.EndedAt.Add(-report.Took - lookback)
	var found []Line
	for _, line := range lines {
		if line.Time.Before(from) || line.Time.After(report.EndedAt) {
			continue
		}
		isStateChange := line.Router == report.Router && slices.Contains(stateMessages, line.Message)
		if isStateChange || report.usedEndpoint(line.Endpoint) || line.PartID != "" && slices.Contains(report.Parts, line.PartID) {
			found = append(found, line)
		}
	}
	if report.Code == outcome.CodeEndpointLimit {
		found = append(found, statedRates(lines, report)...)
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found[max(0, len(found)-maxEvents):]
}

// statedRates returns the lines with the request rates, and with the cold times, that were known
// to a report's router for the endpoints of its service: the latest line of each.
func statedRates(lines []Line, report *Report) []Line {
	latest := make(map[[2]string]Line)
	for _, line := range lines {
		isKnown := (line.Message == msgRate || line.Message == msgCold) && line.Router == report.Router && line.Service == report.Service
		key := [2]string{line.Message, line.Endpoint}
		if isKnown && !line.Time.After(report.EndedAt) && !line.Time.Before(latest[key].Time) {
			latest[key] = line
		}
	}
	return slices.Collect(maps.Values(latest))
}

func (s *Report) usedEndpoint(endpoint string) bool {
	return endpoint != "" && slices.ContainsFunc(s.Attempts, func(a outcome.Attempt) bool { return a.Endpoint == endpoint })
}

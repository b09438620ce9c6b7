package explain

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/outcome"
)

// ErrUnknown means that no line is about the request. Lines of requests that went
// well are left out under load.
var ErrUnknown = errors.New("explain: no line is about this request")

const (
	// lookBack is how long before a request's arrival what its router believed may
	// have changed for it: the longest life of a confirmation.
	lookBack = 5 * time.Second
	// maxEvents bounds the events of a story.
	maxEvents = 12
)

// Story is what the logs tell of one request on one router.
type Story struct {
	Router       string
	EndedAt      time.Time
	IsAnswered   bool
	ID           string            `json:"request"`
	Took         time.Duration     `json:"took"`
	FirstByte    time.Duration     `json:"firstByte"`
	Version      int64             `json:"version"`
	ConfirmedAgo time.Duration     `json:"confirmedAgo"`
	Route        string            `json:"route"`
	Service      string            `json:"service"`
	Account      string            `json:"account"`
	Attempts     []outcome.Attempt `json:"attempts"`
	Code         outcome.Code      `json:"code"`
	Outcome      outcome.Outcome   `json:"outcome"`
	Detail       string            `json:"detail"`
	RetryAfter   time.Duration     `json:"retryAfter"`
	HandedOn     int               `json:"handedOn"`
	Cause        string            `json:"cause"`
	// Events are what its router came to believe around it, and what other routers
	// found at its endpoints, oldest first.
	Events []Line
}

// messages of lines about requests.
const (
	answered = "relay: Request answered."
	failed   = "relay: Request failed."
)

// beliefs are the messages about what decides on requests, of the request's router.
var beliefs = []string{
	"control: Configuration in force.",
	"control: Freshness of the configuration changed.",
	"control: Contact with the store changed.",
	"control: The configuration can't be read.",
	"control: The configuration can't be used.",
	"hosted: Leaving.",
	"hosted: Started.",
}

// Find returns the stories of a request, oldest first; a caller that repeats an id
// has several.
func Find(lines []Line, id string) ([]Story, error) {
	var stories []Story
	for _, line := range lines {
		if line.Request != id || line.Message != answered && line.Message != failed {
			continue
		}
		story := Story{Router: line.Router, EndedAt: line.Time, IsAnswered: line.Message == answered}
		if err := json.Unmarshal(line.text, &story); err != nil {
			return nil, errors.Wrapf(err, "line of request %s", id)
		}
		story.Events = events(lines, &story)
		stories = append(stories, story)
	}
	if len(stories) == 0 {
		return nil, ErrUnknown
	}
	slices.SortFunc(stories, func(a, b Story) int { return a.EndedAt.Compare(b.EndedAt) })
	return stories, nil
}

// events returns the newest lines that bear on a story, oldest first.
func events(lines []Line, story *Story) []Line {
	from := story.EndedAt.Add(-story.Took - lookBack)
	var found []Line
	for _, line := range lines {
		if line.Time.Before(from) || line.Time.After(story.EndedAt) {
			continue
		}
		isBelief := line.Router == story.Router && slices.Contains(beliefs, line.Message)
		if isBelief || story.tried(line.Endpoint) {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found[max(0, len(found)-maxEvents):]
}

func (s *Story) tried(endpoint string) bool {
	return endpoint != "" && slices.ContainsFunc(s.Attempts, func(a outcome.Attempt) bool { return a.Endpoint == endpoint })
}

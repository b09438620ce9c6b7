package explain

import (
	"fmt"
	"strings"

	"gentianhead/core/request/outcome"
)

// Why names the cause of a request's end in a sentence.
func (s *Story) Why() string {
	switch {
	case s.IsAnswered && len(s.Attempts) > 1:
		return fmt.Sprintf("Answered by endpoint %s after %d that did not serve it.", s.last().Endpoint, len(s.Attempts)-1)
	case s.IsAnswered:
		return "Answered by the first endpoint that was asked."
	case s.HandedOn != 0:
		return fmt.Sprintf("Endpoint %s answered %d, which was handed on%s.", s.failedAt(), s.HandedOn, s.others())
	}
	if why, known := byCode[s.Code]; known {
		return why(s)
	}
	return "The logs name no cause: " + s.Detail + "."
}

// byCode explains failures by their code.
var byCode = map[outcome.Code]func(*Story) string{
	outcome.CodeLoadBound: func(s *Story) string {
		return "Refused under load: no endpoint of " + s.Service + " was expected to serve it within its target latency" + s.others() + "."
	},
	outcome.CodeOverloaded: func(s *Story) string {
		if len(s.Attempts) == 0 {
			return "Refused: " + s.Detail + "."
		}
		return "Endpoint " + s.last().Endpoint + " turned it away, and it may be sent to no other" + s.others() + "."
	},
	outcome.CodeEndpointFailed: func(s *Story) string {
		return "Endpoint " + s.last().Endpoint + " failed: " + reason(s.last()) + s.others() + "."
	},
	outcome.CodeDeadline: func(s *Story) string {
		if len(s.Attempts) == 0 {
			return "Its time limit passed before it was sent to an endpoint."
		}
		return "Its time limit passed while endpoint " + s.last().Endpoint + " worked on it" + s.others() + "."
	},
	outcome.CodeNoEndpoint: func(s *Story) string {
		return "No endpoint of " + s.Service + " is known that takes new work" + s.others() + "."
	},
	outcome.CodeIsolated: func(s *Story) string {
		return fmt.Sprintf("This router could not be sure that configuration %d is the newest, last confirmed %v before, and honors no secrets then.", s.Version, s.ConfirmedAgo)
	},
	outcome.CodeNotReady: func(*Story) string { return "This router had not read a configuration yet." },
	outcome.CodeUnauthenticated: func(s *Story) string {
		return fmt.Sprintf("No client account of configuration %d has the secret that it came with.", s.Version)
	},
	outcome.CodeNotFound: func(s *Story) string {
		return fmt.Sprintf("No route of configuration %d has its host and path.", s.Version)
	},
	outcome.CodeAbandoned: func(s *Story) string {
		if len(s.Attempts) == 0 {
			return "The caller closed the connection before it was sent to an endpoint."
		}
		return "The caller closed the connection while endpoint " + s.last().Endpoint + " worked on it."
	},
	outcome.CodeBadRequest:   func(s *Story) string { return "The request is malformed: " + s.Detail + "." },
	outcome.CodeBodyTooLarge: func(s *Story) string { return "Its body is larger than the configuration allows." },
}

func (s *Story) last() outcome.Attempt {
	if len(s.Attempts) == 0 {
		return outcome.Attempt{Endpoint: "(none)", Ended: s.Detail, Cause: s.Cause}
	}
	return s.Attempts[len(s.Attempts)-1]
}

// failedAt is the endpoint whose answer was handed on: the last that answered.
func (s *Story) failedAt() string {
	for i := len(s.Attempts) - 1; i >= 0; i-- {
		if strings.Contains(s.Attempts[i].Ended, "answered") {
			return s.Attempts[i].Endpoint
		}
	}
	return s.last().Endpoint
}

func reason(a outcome.Attempt) string {
	if a.Cause == "" {
		return a.Ended
	}
	return a.Ended + " (" + a.Cause + ")"
}

// others says how many endpoints were tried before the last.
func (s *Story) others() string {
	if len(s.Attempts) < 2 {
		return ""
	}
	return fmt.Sprintf("; %d endpoints were tried", len(s.Attempts))
}

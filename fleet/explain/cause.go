package explain

import (
	"fmt"
	"strings"
	"time"

	"gentianhead/core/request/outcome"
)

// Explanation returns a sentence with the cause of the request's result.
func (s *Report) Explanation() string {
	switch {
	case s.IsAnswered && len(s.Attempts) > 1:
		return fmt.Sprintf("Answered by endpoint %s after %d failed attempt(s).", s.lastAttempt().Endpoint, len(s.Attempts)-1)
	case s.IsAnswered:
		return "Answered by the first endpoint tried."
	case s.ForwardedStatus != 0:
		return fmt.Sprintf("Endpoint %s answered %d, which was passed to the caller%s.", s.respondingEndpoint(), s.ForwardedStatus, s.attemptCount())
	}
	if why, known := explanationByCode[s.Code]; known {
		return why(s)
	}
	return "The logs contain no known cause: " + s.Detail + "."
}

// explanationByCode holds the explanations of failures by code.
var explanationByCode = map[outcome.Code]func(*Report) string{
	outcome.CodeLoadBound: func(s *Report) string {
		if s.Shed != nil {
			return s.shedExplanation()
		}
		return "Refused under load: no endpoint of " + s.Service + " was expected to serve it within its target latency" + s.attemptCount() + "."
	},
	outcome.CodeOverloaded: func(s *Report) string {
		if len(s.Attempts) == 0 {
			return "Refused: " + s.Detail + "."
		}
		return "Endpoint " + s.lastAttempt().Endpoint + " refused it, and it can't be retried on another" + s.attemptCount() + "."
	},
	outcome.CodeEndpointFailed: func(s *Report) string {
		return "Endpoint " + s.lastAttempt().Endpoint + " failed: " + attemptError(s.lastAttempt()) + s.attemptCount() + "."
	},
	outcome.CodeDeadline: func(s *Report) string {
		if len(s.Attempts) == 0 {
			return "Its deadline passed before it was sent to an endpoint."
		}
		return "Its deadline passed while endpoint " + s.lastAttempt().Endpoint + " was processing it" + s.attemptCount() + "."
	},
	outcome.CodeNoEndpoint: func(s *Report) string {
		return "No known endpoint of " + s.Service + " accepts new requests" + s.attemptCount() + "."
	},
	outcome.CodeIsolated: func(s *Report) string {
		return fmt.Sprintf("This router could not confirm that configuration %d is the latest, last confirmed %v before, and accepts no secrets in that state.", s.Version, s.LeaseAge)
	},
	outcome.CodeStopping: func(s *Report) string {
		if len(s.Attempts) == 0 {
			return "Refused: the router was stopping and might have ended before the answer."
		}
		return "The router stopped while endpoint " + s.lastAttempt().Endpoint + " was processing it" + s.attemptCount() + "."
	},
	outcome.CodeNotReady: func(*Report) string { return "This router had not loaded a configuration yet." },
	outcome.CodeUnauthenticated: func(s *Report) string {
		return fmt.Sprintf("No client account of configuration %d matches the secret of the request.", s.Version)
	},
	outcome.CodeNotFound: func(s *Report) string {
		return fmt.Sprintf("No route of configuration %d matches its host and path.", s.Version)
	},
	outcome.CodeAbandoned: func(s *Report) string {
		if len(s.Attempts) == 0 {
			return "The caller closed the connection before it was sent to an endpoint."
		}
		return "The caller closed the connection while endpoint " + s.lastAttempt().Endpoint + " was processing it."
	},
	outcome.CodeQuarantined: func(s *Report) string {
		if len(s.Attempts) > 0 {
			return "Endpoint " + s.lastAttempt().Endpoint + " failed: " + attemptError(s.lastAttempt()) + ". It was not sent to another: " + s.Detail + s.attemptCount() + "."
		}
		return "Refused without being sent: " + s.Detail + ". Such requests are refused until one that tests it is served."
	},
	outcome.CodeEndpointLimit: func(s *Report) string {
		return "Refused: all endpoints of " + s.Service + " were at the request rates that they state, as far as this router may use them" + s.attemptCount() + "."
	},
	outcome.CodeEvacuated: func(s *Report) string {
		return "Refused: the endpoints of " + s.Service + " that it was not sent to are in evacuated zones" + s.attemptCount() + "."
	},
	outcome.CodeBadRequest:   func(s *Report) string { return "The request is malformed: " + s.Detail + "." },
	outcome.CodeBodyTooLarge: func(s *Report) string { return "Its body is larger than the configuration allows." },
}

// shedExplanation returns why a request was refused in the order of refusals.
func (s *Report) shedExplanation() string {
	text := fmt.Sprintf("Refused while capacity was short: %s. %.0f%% of such requests of rank %d were refused.", s.Detail, 100*s.Shed.Fraction, s.Shed.Rank)
	if s.Shed.Expected > 0 {
		text += fmt.Sprintf(" The expected time to the answer was %v.", s.Shed.Expected.Round(time.Millisecond))
	}
	if s.Shed.Capacity > 0 {
		text += fmt.Sprintf(" The endpoints of %s were expected to serve %.1f requests a second.", s.Service, s.Shed.Capacity)
	}
	return text + fmt.Sprintf(" That rests on reports of other routers that were %v old.", s.Shed.Age.Round(time.Millisecond))
}

func (s *Report) lastAttempt() outcome.Attempt {
	if len(s.Attempts) == 0 {
		return outcome.Attempt{Endpoint: "(none)", Ended: s.Detail, Cause: s.Cause}
	}
	return s.Attempts[len(s.Attempts)-1]
}

// respondingEndpoint returns the endpoint whose response was passed to the caller:
// that of the last attempt that the relay describes as answered.
func (s *Report) respondingEndpoint() string {
	for i := len(s.Attempts) - 1; i >= 0; i-- {
		if strings.Contains(s.Attempts[i].Ended, "answered") {
			return s.Attempts[i].Endpoint
		}
	}
	return s.lastAttempt().Endpoint
}

func attemptError(a outcome.Attempt) string {
	if a.Cause == "" {
		return a.Ended
	}
	return a.Ended + " (" + a.Cause + ")"
}

// attemptCount returns a clause with the number of attempts if there were several.
func (s *Report) attemptCount() string {
	if len(s.Attempts) < 2 {
		return ""
	}
	return fmt.Sprintf("; %d endpoints were tried", len(s.Attempts))
}

package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"gentianhead/core/request/outcome"
)

// refusal is a problem whose retry delay can still be set.
type refusal struct{ *outcome.Problem }

func (r refusal) retryAfter(d time.Duration) *outcome.Problem {
	r.RetryAfter = d
	return r.Problem
}

func notRun(status int, code outcome.Code, detail string) refusal {
	return refusal{&outcome.Problem{Status: status, Code: code, Outcome: outcome.NotRun, Detail: detail}}
}

func unknown(status int, code outcome.Code, detail string) *outcome.Problem {
	return &outcome.Problem{Status: status, Code: code, Outcome: outcome.Unknown, Detail: detail}
}

// problemBody is the body of a problem answer (application/problem+json).
type problemBody struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail"`
	Code      outcome.Code    `json:"code"`
	Outcome   outcome.Outcome `json:"outcome"`
	RequestID string          `json:"requestId"`
}

func encodeProblem(id string, problem *outcome.Problem) []byte {
	body, _ := json.Marshal(problemBody{
		Type:      "urn:gentianhead:problem:" + string(problem.Code),
		Title:     http.StatusText(problem.Status),
		Status:    problem.Status,
		Detail:    problem.Detail,
		Code:      problem.Code,
		Outcome:   problem.Outcome,
		RequestID: id,
	})
	return body
}

func writeProblem(w http.ResponseWriter, id string, problem *outcome.Problem) {
	if problem.RetryAfter > 0 {
		seconds := int(math.Ceil(problem.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(problem.Status)
	_, _ = w.Write(encodeProblem(id, problem))
}

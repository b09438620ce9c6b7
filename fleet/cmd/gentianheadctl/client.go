package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"gentianhead/fleet/request/admin"
)

const (
	// maxAnswerBytes bounds an answer of the resource API.
	maxAnswerBytes = 64 << 20
	// resendInterval is the delay between retries of a write whose outcome is unknown.
	resendInterval = 500 * time.Millisecond
	// resendTimeout is the total time for retries of a write whose outcome is unknown.
	resendTimeout = 30 * time.Second
)

var errOutcomeUnknown = errors.New("outcome unknown: the write may or may not have been accepted")

// apiError is an answer of the resource API other than 200.
type apiError struct {
	status int
	detail string
}

func (e *apiError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.status, http.StatusText(e.status), e.detail)
}

// write sends a write until its outcome is known or resendTimeout has passed.
// Retries carry the same attempt id, so that the write takes effect at most once.
// A 503 means that this attempt was not written, but an earlier one may have been.
func (c *commands) write(ctx context.Context, method, path string, body any) (admin.AcceptedBody, error) {
	ctx, cancel := context.WithTimeout(ctx, resendTimeout)
	defer cancel()
	header := http.Header{"X-Attempt-Id": {uuid.NewString()}}
	mayHaveRun := false
	for {
		var accepted admin.AcceptedBody
		err := c.doJSON(ctx, method, path, header, body, &accepted)
		var apiErr *apiError
		isAnswered := errors.As(err, &apiErr)
		switch {
		case err == nil:
			return accepted, nil
		case isAnswered && apiErr.status < http.StatusInternalServerError,
			isAnswered && apiErr.status == http.StatusServiceUnavailable && !mayHaveRun:
			return accepted, err
		}
		mayHaveRun = true
		fmt.Fprintf(c.stderr, "gentianheadctl: write not confirmed, retrying: %v\n", err)
		select {
		case <-ctx.Done():
			return accepted, errors.Mark(errors.Wrap(err, errOutcomeUnknown.Error()), errOutcomeUnknown)
		case <-time.After(resendInterval):
		}
	}
}

func (c *commands) read(ctx context.Context, path string, answer any) error {
	return c.doJSON(ctx, http.MethodGet, path, http.Header{}, nil, answer)
}

// doJSON sends one call to the resource API and decodes its answer.
func (c *commands) doJSON(ctx context.Context, method, path string, header http.Header, body, answer any) error {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, *c.router+path, reader)
	if err != nil {
		return err
	}
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+*c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &apiError{status: response.StatusCode, detail: problemDetail(data)}
	}
	return json.Unmarshal(data, answer)
}

// problemDetail returns the detail and the errors of a problem document, or the
// data itself if it is none.
func problemDetail(data []byte) string {
	var problem struct {
		Detail string `json:"detail"`
		Errors []struct {
			Message  string `json:"message"`
			Location string `json:"location"`
			Value    any    `json:"value"`
		} `json:"errors"`
	}
	if json.Unmarshal(data, &problem) != nil || problem.Detail == "" {
		return strings.TrimSpace(string(data))
	}
	detail := problem.Detail
	for _, e := range problem.Errors {
		detail += fmt.Sprintf("; %s: %s (%v)", e.Location, e.Message, e.Value)
	}
	return detail
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxAnswerBytes bounds an answer of the resource API.
const maxAnswerBytes = 64 << 20

// operate sends one call to the resource API and decodes its answer.
func (c *commands) operate(ctx context.Context, method, path string, header http.Header, body, answer any) error {
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
	if header != nil {
		request.Header = header
	}
	request.Header.Set("Authorization", "Bearer "+*c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s", response.Status, detailOf(data))
	}
	return json.Unmarshal(data, answer)
}

// detailOf returns the detail of a problem, or the text as it is.
func detailOf(data []byte) string {
	var problem struct {
		Detail string `json:"detail"`
	}
	if json.Unmarshal(data, &problem) == nil && problem.Detail != "" {
		return problem.Detail
	}
	return strings.TrimSpace(string(data))
}

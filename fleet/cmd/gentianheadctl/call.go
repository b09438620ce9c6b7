package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/outcome"
	"gentianhead/fleet/connection/engine"
	"gentianhead/fleet/request/gateway"
)

type callOptions struct {
	model, service, path, chat, key *string
	stream                          *bool
	// maxRetries bounds the retries of a call that was refused as not run with a
	// Retry-After header.
	maxRetries *int
}

// refusedError is the refusal of a request that did not run.
type refusedError struct {
	status     string
	retryAfter time.Duration
}

// Error implements error.
func (e *refusedError) Error() string { return "the router answered " + e.status }

// entryAnswer lists a chat's router addresses, preferred first, and their cache time.
type entryAnswer struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds float64  `json:"keepSeconds"`
}

func (c *commands) fetchEntry(ctx context.Context, chat string) (entryAnswer, error) {
	var answer entryAnswer
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, *c.callers+"/v1/entry?chat="+url.QueryEscape(chat), nil)
	if err != nil {
		return answer, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer, err
	}
	if response.StatusCode != http.StatusOK {
		return answer, &apiError{status: response.StatusCode, detail: problemDetail(data)}
	}
	err = json.Unmarshal(data, &answer)
	if err == nil && len(answer.Addresses) == 0 {
		err = errors.New("the entry answer contains no address")
	}
	return answer, err
}

func (c *commands) entry(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return errors.Wrap(errUsage, "entry needs CHAT")
	}
	answer, err := c.fetchEntry(ctx, args[0])
	if err != nil {
		return err
	}
	if *c.output != tableOutput {
		return c.printEncoded(answer)
	}
	for _, address := range answer.Addresses {
		fmt.Fprintln(c.stdout, address)
	}
	return nil
}

func (c *commands) callExec(options *callOptions) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if (*options.model == "") == (*options.service == "") {
			return errors.Wrap(errUsage, "call needs exactly one of --model and --service")
		}
		answer, err := c.fetchEntry(ctx, *options.chat)
		if err != nil {
			return err
		}
		for retriesLeft := *options.maxRetries; ; retriesLeft-- {
			request, err := newCallRequest(ctx, "http://"+answer.Addresses[0], options, strings.Join(args, " "))
			if err != nil {
				return err
			}
			request.Header.Set("Authorization", "Bearer "+*c.token)
			err = c.sendCall(request)
			var refused *refusedError
			if !errors.As(err, &refused) || retriesLeft <= 0 {
				return err
			}
			fmt.Fprintf(c.stdout, "refused, not run; retrying after %v\n", refused.retryAfter)
			select {
			case <-time.After(refused.retryAfter):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []message `json:"messages"`
}

func newCallRequest(ctx context.Context, base string, options *callOptions, text string) (*http.Request, error) {
	address, body := base+"/v1/chat/completions", text
	if *options.service != "" {
		address = base + "/v1/services/" + *options.service + *options.path
	} else {
		encoded, err := json.Marshal(chatBody{*options.model, *options.stream, []message{{"user", text}}})
		if err != nil {
			return nil, err
		}
		body = string(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(gateway.HeaderChat, *options.chat)
	if *options.key != "" {
		request.Header.Set(engine.HeaderIdempotencyKey, *options.key)
	}
	return request, nil
}

func (c *commands) sendCall(request *http.Request) error {
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode < http.StatusBadRequest {
		_, err := io.Copy(c.stdout, response.Body)
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.stdout, string(body))
	return responseError(response, body)
}

// responseError returns a refusedError if the answer reports that the request did
// not run and has a Retry-After header.
func responseError(response *http.Response, body []byte) error {
	var problem struct {
		Outcome outcome.Outcome `json:"outcome"`
	}
	seconds, retryAfterErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	decodeErr := json.Unmarshal(body, &problem)
	if retryAfterErr == nil && decodeErr == nil && problem.Outcome == outcome.NotRun {
		return &refusedError{status: response.Status, retryAfter: time.Duration(seconds * float64(time.Second))}
	}
	return errors.Newf("the router answered %s", response.Status)
}

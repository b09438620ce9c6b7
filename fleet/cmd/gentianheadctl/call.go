package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"gentianhead/fleet/connection/engine"
	"gentianhead/fleet/request/gateway"
)

type callOptions struct {
	model, service, path, chat, key *string
	stream                          *bool
}

type entryAnswer struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds float64  `json:"keepSeconds"`
}

func (c *commands) askEntry(ctx context.Context, chat string) (entryAnswer, error) {
	var answer entryAnswer
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, *c.callers+"/v1/entry?chat="+url.QueryEscape(chat), nil)
	if err != nil {
		return answer, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&answer)
	if err == nil && len(answer.Addresses) == 0 {
		err = errors.New("the entry answer names no address")
	}
	return answer, err
}

func (c *commands) entry(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return errors.New("entry needs CHAT")
	}
	answer, err := c.askEntry(ctx, args[0])
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
			return errors.New("call needs exactly one of --model and --service")
		}
		answer, err := c.askEntry(ctx, *options.chat)
		if err != nil {
			return err
		}
		request, err := newCall(ctx, "http://"+answer.Addresses[0], options, strings.Join(args, " "))
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+*c.token)
		return c.sendCall(request)
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

func newCall(ctx context.Context, base string, options *callOptions, text string) (*http.Request, error) {
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
		request.Header.Set(engine.HeaderKey, *options.key)
	}
	return request, nil
}

func (c *commands) sendCall(request *http.Request) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(c.stdout, response.Body); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		fmt.Fprintln(c.stdout)
		return errors.Newf("the router answered %s", response.Status)
	}
	return nil
}

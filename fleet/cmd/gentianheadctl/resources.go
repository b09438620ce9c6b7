package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"gentianhead/core/version/resource"
	"gentianhead/fleet/request/admin"
)

var errUsage = errors.New("invalid usage")

func (c *commands) applyExec(file *string, wait waitOptions) func(context.Context, []string) error {
	return func(ctx context.Context, _ []string) error {
		objects, err := c.readObjects(*file)
		if err != nil {
			return err
		}
		var last resource.Revision
		for i, object := range objects {
			path := resourcePath(string(object.Kind), object.Name)
			accepted, err := c.write(ctx, http.MethodPut, path, object)
			if err != nil {
				return errors.Wrapf(err, "%s %s (%d of %d accepted before it)", object.Kind, object.Name, i, len(objects))
			}
			last = accepted.Revision
			if err := c.printAccepted(accepted); err != nil {
				return err
			}
		}
		return c.waitInForce(ctx, last, wait)
	}
}

// readObjects reads and validates all documents before any is sent.
func (c *commands) readObjects(file string) ([]admin.ObjectBody, error) {
	data, err := c.readFile(file)
	if err != nil {
		return nil, err
	}
	var objects []admin.ObjectBody
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.UseJSONUnmarshaler())
	for {
		var object admin.ObjectBody
		err := decoder.Decode(&object)
		if errors.Is(err, io.EOF) {
			return objects, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "%s", file)
		}
		if err := declaredObject(object).Validate(); err != nil {
			return nil, errors.Wrapf(err, "%s: document %d", file, len(objects)+1)
		}
		objects = append(objects, object)
	}
}

// readFile reads a file, or standard input if its name is -.
func (c *commands) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(c.stdin)
	}
	return os.ReadFile(name)
}

// declaredObject returns the resource that a document declares.
func declaredObject(body admin.ObjectBody) resource.Object {
	return resource.Object{
		Kind: body.Kind, Name: body.Name,
		Endpoint: body.Endpoint, Account: body.Account, Model: body.Model, Service: body.Service,
	}
}

func resourcePath(kind, name string) string {
	return "/v1/resources/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (c *commands) get(ctx context.Context, args []string) error {
	switch len(args) {
	case 0:
		return c.list(ctx, "/v1/resources")
	case 1:
		return c.list(ctx, "/v1/resources?kind="+url.QueryEscape(args[0]))
	case 2:
		var object admin.ObjectBody
		if err := c.read(ctx, resourcePath(args[0], args[1]), &object); err != nil {
			return err
		}
		return c.print(object, resourceTable([]admin.ObjectBody{object}))
	}
	return errors.Wrap(errUsage, "get accepts at most KIND and NAME")
}

func (c *commands) list(ctx context.Context, path string) error {
	var list admin.ListBody
	if err := c.read(ctx, path, &list); err != nil {
		return err
	}
	return c.print(list, resourceTable(list.Items))
}

func resourceTable(objects []admin.ObjectBody) table {
	t := table{header: []string{"REVISION", "KIND", "NAME"}}
	for _, object := range objects {
		t.add(object.Revision, object.Kind, object.Name)
	}
	return t
}

func (c *commands) deleteExec(wait waitOptions) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) != 2 {
			return errors.Wrap(errUsage, "delete needs KIND and NAME")
		}
		accepted, err := c.write(ctx, http.MethodDelete, resourcePath(args[0], args[1]), nil)
		if err != nil {
			return err
		}
		if err := c.printAccepted(accepted); err != nil {
			return err
		}
		return c.waitInForce(ctx, accepted.Revision, wait)
	}
}

const (
	// watchSeconds is the long-poll time of one watch call.
	watchSeconds = 20
	// watchRetryInterval is the delay before a failed watch call is retried.
	watchRetryInterval = time.Second
)

// watchExec prints changes until interrupted. It resumes after the last change if
// the router or the store was unavailable, and fails if the changes after that are
// no longer stored.
func (c *commands) watchExec(after *uint64) func(context.Context, []string) error {
	return func(ctx context.Context, _ []string) error {
		last := resource.Revision(*after)
		for ctx.Err() == nil {
			var answer admin.ChangesBody
			err := c.read(ctx, fmt.Sprintf("/v1/changes?after=%d&wait=%d", last, watchSeconds), &answer)
			var apiErr *apiError
			switch {
			case errors.As(err, &apiErr) && apiErr.status < http.StatusInternalServerError:
				return err
			case err != nil:
				c.pauseWatch(ctx, err)
				continue
			}
			for _, change := range answer.Changes {
				last = change.Revision
				if err := c.printChange(change); err != nil {
					return err
				}
			}
		}
		return nil
	}
}

func (c *commands) pauseWatch(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	fmt.Fprintf(c.stderr, "gentianheadctl: watch failed, retrying: %v\n", err)
	select {
	case <-ctx.Done():
	case <-time.After(watchRetryInterval):
	}
}

func (c *commands) printChange(change admin.ObjectBody) error {
	if *c.output != tableOutput {
		return c.printItem(change)
	}
	verb := "applied"
	if change.Deleted {
		verb = "deleted"
	}
	_, err := fmt.Fprintf(c.stdout, "%d\t%s\t%s\t%s\n", change.Revision, verb, change.Kind, change.Name)
	return err
}

func (c *commands) status(ctx context.Context, _ []string) error {
	var status admin.StatusBody
	if err := c.read(ctx, "/v1/status", &status); err != nil {
		return err
	}
	t := table{header: []string{"INSTANCE", "ZONE", "REVISION", "STATE"}}
	for _, router := range status.Routers {
		t.add(router.Instance, router.Zone, router.Revision, routerState(router))
	}
	return c.print(status, t)
}

func routerState(router admin.RouterStatus) string {
	switch {
	case router.Unreachable:
		return "unreachable"
	case router.Leaving:
		return "leaving"
	}
	return "live"
}

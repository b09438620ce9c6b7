package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/google/uuid"

	"gentianhead/core/version/resource"
	"gentianhead/fleet/request/admin"
)

// waitInterval is the time between two looks at the status during apply --wait.
const waitInterval = 200 * time.Millisecond

func (c *commands) applyExec(file *string, wait *bool, timeout *time.Duration) func(context.Context, []string) error {
	return func(ctx context.Context, _ []string) error {
		objects, err := c.readObjects(*file)
		if err != nil {
			return err
		}
		var last resource.Revision
		for _, object := range objects {
			accepted, err := c.put(ctx, object)
			if err != nil {
				return errors.Wrapf(err, "%s %s", object.Kind, object.Name)
			}
			last = accepted.Revision
			fmt.Fprintf(c.stdout, "%s/%s accepted at revision %d\n", accepted.Kind, accepted.Name, accepted.Revision)
		}
		if !*wait {
			return nil
		}
		return c.waitInForce(ctx, last, *timeout)
	}
}

// readObjects reads and checks every document before anything is sent.
func (c *commands) readObjects(file string) ([]admin.ObjectBody, error) {
	reader := c.stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		reader = f
	}
	data, err := io.ReadAll(reader)
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
		if object.Revision != 0 {
			return nil, errors.Newf("%s: revision is set by the system; leave it out", file)
		}
		objects = append(objects, object)
	}
}

func (c *commands) put(ctx context.Context, object admin.ObjectBody) (admin.ObjectBody, error) {
	var accepted admin.ObjectBody
	header := http.Header{"X-Attempt-Id": {uuid.NewString()}}
	err := c.operate(ctx, http.MethodPut, resourcePath(string(object.Kind), object.Name), header, object, &accepted)
	return accepted, err
}

func resourcePath(kind, name string) string {
	return "/v1/resources/" + kind + "/" + name
}

type statusBody struct {
	Routers []admin.RouterStatus `json:"routers"`
}

// waitInForce returns once every router has the revision, or names those that lack it.
func (c *commands) waitInForce(ctx context.Context, revision resource.Revision, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var lacking []string
	for {
		var status statusBody
		if err := c.operate(ctx, http.MethodGet, "/v1/status", nil, nil, &status); err == nil {
			lacking = routersBelow(status.Routers, revision)
			if len(lacking) == 0 {
				fmt.Fprintf(c.stdout, "revision %d in force on %d routers\n", revision, len(status.Routers))
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Newf("accepted, but revision %d is not in force after %s on: %s", revision, timeout, strings.Join(lacking, ", "))
		case <-time.After(waitInterval):
		}
	}
}

func routersBelow(routers []admin.RouterStatus, revision resource.Revision) []string {
	var names []string
	for _, router := range routers {
		if router.Revision < revision {
			names = append(names, router.Instance)
		}
	}
	return names
}

type listBody struct {
	Revision resource.Revision  `json:"revision"`
	Items    []admin.ObjectBody `json:"items"`
}

func (c *commands) get(ctx context.Context, args []string) error {
	if len(args) == 2 {
		var object admin.ObjectBody
		if err := c.operate(ctx, http.MethodGet, resourcePath(args[0], args[1]), nil, nil, &object); err != nil {
			return err
		}
		return c.print(object, []admin.ObjectBody{object})
	}
	kind := ""
	if len(args) == 1 {
		kind = args[0]
	}
	var list listBody
	if err := c.operate(ctx, http.MethodGet, "/v1/resources?kind="+kind, nil, nil, &list); err != nil {
		return err
	}
	return c.print(list, list.Items)
}

func (c *commands) print(whole any, rows []admin.ObjectBody) error {
	if *c.output == "table" {
		for _, row := range rows {
			fmt.Fprintf(c.stdout, "%d\t%s\t%s\n", row.Revision, row.Kind, row.Name)
		}
		return nil
	}
	return c.printEncoded(whole)
}

func (c *commands) printEncoded(value any) error {
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err == nil && *c.output == "yaml" {
		encoded, err = yaml.JSONToYAML(encoded)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.stdout, strings.TrimSpace(string(encoded)))
	return err
}

func (c *commands) remove(ctx context.Context, args []string) error {
	if len(args) != 2 {
		return errors.New("delete needs KIND and NAME")
	}
	var accepted admin.ObjectBody
	header := http.Header{"X-Attempt-Id": {uuid.NewString()}}
	if err := c.operate(ctx, http.MethodDelete, resourcePath(args[0], args[1]), header, nil, &accepted); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.stdout, "%s/%s deleted at revision %d\n", args[0], args[1], accepted.Revision)
	return err
}

func (c *commands) watchExec(after *uint64) func(context.Context, []string) error {
	return func(ctx context.Context, _ []string) error {
		last := *after
		for ctx.Err() == nil {
			var answer struct {
				Changes []admin.ObjectBody `json:"changes"`
			}
			path := fmt.Sprintf("/v1/changes?after=%d&wait=20", last)
			if err := c.operate(ctx, http.MethodGet, path, nil, nil, &answer); err != nil {
				return err
			}
			for _, change := range answer.Changes {
				last = uint64(change.Revision)
				verb := "applied"
				if change.Deleted {
					verb = "deleted"
				}
				fmt.Fprintf(c.stdout, "%d\t%s\t%s\t%s\n", change.Revision, verb, change.Kind, change.Name)
			}
		}
		return nil
	}
}

func (c *commands) status(ctx context.Context, _ []string) error {
	var status statusBody
	if err := c.operate(ctx, http.MethodGet, "/v1/status", nil, nil, &status); err != nil {
		return err
	}
	if *c.output != "table" {
		return c.printEncoded(status)
	}
	for _, router := range status.Routers {
		fmt.Fprintf(c.stdout, "%s\t%s\trevision %d\n", router.Instance, router.Zone, router.Revision)
	}
	return nil
}

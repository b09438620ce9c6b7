package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"gentianhead/core/version/resource"
	"gentianhead/fleet/request/admin"
)

const (
	// waitInterval is the time between two looks at the status during --wait.
	waitInterval = 200 * time.Millisecond
	// defaultWait is how long --wait waits unless --timeout says otherwise.
	defaultWait = 16 * time.Second
)

// errNotInForce means that a change was accepted but is not known to be in
// force on every router.
var errNotInForce = errors.New("accepted, but not in force everywhere")

// waitOptions say whether to wait until a change is in force, and how long.
type waitOptions struct {
	isWaiting *bool
	timeout   *time.Duration
}

func addWaitFlags(flags *ff.FlagSet) waitOptions {
	return waitOptions{
		isWaiting: flags.BoolLong("wait", "return once the change is in force on every router"),
		timeout:   flags.DurationLong("timeout", defaultWait, "how long to wait"),
	}
}

// waitInForce returns once every router has the revision, or names those that lack it.
func (c *commands) waitInForce(ctx context.Context, revision resource.Revision, options waitOptions) error {
	if !*options.isWaiting || revision == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, *options.timeout)
	defer cancel()
	lacking := []string{"unknown: no status was read"}
	for {
		var status admin.StatusBody
		if err := c.read(ctx, "/v1/status", &status); err == nil {
			lacking = routersLacking(status.Routers, revision)
			if len(lacking) == 0 {
				fmt.Fprintf(c.stderr, "revision %d in force on %d routers\n", revision, len(status.Routers))
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(errNotInForce, "revision %d after %s; lacking: %s", revision, *options.timeout, strings.Join(lacking, ", "))
		case <-time.After(waitInterval):
		}
	}
}

// routersLacking names the routers that are not known to have the revision in force.
func routersLacking(routers []admin.RouterStatus, revision resource.Revision) []string {
	var names []string
	for _, router := range routers {
		switch {
		case router.HasInForce(revision):
		case router.Unreachable:
			names = append(names, router.Instance+" (unreachable)")
		default:
			names = append(names, fmt.Sprintf("%s (revision %d)", router.Instance, router.Revision))
		}
	}
	return names
}

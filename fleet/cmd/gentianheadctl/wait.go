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
	// waitInterval is the polling interval of the status during --wait.
	waitInterval = 200 * time.Millisecond
	// defaultWait is the default of --timeout.
	defaultWait = 16 * time.Second
)

// errNotInForce means that a change was accepted but is not known to be in
// force on every router.
var errNotInForce = errors.New("accepted, but not in force everywhere")

type waitOptions struct {
	isWaiting *bool
	timeout   *time.Duration
}

func addWaitFlags(flags *ff.FlagSet) waitOptions {
	return waitOptions{
		isWaiting: flags.BoolLong("wait", "return once the change is in force on every router"),
		timeout:   flags.DurationLong("timeout", defaultWait, "maximum time to wait"),
	}
}

// waitInForce returns once every router has the revision, or an error with those
// that lack it.
func (c *commands) waitInForce(ctx context.Context, revision resource.Revision, options waitOptions) error {
	if !*options.isWaiting || revision == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, *options.timeout)
	defer cancel()
	missing := []string{"unknown: the status could not be read"}
	for {
		var status admin.StatusBody
		if err := c.read(ctx, "/v1/status", &status); err == nil {
			missing = routersWithout(status.Routers, revision)
			if len(missing) == 0 {
				fmt.Fprintf(c.stderr, "revision %d in force on %d routers\n", revision, len(status.Routers))
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(errNotInForce, "revision %d after %s; missing on: %s", revision, *options.timeout, strings.Join(missing, ", "))
		case <-time.After(waitInterval):
		}
	}
}

// routersWithout returns the routers that are not known to have the revision in force.
func routersWithout(routers []admin.RouterStatus, revision resource.Revision) []string {
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

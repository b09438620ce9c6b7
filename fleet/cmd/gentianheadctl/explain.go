package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"gentianhead/fleet/explain"
)

func (c *commands) explainCommand() *ff.Command {
	return &ff.Command{
		Name:      "explain",
		Usage:     "gentianheadctl explain REQUEST [LOG ...]",
		ShortHelp: "show from the routers' logs what happened to a request, and why",
		LongHelp:  "Reads the logs of all routers from the files or from standard input. A word before\nthe JSON of a line names the line's router, otherwise the file name does.",
		Flags:     ff.NewFlagSet("explain").SetParent(c.flags),
		Exec:      c.explain,
	}
}

func (c *commands) explain(_ context.Context, args []string) error {
	if len(args) == 0 {
		return errors.Wrap(errUsage, "explain needs REQUEST")
	}
	lines, err := c.readLogs(args[1:])
	if err != nil {
		return err
	}
	histories, err := explain.Find(lines, args[0])
	if errors.Is(err, explain.ErrNotFound) {
		return errors.Wrapf(err, "%s in %d lines", args[0], len(lines))
	}
	if err != nil {
		return err
	}
	for _, history := range histories {
		history.Print(c.stdout)
	}
	return nil
}

// readLogs reads the files, or standard input if there are none.
func (c *commands) readLogs(names []string) ([]explain.Line, error) {
	if len(names) == 0 {
		lines, skipped, err := explain.Read("standard input", c.stdin)
		c.warnSkipped("standard input", skipped)
		return lines, err
	}
	var all []explain.Line
	for _, name := range names {
		lines, err := c.readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func (c *commands) readLog(name string) ([]explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "explain")
	}
	defer file.Close()
	lines, skipped, err := explain.Read(name, file)
	c.warnSkipped(name, skipped)
	return lines, err
}

func (c *commands) warnSkipped(name string, skipped int) {
	if skipped > 0 {
		fmt.Fprintf(c.stderr, "gentianheadctl: %s: skipped %d lines that are not router log lines\n", name, skipped)
	}
}

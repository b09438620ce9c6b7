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
		ShortHelp: "tell from the logs of routers what became of a request, and why",
		LongHelp:  "Reads the logs of all routers from the files or from standard input. A word before\nthe JSON of a line names the line's router, else the file does.",
		Flags:     ff.NewFlagSet("explain").SetParent(c.flags),
		Exec:      c.explain,
	}
}

func (c *commands) explain(_ context.Context, args []string) error {
	if len(args) == 0 {
		return errors.Wrap(errUsage, "explain takes a request's id")
	}
	lines, err := c.readLogs(args[1:])
	if err != nil {
		return err
	}
	stories, err := explain.Find(lines, args[0])
	if errors.Is(err, explain.ErrUnknown) {
		return errors.Wrapf(err, "%s in %d lines", args[0], len(lines))
	}
	if err != nil {
		return err
	}
	for _, story := range stories {
		story.Print(c.stdout)
	}
	return nil
}

// readLogs reads the files, or standard input if there are none.
func (c *commands) readLogs(names []string) ([]explain.Line, error) {
	if len(names) == 0 {
		lines, passedOver, err := explain.Read("standard input", c.stdin)
		c.notePassedOver("standard input", passedOver)
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
	lines, passedOver, err := explain.Read(name, file)
	c.notePassedOver(name, passedOver)
	return lines, err
}

func (c *commands) notePassedOver(name string, lines int) {
	if lines > 0 {
		fmt.Fprintf(c.stderr, "gentianheadctl: %s: %d lines are no log lines of a router\n", name, lines)
	}
}

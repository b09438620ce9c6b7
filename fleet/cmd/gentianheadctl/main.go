// Command gentianheadctl is the command-line client for operators, and for callers
// who send test calls.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2
	exitNotInForce     = 3
	exitOutcomeUnknown = 4
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := newCommands(stdin, stdout, stderr).root()
	err := root.Parse(args, ff.WithEnvVarPrefix("GENTIANHEADCTL"))
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprint(stdout, ffhelp.Command(root.GetSelected()))
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(stderr, "gentianheadctl: %v\n\n%s", err, ffhelp.Command(root))
		return exitUsage
	}
	err = root.Run(ctx)
	if err != nil {
		fmt.Fprintf(stderr, "gentianheadctl: %v\n", err)
	}
	if errors.Is(err, ff.ErrNoExec) {
		fmt.Fprint(stderr, ffhelp.Command(root))
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, ff.ErrNoExec), errors.Is(err, errUsage), errors.Is(err, errNotChecked):
		return exitUsage
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case errors.Is(err, errOutcomeUnknown):
		return exitOutcomeUnknown
	}
	return exitFailed
}

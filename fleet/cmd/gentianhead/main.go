// Command gentianhead is the router.
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

	"gentianhead/fleet/process/node"
	"gentianhead/fleet/process/settings"
	"gentianhead/fleet/process/telemetry"
	"gentianhead/fleet/process/version"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	root := rootCommand(stdout, stderr)
	err := root.Parse(args, ff.WithEnvVarPrefix("GENTIANHEAD"))
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprint(stdout, ffhelp.Command(root.GetSelected()))
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(stderr, "gentianhead: %v\n\n%s", err, ffhelp.Command(root))
		return exitUsage
	}
	if err := root.Run(context.Background()); err != nil {
		fmt.Fprintf(stderr, "gentianhead: %v\n", err)
		if errors.Is(err, ff.ErrNoExec) {
			fmt.Fprint(stderr, ffhelp.Command(root))
			return exitUsage
		}
		return exitFailed
	}
	return exitOK
}

func rootCommand(stdout, stderr io.Writer) *ff.Command {
	flags := ff.NewFlagSet("gentianhead")
	path := flags.StringLong("settings", "gentianhead.yaml", "settings file")
	return &ff.Command{
		Name:      "gentianhead",
		Usage:     "gentianhead [--settings FILE] serve|check|version",
		ShortHelp: "routes chats and service calls to endpoints",
		Flags:     flags,
		Subcommands: []*ff.Command{
			{
				Name:      "serve",
				Usage:     "gentianhead --settings FILE serve",
				ShortHelp: "run the router until SIGTERM or SIGINT",
				Exec:      func(ctx context.Context, _ []string) error { return serve(ctx, *path, stderr) },
			},
			{
				Name:      "check",
				Usage:     "gentianhead --settings FILE check",
				ShortHelp: "check the settings file and open no port",
				Exec:      func(context.Context, []string) error { return check(*path, stdout) },
			},
			{
				Name:      "version",
				Usage:     "gentianhead version",
				ShortHelp: "print the version",
				Exec: func(context.Context, []string) error {
					_, err := fmt.Fprintln(stdout, "gentianhead", version.Version)
					return err
				},
			},
		},
	}
}

func serve(ctx context.Context, path string, stderr io.Writer) error {
	stop, hurry := signalContexts(ctx)
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	n, err := node.New(s, telemetry.NewLogger(stderr, s.Log.Level, s.Log.Format))
	if err != nil {
		return err
	}
	return n.Run(stop, hurry)
}

// signalContexts returns a context that ends with the first SIGTERM or SIGINT
// and one that ends with the second. A third ends the process by the runtime's
// default.
func signalContexts(ctx context.Context) (stop, hurry context.Context) {
	stop, cancelStop := context.WithCancel(ctx)
	hurry, cancelHurry := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancelStop()
		<-signals
		cancelHurry()
		signal.Stop(signals)
	}()
	return stop, hurry
}

func check(path string, stdout io.Writer) error {
	if _, err := settings.Load(path); err != nil {
		return err
	}
	_, err := fmt.Fprintln(stdout, path+": ok")
	return err
}

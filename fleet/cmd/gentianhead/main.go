// Command gentianhead runs the router.
package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"gentianhead/fleet/process/hosted"
	"gentianhead/fleet/process/node"
	"gentianhead/fleet/process/settings"
	"gentianhead/fleet/process/telemetry"
	"gentianhead/fleet/process/version"
	"gentianhead/platform"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const longHelp = `gentianhead accepts chats and service calls from callers and sends them to
endpoints that operators declare with gentianheadctl.

Getting started:

  gentianhead --settings router.yaml check     reports the first invalid line, if any
  gentianhead --settings router.yaml serve     runs until SIGTERM or SIGINT

If the environment variable ` + platform.SettingsPathEnv + ` is set, serve and check use the
platform's settings file that it names and ignore --settings.

Every flag can be set as an environment variable: GENTIANHEAD_SETTINGS,
GENTIANHEAD_LOG_LEVEL, GENTIANHEAD_LOG_FORMAT. Flags override the environment,
and both override the settings file. docs/settings.example.yaml lists every key.

Exit codes: 0 success; 1 failure: invalid settings, a port in use, or requests
aborted by a shutdown; 2 invalid command line.`

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
	options := &options{
		path:      flags.StringLong("settings", "gentianhead.yaml", "settings file"),
		logLevel:  flags.StringEnumLong("log-level", "overrides log.level: "+strings.Join(settings.LogLevels(), ", "), append([]string{""}, settings.LogLevels()...)...),
		logFormat: flags.StringEnumLong("log-format", "overrides log.format: "+strings.Join(settings.LogFormats(), ", "), append([]string{""}, settings.LogFormats()...)...),
	}
	showVersion := flags.BoolLong("version", "print the version")
	return &ff.Command{
		Name:      "gentianhead",
		Usage:     "gentianhead [--settings FILE] serve|check|version",
		ShortHelp: "routes chats and service calls to endpoints",
		LongHelp:  longHelp,
		Exec: func(context.Context, []string) error {
			if *showVersion {
				return printVersion(stdout)
			}
			return ff.ErrNoExec
		},
		Flags: flags,
		Subcommands: []*ff.Command{
			{
				Name:      "serve",
				Usage:     "gentianhead --settings FILE serve",
				ShortHelp: "run the router until SIGTERM or SIGINT",
				Exec:      func(ctx context.Context, _ []string) error { return serve(ctx, options, stdout, stderr) },
			},
			{
				Name:      "check",
				Usage:     "gentianhead --settings FILE check",
				ShortHelp: "check the settings file without opening a port",
				Exec:      func(context.Context, []string) error { return check(options, stdout) },
			},
			{
				Name:      "version",
				Usage:     "gentianhead version",
				ShortHelp: "print the version",
				Exec:      func(context.Context, []string) error { return printVersion(stdout) },
			},
		},
	}
}

func printVersion(stdout io.Writer) error {
	_, err := fmt.Fprintln(stdout, "gentianhead", version.Version)
	return err
}

type options struct {
	path, logLevel, logFormat *string
}

// load reads the settings file and applies the flags that override it.
func (o *options) load() (*settings.Settings, error) {
	s, err := settings.Load(*o.path)
	if err != nil {
		return nil, err
	}
	s.Log.Level = cmp.Or(*o.logLevel, s.Log.Level)
	s.Log.Format = cmp.Or(*o.logFormat, s.Log.Format)
	return s, nil
}

func serve(ctx context.Context, o *options, stdout, stderr io.Writer) error {
	if path := os.Getenv(platform.SettingsPathEnv); path != "" {
		return serveHosted(ctx, path, o, stdout)
	}
	stop, force := signalContexts(ctx)
	// By default, SIGHUP ends a process with its requests.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s, err := o.load()
	if err != nil {
		return err
	}
	logger := telemetry.NewLogger(stderr, s.Log.Level, s.Log.Format)
	n, err := node.New(s, logger)
	if err != nil {
		return err
	}
	go logHangups(hangups, telemetry.ComponentLogger(logger, "node"))
	return n.Run(stop, force)
}

// serveHosted runs the router with the platform's settings file. Only the first
// stop signal counts: the platform may repeat it during a shutdown, and kills the
// process itself after the grace period.
func serveHosted(ctx context.Context, path string, o *options, stdout io.Writer) error {
	stop, release := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer release()
	// From the first moment on, since by default SIGHUP ends a process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	logs := telemetry.NewAsyncWriter(stdout)
	defer logs.Close()
	logger := telemetry.NewLogger(logs, cmp.Or(*o.logLevel, "info"), cmp.Or(*o.logFormat, "json"))
	r, err := hosted.New(s, logger)
	if err != nil {
		return err
	}
	go reloadOnHangup(hangups, path, r, telemetry.ComponentLogger(logger, "hosted"))
	return r.Run(stop, ctx)
}

// logHangups logs each hangup until the process ends.
func logHangups(hangups <-chan os.Signal, log *slog.Logger) {
	for range hangups {
		log.Warn("SIGHUP was ignored: changed settings take effect at the next start.")
	}
}

// reloadOnHangup reloads the settings file on each hangup until the process ends.
// Invalid settings are ignored.
func reloadOnHangup(hangups <-chan os.Signal, path string, router *hosted.Router, log *slog.Logger) {
	for range hangups {
		s, err := platform.LoadSettings(path)
		if err != nil {
			log.Error("The changed settings are invalid; the previous ones stay in use.", "error", err)
			continue
		}
		router.Reload(s)
	}
}

// signalContexts returns a context that ends with the first SIGTERM or SIGINT
// and one that ends with the second. A third terminates the process by the
// runtime's default.
func signalContexts(ctx context.Context) (stop, force context.Context) {
	stop, cancelStop := context.WithCancel(ctx)
	force, cancelForce := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancelStop()
		<-signals
		cancelForce()
		signal.Stop(signals)
	}()
	return stop, force
}

func check(o *options, stdout io.Writer) error {
	if path := os.Getenv(platform.SettingsPathEnv); path != "" {
		if _, err := platform.LoadSettings(path); err != nil {
			return err
		}
		_, err := fmt.Fprintln(stdout, path+": ok")
		return err
	}
	if _, err := o.load(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(stdout, *o.path+": ok")
	return err
}

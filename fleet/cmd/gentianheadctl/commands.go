package main

import (
	"io"
	"net/http"

	"github.com/peterbourgon/ff/v4"

	"gentianhead/fleet/connection/transport"
)

// commands holds the streams and flags that all commands share.
type commands struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	http           *http.Client

	flags   *ff.FlagSet
	router  *string
	callers *string
	token   *string
	output  *string
}

func newCommands(stdin io.Reader, stdout, stderr io.Writer) *commands {
	flags := ff.NewFlagSet("gentianheadctl")
	return &commands{
		stdin:   stdin,
		stdout:  stdout,
		stderr:  stderr,
		http:    transport.NewClient(),
		flags:   flags,
		router:  flags.StringLong("router", "http://127.0.0.1:8201", "a router's address for operators"),
		callers: flags.StringLong("callers", "http://127.0.0.1:8101", "a router's address for callers"),
		token:   flags.StringLong("token", "", "bearer token: the operators' token, or a client account's for entry and call"),
		output:  flags.StringEnumLong("output", "output format: table, json or yaml", "table", "json", "yaml"),
	}
}

func (c *commands) root() *ff.Command {
	return &ff.Command{
		Name:      "gentianheadctl",
		Usage:     "gentianheadctl [FLAGS] COMMAND ...",
		ShortHelp: "declares resources, shows what is in force, and sends test calls",
		LongHelp:  "Flags can be set as environment variables, such as GENTIANHEADCTL_TOKEN.\nExit codes: 0 success; 1 failure, the named resource was not changed; 2 invalid usage;\n3 accepted, but not in force on every router in time; 4 outcome of a write unknown.\nThose of check: 0 clean; 1 findings of severity error; 2 invalid usage, or a source can't be read.",
		Flags:     c.flags,
		Subcommands: []*ff.Command{
			c.applyCommand(),
			c.checkCommand(),
			c.getCommand(),
			c.deleteCommand(),
			c.watchCommand(),
			c.statusCommand(),
			c.entryCommand(),
			c.callCommand(),
			c.claimsCommand(),
			c.settleCommand(),
			c.explainCommand(),
		},
	}
}

func (c *commands) applyCommand() *ff.Command {
	flags := ff.NewFlagSet("apply").SetParent(c.flags)
	file := flags.String('f', "file", "-", "YAML or JSON file of resources, one per document; - reads standard input")
	wait := addWaitFlags(flags)
	return &ff.Command{
		Name:      "apply",
		Usage:     "gentianheadctl apply -f FILE [--wait]",
		ShortHelp: "create or replace resources",
		Flags:     flags,
		Exec:      c.applyExec(file, wait),
	}
}

func (c *commands) getCommand() *ff.Command {
	return &ff.Command{
		Name:      "get",
		Usage:     "gentianheadctl get [KIND [NAME]]",
		ShortHelp: "show resources in force",
		Flags:     ff.NewFlagSet("get").SetParent(c.flags),
		Exec:      c.get,
	}
}

func (c *commands) deleteCommand() *ff.Command {
	flags := ff.NewFlagSet("delete").SetParent(c.flags)
	wait := addWaitFlags(flags)
	return &ff.Command{
		Name:      "delete",
		Usage:     "gentianheadctl delete KIND NAME [--wait]",
		ShortHelp: "delete a resource",
		Flags:     flags,
		Exec:      c.deleteExec(wait),
	}
}

func (c *commands) watchCommand() *ff.Command {
	flags := ff.NewFlagSet("watch").SetParent(c.flags)
	after := flags.Uint64Long("after", 0, "show changes after this revision")
	return &ff.Command{
		Name:      "watch",
		Usage:     "gentianheadctl watch [--after REVISION]",
		ShortHelp: "print changes as they take effect, until interrupted",
		Flags:     flags,
		Exec:      c.watchExec(after),
	}
}

func (c *commands) statusCommand() *ff.Command {
	return &ff.Command{
		Name:      "status",
		Usage:     "gentianheadctl status",
		ShortHelp: "show which revision is in force on which router",
		Flags:     ff.NewFlagSet("status").SetParent(c.flags),
		Exec:      c.status,
	}
}

func (c *commands) entryCommand() *ff.Command {
	return &ff.Command{
		Name:      "entry",
		Usage:     "gentianheadctl entry CHAT",
		ShortHelp: "show which addresses to use for a chat",
		Flags:     ff.NewFlagSet("entry").SetParent(c.flags),
		Exec:      c.entry,
	}
}

func (c *commands) callCommand() *ff.Command {
	flags := ff.NewFlagSet("call").SetParent(c.flags)
	options := &callOptions{
		model:   flags.StringLong("model", "", "model to chat with"),
		service: flags.StringLong("service", "", "plain service to call instead of a model"),
		path:    flags.StringLong("path", "/", "path of the service call"),
		chat:    flags.StringLong("chat", "", "id of the conversation"),
		key:     flags.StringLong("key", "", "Idempotency-Key of a call that may run at most once"),
		stream:  flags.BoolLong("stream", "stream the answer"),

		maxRetries: flags.IntLong("come-back", 0, "maximum number of retries when refused as not run with Retry-After"),
	}
	return &ff.Command{
		Name:      "call",
		Usage:     "gentianheadctl call --model MODEL [--stream] TEXT\n  gentianheadctl call --service SERVICE --path PATH [--key KEY] BODY",
		ShortHelp: "send a chat or a service call and print the answer",
		Flags:     flags,
		Exec:      c.callExec(options),
	}
}

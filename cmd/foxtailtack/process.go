package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	stdlog "log"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/operator"
)

// processCommand is a command that runs a process with settings of type S until SIGINT or SIGTERM.
type processCommand[S any] struct {
	name     string
	synopsis string
	// usage is the help text that precedes the list of flags.
	usage string
	// defaultPath is the settings file to use if the -settings flag is not given. If it is empty, the flag is required.
	defaultPath string
	load        func(path string) (S, error)
	hostID      func(S) string
	run         func(ctx context.Context, s S, path string, output io.Writer) error
	stdout      io.Writer
	stderr      io.Writer

	path  string
	check bool
}

func (c *processCommand[S]) Name() string     { return c.name }
func (c *processCommand[S]) Synopsis() string { return c.synopsis }
func (c *processCommand[S]) Usage() string    { return c.usage }

func (c *processCommand[S]) SetFlags(flags *flag.FlagSet) {
	flags.SetOutput(c.stderr)
	settingsHelp := "settings file (required)"
	if c.defaultPath != "" {
		settingsHelp = "settings file; default: the file that the platform names"
	}
	flags.StringVar(&c.path, "settings", c.defaultPath, settingsHelp)
	flags.BoolVar(&c.check, "check", false, "check the settings and exit")
}

func (c *processCommand[S]) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.path == "" {
		_, _ = fmt.Fprintln(c.stderr, "-settings is missing, want the path of a settings file")
		return subcommands.ExitUsageError
	}
	s, err := c.load(c.path)
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, err)
		return operator.ExitInvalid
	}
	if c.check {
		_, _ = fmt.Fprintf(c.stdout, "%s: settings of host %s are valid\n", c.path, c.hostID(s))
		return subcommands.ExitSuccess
	}
	// net/http logs parts of unsolicited responses to the standard logger. Discard them, because they hold data of callers.
	stdlog.SetOutput(io.Discard)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx, s, c.path, c.stdout); err != nil {
		_, _ = fmt.Fprintln(c.stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

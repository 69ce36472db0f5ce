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

// processCommand runs a process with settings of type S until SIGINT or SIGTERM.
type processCommand[S any] struct {
	name     string
	synopsis string
	// usage is the text after the synopsis line.
	usage string
	// defaultPath is the settings file that is used if none is named, or empty.
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
	text := "settings file (required)"
	if c.defaultPath != "" {
		text = "settings file, by default the one that the platform names"
	}
	flags.StringVar(&c.path, "settings", c.defaultPath, text)
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
	// net/http writes parts of answers that nobody asked for to the standard logger; they are data of callers.
	stdlog.SetOutput(io.Discard)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx, s, c.path, c.stdout); err != nil {
		_, _ = fmt.Fprintln(c.stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

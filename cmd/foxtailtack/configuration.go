package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/operator"
	"github.com/foxtailtack/foxtailtack/platform"
)

// configurationCommand checks a configuration of the operators' platform before it is written to the store.
type configurationCommand struct {
	stdin          io.Reader
	stdout, stderr io.Writer
}

func (c *configurationCommand) Name() string { return "check-configuration" }
func (c *configurationCommand) Synopsis() string {
	return "check a configuration of the operators' platform"
}
func (c *configurationCommand) Usage() string {
	return "check-configuration FILE:\n  Print the parts of a configuration that would not take effect, each with its reason; - is standard input.\n"
}
func (c *configurationCommand) SetFlags(flags *flag.FlagSet) { flags.SetOutput(c.stderr) }

func (c *configurationCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		_, _ = fmt.Fprintln(c.stderr, "want one argument, the file with the configuration")
		return subcommands.ExitUsageError
	}
	value, err := c.read(flags.Arg(0))
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, err)
		return subcommands.ExitFailure
	}
	issues, err := platform.CheckConfiguration(value)
	if err != nil {
		_, _ = fmt.Fprintf(c.stdout, "rejected as a whole: %v\n", err)
		return operator.ExitInvalid
	}
	for _, issue := range issues {
		_, _ = fmt.Fprintln(c.stdout, issue)
	}
	if len(issues) > 0 {
		return operator.ExitInvalid
	}
	_, _ = fmt.Fprintln(c.stdout, "valid")
	return subcommands.ExitSuccess
}

func (c *configurationCommand) read(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(c.stdin)
	}
	return os.ReadFile(name)
}

// Package operator implements the operators' command line. Commands change the accepted policy; queries only read. The two
// kinds are in separate files, whose names start with command_ or query_. docs/command-line.md describes the syntax.
package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("operator")

// programName is the name of the program in help texts.
const programName = "foxtailtack"

// Exit statuses.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	// ExitStore means that the store is unavailable or the outcome of a change is unknown.
	ExitStore = 4
	// ExitInvalid means that a policy, the answers of a questionnaire or the settings have errors.
	ExitInvalid = 5
)

// environment holds the standard streams and the generator of change ids for one run of the program.
type environment struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	// newID returns a new change id.
	newID func() string
}

// Main runs the command line args, which doesn't include the program name, and returns the exit status. The extra commands
// are those of other packages, such as the command that runs the entry host process.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer, extra ...subcommands.Command) int {
	env := &environment{stdin: stdin, stdout: stdout, stderr: stderr, newID: uuid.NewString}
	return env.run(context.Background(), args, extra)
}

func (e *environment) run(ctx context.Context, args []string, extra []subcommands.Command) int {
	commands := []subcommands.Command{
		e.policyGroup(), e.shiftGroup(), e.questionnaireGroup(), e.tokenGroup(), e.queryGroup(),
		e.drainCommand(), e.undrainCommand(),
		e.hostsCommand(), e.slotsCommand(), e.backendServersCommand(), e.explainCommand(),
		&versionCommand{env: e},
	}
	return int(e.dispatch(ctx, programName, args, append(commands, extra...)))
}

// dispatch runs the command that the first argument names.
func (e *environment) dispatch(ctx context.Context, name string, args []string, commands []subcommands.Command) subcommands.ExitStatus {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(e.stderr)
	commander := subcommands.NewCommander(flags, name)
	commander.Output, commander.Error = e.stdout, e.stderr
	commander.Explain = func(w io.Writer) { explainCommands(w, name, commands) }
	commander.ExplainCommand = explainCommand
	commander.Register(commander.HelpCommand(), "")
	for _, c := range commands {
		commander.Register(c, "")
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return subcommands.ExitSuccess
		}
		return subcommands.ExitUsageError
	}
	if unknown := unknownCommand(flags.Arg(0), commands); unknown != "" {
		fmt.Fprintf(e.stderr, "usage: %q is not a command of %s\n\n", unknown, name)
	}
	return commander.Execute(ctx)
}

// unknownCommand returns name if no command has this name, and an empty string otherwise. Without this check, the only output
// for a mistyped command is the long list of commands.
func unknownCommand(name string, commands []subcommands.Command) string {
	if name == "" || name == "help" || slices.ContainsFunc(commands, func(c subcommands.Command) bool { return c.Name() == name }) {
		return ""
	}
	return name
}

func explainCommands(w io.Writer, name string, commands []subcommands.Command) {
	fmt.Fprintf(w, "Usage: %s <command> [flags]\n\nCommands:\n", name)
	for _, c := range commands {
		fmt.Fprintf(w, "  %-18s %s\n", c.Name(), c.Synopsis())
	}
	fmt.Fprintf(w, "\n%s help <command> describes a command and its flags.\n", name)
}

func explainCommand(w io.Writer, c subcommands.Command) {
	fmt.Fprint(w, c.Usage())
	flags := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	c.SetFlags(flags)
	flags.SetOutput(w)
	flags.PrintDefaults()
}

// commandGroup is a command with subcommands, such as policy.
type commandGroup struct {
	env      *environment
	name     string
	synopsis string
	commands []subcommands.Command
}

func (g *commandGroup) Name() string             { return g.name }
func (g *commandGroup) Synopsis() string         { return g.synopsis }
func (g *commandGroup) SetFlags(f *flag.FlagSet) { f.SetOutput(g.env.stderr) }

func (g *commandGroup) Usage() string {
	text := g.name + " <command> [flags]: " + g.synopsis + "\n"
	for _, c := range g.commands {
		text += fmt.Sprintf("  %-10s %s\n", c.Name(), c.Synopsis())
	}
	return text
}

func (g *commandGroup) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return g.env.dispatch(ctx, programName+" "+g.name, f.Args(), g.commands)
}

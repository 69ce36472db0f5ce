package operator

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/result"
)

const (
	outputText = "text"
	outputJSON = "json"

	// defaultTimeout is long enough for a command that the entry host repeats after a conflict: it first waits for the policy
	// that was accepted instead.
	defaultTimeout = 15 * time.Second
)

// anyArguments is the argumentCount of commands with one or more arguments.
const anyArguments = -1

// leafCommand is a command without subcommands.
type leafCommand struct {
	env      *environment
	name     string
	synopsis string
	// usage names the arguments after the flags in help texts and errors.
	usage string
	// argumentCount is the number of arguments after the flags, or anyArguments for one or more.
	argumentCount int
	// contactsEntryHost is true if the command sends requests to an entry host. Such a command has the flags for the connection.
	contactsEntryHost bool
	// registerFlags registers the flags that only this command has. It may be nil.
	registerFlags func(*flag.FlagSet)
	run           func(context.Context, *commandInvocation) error

	invocation commandInvocation
}

// commandInvocation holds the common flags and the arguments of one run of a leafCommand.
type commandInvocation struct {
	env            *environment
	adminAddresses string
	tokenFile      string
	timeout        time.Duration
	output         string
	args           []string
}

func (l *leafCommand) Name() string     { return l.name }
func (l *leafCommand) Synopsis() string { return l.synopsis }

func (l *leafCommand) Usage() string {
	text := l.name + " [flags]"
	if l.usage != "" {
		text += " " + l.usage
	}
	return text + ":\n  " + l.synopsis + ".\nFlags:\n"
}

func (l *leafCommand) SetFlags(f *flag.FlagSet) {
	f.SetOutput(l.env.stderr)
	l.invocation = commandInvocation{env: l.env}
	f.StringVar(&l.invocation.output, "output", outputText, "format of the output: text or json")
	if l.contactsEntryHost {
		f.StringVar(&l.invocation.adminAddresses, "admin", "", "administration addresses (IP:port) of entry hosts, separated by commas; the next is tried when one cannot be reached (required)")
		f.StringVar(&l.invocation.tokenFile, "token-file", "", "file with the operator token (required)")
		f.DurationVar(&l.invocation.timeout, "timeout", defaultTimeout, "longest time for the whole command")
	}
	if l.registerFlags != nil {
		l.registerFlags(f)
	}
}

func (l *leafCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c := &l.invocation
	c.args = f.Args()
	err := l.validate(c)
	if err == nil {
		err = l.run(ctx, c)
	}
	return subcommands.ExitStatus(c.reportError(err))
}

func (l *leafCommand) validate(c *commandInvocation) error {
	if !slices.Contains([]string{outputText, outputJSON}, c.output) {
		return usageError("-output is %q, want text or json", c.output)
	}
	if err := l.validateArguments(c.args); err != nil {
		return err
	}
	if l.contactsEntryHost && c.adminAddresses == "" {
		return usageError("-admin is missing, want the administration address (IP:port) of at least one entry host")
	}
	if l.contactsEntryHost && c.timeout <= 0 {
		return usageError("-timeout is %s, want more than 0s", c.timeout)
	}
	return nil
}

func (l *leafCommand) validateArguments(args []string) error {
	for _, a := range args[min(1, len(args)):] {
		if strings.HasPrefix(a, "-") && a != "-" {
			return usageError("flag %s comes after %s, want all flags before it", a, args[0])
		}
	}
	if len(args) == l.argumentCount || l.argumentCount == anyArguments && len(args) > 0 {
		return nil
	}
	if l.argumentCount == 0 {
		return usageError("%q is not a flag, want flags only", args[0])
	}
	return usageError("%d arguments after the flags, want %s", len(args), l.usage)
}

// commandLineError is an error in the flags or arguments of the command line.
type commandLineError struct{ message string }

func (u *commandLineError) Error() string { return u.message }

func usageError(format string, args ...any) error {
	return &commandLineError{message: fmt.Sprintf(format, args...)}
}

// exitStatus returns the exit status for a result code.
func exitStatus(code result.Code) int {
	switch code {
	case result.OK:
		return ExitOK
	case result.VersionConflict:
		return ExitConflict
	case result.StoreUnavailable, result.StoreOutcomeUnknown:
		return ExitStore
	case result.InvalidPolicy:
		return ExitInvalid
	default:
		return ExitFailed
	}
}

package operator

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

// versionCommand is the command that prints the version of the program.
type versionCommand struct{ env *environment }

func (*versionCommand) Name() string               { return "version" }
func (*versionCommand) Synopsis() string           { return "print the version of the program" }
func (*versionCommand) Usage() string              { return "version:\n  print the version of the program.\n" }
func (v *versionCommand) SetFlags(f *flag.FlagSet) { f.SetOutput(v.env.stderr) }

func (v *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Fprintf(v.env.stdout, "%s %s\n", programName, buildVersion())
	return subcommands.ExitSuccess
}

// buildVersion returns the module version that the Go toolchain recorded, followed by the commit if it is known.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version
}

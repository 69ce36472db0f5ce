package main

import (
	"context"
	"flag"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/standin/measure"
)

// measureCommand runs the measurements.
type measureCommand struct {
	deployment string
	seconds    int
	options    measure.Options
}

func (*measureCommand) Name() string     { return "measure" }
func (*measureCommand) Synopsis() string { return "run the measurements on loopback" }
func (*measureCommand) Usage() string {
	return "standin measure [-deployment NAME] [-scenario NAME] [-out DIR] [-seconds N] [-seed N] [-dir DIR]\n"
}

func (c *measureCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.deployment, "deployment", "", "folder under deployments/; default is both")
	flags.StringVar(&c.options.Scenario, "scenario", "", "one scenario; default is all")
	flags.StringVar(&c.options.Out, "out", "docs/measurements", "folder of the pages")
	flags.StringVar(&c.options.Dir, "dir", "", "folder for settings and logs; default is a new temporary one")
	flags.IntVar(&c.seconds, "seconds", 8, "length of a run in seconds")
	flags.Uint64Var(&c.options.Seed, "seed", 1, "seed of the times at which requests are sent")
}

func (c *measureCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(context.Background(), c.run(ctx))
}

func (c *measureCommand) run(ctx context.Context) error {
	var err error
	if c.options.Entry, c.options.Standin, err = binaries(); err != nil {
		return err
	}
	if c.options.Dir == "" {
		if c.options.Dir, err = os.MkdirTemp("", "foxtailtack-measure-"); err != nil {
			return err
		}
	}
	c.options.Deployments = []string{"molinos-del-llano", "matkalaukkukahva"}
	if c.deployment != "" {
		c.options.Deployments = []string{c.deployment}
	}
	c.options.Window = time.Duration(c.seconds) * time.Second
	c.options.Command = "./bin/standin " + strings.Join(os.Args[1:], " ")
	c.options.Commit = commit(ctx)
	step("settings and logs: %s", c.options.Dir)
	return measure.Run(ctx, c.options)
}

// commit returns the commit of the working copy, and says if the working copy differs from it.
func commit(ctx context.Context) string {
	head, err := exec.CommandContext(ctx, "git", "rev-parse", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	id := strings.TrimSpace(string(head))
	changed, err := exec.CommandContext(ctx, "git", "status", "--porcelain", "--untracked-files=no").Output()
	if err == nil && len(changed) > 0 {
		id += " with uncommitted changes"
	}
	return id
}

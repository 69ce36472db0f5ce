package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/standin/capacity"
)

// capacityCommand measures the slopes of docs/CAPACITY.md.
type capacityCommand struct {
	out, dir, remark string
	settle, window   time.Duration
}

func (*capacityCommand) Name() string     { return "capacity" }
func (*capacityCommand) Synopsis() string { return "measure how cost grows with the deployment" }
func (*capacityCommand) Usage() string {
	return "standin capacity [-out DIR] [-window D]: write the tables of docs/CAPACITY.md\n"
}

func (c *capacityCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.out, "out", "docs/measurements", "folder for capacity.md")
	flags.StringVar(&c.dir, "dir", "", "folder for settings and logs; default is a new temporary one, removed at the end")
	flags.StringVar(&c.remark, "remark", "", "sentence on the machine and the other work on it")
	flags.DurationVar(&c.settle, "settle", 3*time.Second, "time between the joins of all hosts and a measurement")
	flags.DurationVar(&c.window, "window", 20*time.Second, "length of a measurement")
}

func (c *capacityCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(ctx, c.run(ctx))
}

func (c *capacityCommand) run(ctx context.Context) error {
	entry, standin, err := binaries()
	if err != nil {
		return err
	}
	if c.dir == "" {
		if c.dir, err = os.MkdirTemp("", "foxtailtack-capacity-"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(c.dir) }()
	}
	report, err := capacity.Run(ctx, capacity.Options{
		Entry: entry, Standin: standin, Dir: c.dir, Settle: c.settle, Window: c.window, Log: step,
	})
	if err != nil {
		return err
	}
	path, err := report.Write(c.out, c.remark)
	if err != nil {
		return err
	}
	step("wrote %s", path)
	return nil
}

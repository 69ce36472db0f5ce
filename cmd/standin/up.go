package main

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/standin/fleet"
)

// upTimeout bounds the start of a deployment.
const upTimeout = time.Minute

// upCommand keeps a deployment running on loopback until it is interrupted, for trying the operators' commands.
type upCommand struct {
	answers string
	dir     string
}

func (*upCommand) Name() string     { return "up" }
func (*upCommand) Synopsis() string { return "keep a deployment running until interrupted" }
func (*upCommand) Usage() string    { return "standin up [-answers FILE] [-dir DIR]\n" }

func (c *upCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.answers, "answers", defaultAnswers, "answers of the questionnaire")
	flags.StringVar(&c.dir, "dir", "", "folder for settings and logs; default is a new temporary one")
}

func (c *upCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(ctx, c.run(ctx))
}

func (c *upCommand) run(ctx context.Context) error {
	starting, cancel := context.WithTimeout(ctx, upTimeout)
	defer cancel()
	deployment, err := startFromAnswers(starting, c.answers, c.dir)
	if err != nil {
		return err
	}
	defer deployment.Stop()
	if err := firstPolicy(starting, deployment); err != nil {
		return err
	}
	control, err := serveControl(ctx, deployment)
	if err != nil {
		return err
	}
	printAccess(deployment, control)
	<-ctx.Done()
	return nil
}

// printAccess prints what the operators' commands and callers need.
func printAccess(deployment *fleet.Fleet, control string) {
	fmt.Printf("ADMIN=%s\n", strings.Join(deployment.AdminAddresses(), ","))
	fmt.Printf("TOKEN_FILE=%s\n", deployment.TokenPath())
	fmt.Printf("CALLERS=%s\n", strings.Join(deployment.CallerAddresses(""), ","))
	fmt.Printf("PLATFORM=%s\n", deployment.PlatformURL)
	fmt.Printf("CONTROL=%s\n", control)
	fmt.Printf("PAYING_TOKEN=%s\nMEMBER_TOKEN=%s\n", fleet.PayingToken, fleet.MemberToken)
	step("running until interrupted; settings and logs: %s", deployment.Options.Dir)
}

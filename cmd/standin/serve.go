package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/standin/backendserver"
	"github.com/foxtailtack/foxtailtack/internal/standin/platform"
)

// platformCommand serves the stand-in for the platform's key-value service and host list.
type platformCommand struct{ listen string }

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "serve the key-value service and the host list" }
func (*platformCommand) Usage() string    { return "standin platform -listen IP:PORT\n" }

func (c *platformCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "127.0.0.1:8500", "IP address and port")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	server := &http.Server{Addr: c.listen, Handler: platform.New(), ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return exitStatus(ctx, server.ListenAndServe())
}

// backendCommand serves the stand-in for a backend server.
type backendCommand struct {
	listen  string
	options backendserver.Options
}

func (*backendCommand) Name() string     { return "backend" }
func (*backendCommand) Synopsis() string { return "serve a backend server" }
func (*backendCommand) Usage() string {
	return "standin backend -listen IP:PORT [-slots N] [-service-time D]\n"
}

func (c *backendCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "127.0.0.1:9000", "IP address and port")
	flags.StringVar(&c.options.ID, "id", "backend", "id in answers")
	flags.IntVar(&c.options.Slots, "slots", 3, "requests that run at once")
	flags.DurationVar(&c.options.ServiceTime, "service-time", 10*time.Millisecond, "time of a request")
	flags.DurationVar(&c.options.Jitter, "jitter", 0, "largest time added to the service time")
	flags.DurationVar(&c.options.ColdFor, "cold-for", 0, "time after the start with a longer service time")
	flags.Float64Var(&c.options.ColdFactor, "cold-factor", 1, "factor on the service time while cold")
	flags.DurationVar(&c.options.CancelDelay, "cancel-delay", 0, "time for which a cancelled request keeps its slot")
	flags.BoolVar(&c.options.RunOverload, "run-overload", false, "run requests beyond the slots instead of refusing them")
}

func (c *backendCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	server := backendserver.New(c.options)
	if err := server.Start(c.listen); err != nil {
		return exitStatus(ctx, err)
	}
	<-ctx.Done()
	return exitStatus(ctx, server.Close())
}

// exitStatus reports an error unless the process was asked to stop.
func exitStatus(ctx context.Context, err error) subcommands.ExitStatus {
	if err == nil || ctx.Err() != nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

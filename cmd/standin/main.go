// Command standin runs the stand-ins for the platform and the backend servers, the demo and the measurements. It is not
// shipped.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&platformCommand{}, "stand-ins")
	subcommands.Register(&backendCommand{}, "stand-ins")
	subcommands.Register(&demoCommand{}, "deployments on loopback")
	subcommands.Register(&upCommand{}, "deployments on loopback")
	subcommands.Register(&measureCommand{}, "deployments on loopback")
	subcommands.Register(&capacityCommand{}, "deployments on loopback")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}

package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/gateway"
	"github.com/foxtailtack/foxtailtack/internal/operator"
	"github.com/foxtailtack/foxtailtack/internal/settings"
	"github.com/foxtailtack/foxtailtack/internal/telemetry"
	"github.com/foxtailtack/foxtailtack/platform"
)

// gatewayCommand runs an entry host on the operators' platform until SIGINT or SIGTERM.
type gatewayCommand struct {
	path   string
	check  bool
	stdout io.Writer
	stderr io.Writer
}

func (*gatewayCommand) Name() string     { return "gateway" }
func (*gatewayCommand) Synopsis() string { return "run an entry host on the operators' platform" }
func (*gatewayCommand) Usage() string {
	return "gateway [-settings FILE] [-check]:\n  Run an entry host on the operators' platform until SIGINT or SIGTERM, and stop it without cutting requests.\nFlags:\n"
}

func (c *gatewayCommand) SetFlags(flags *flag.FlagSet) {
	flags.SetOutput(c.stderr)
	flags.StringVar(&c.path, "settings", os.Getenv(platform.SettingsVariable), "settings file, by default the one that the platform names")
	flags.BoolVar(&c.check, "check", false, "check the settings and exit")
}

func (c *gatewayCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.path == "" {
		_, _ = fmt.Fprintln(c.stderr, "-settings is missing, want the path of a settings file")
		return subcommands.ExitUsageError
	}
	s, err := settings.LoadGateway(c.path)
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, err)
		return operator.ExitInvalid
	}
	if c.check {
		_, _ = fmt.Fprintf(c.stdout, "%s: settings of host %s are valid\n", c.path, s.HostID)
		return subcommands.ExitSuccess
	}
	if err := runGateway(ctx, s, c.path, c.stdout); err != nil {
		_, _ = fmt.Fprintln(c.stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func runGateway(ctx context.Context, s *settings.Gateway, path string, output io.Writer) error {
	lines := telemetry.NewAsyncWriter(output)
	defer lines.Close()
	log, err := telemetry.NewLogger(lines, s.Log.Level)
	if err != nil {
		return err
	}
	// net/http writes parts of answers that nobody asked for to the standard logger; they are data of callers.
	stdlog.SetOutput(io.Discard)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	watchReload(ctx, path, log)
	store := platform.NewStore(s.StoreAddress)
	process, err := gateway.New(gateway.Options{
		Settings: s, Dialect: platform.Dialect{}, Paths: gateway.Paths{Lookup: platform.LookupPath, Ready: platform.ReadyPath},
		Store: store, Registrar: store, Log: log, DroppedLines: lines.Dropped,
	})
	if err != nil {
		return err
	}
	return process.Run(ctx)
}

// watchReload reads the settings again at each SIGHUP. Addresses and bounds of a running process do not change; a file that
// asks for it takes effect at the next start.
func watchReload(ctx context.Context, path string, log zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			}
			_, err := settings.LoadGateway(path)
			log.Info().AnErr("error", err).Msg("settings_reloaded")
		}
	}()
}

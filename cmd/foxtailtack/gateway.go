package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/gateway"
	"github.com/foxtailtack/foxtailtack/internal/settings"
	"github.com/foxtailtack/foxtailtack/internal/telemetry"
	"github.com/foxtailtack/foxtailtack/platform"
)

// gatewayCommand returns the command that runs an entry host on the operators' platform.
func gatewayCommand(stdout, stderr io.Writer) *processCommand[*settings.Gateway] {
	return &processCommand[*settings.Gateway]{
		name:        "gateway",
		synopsis:    "run an entry host on the operators' platform",
		usage:       "gateway [-settings FILE] [-check]:\n  Run an entry host on the operators' platform until SIGINT or SIGTERM, and stop it without cutting requests.\nFlags:\n",
		defaultPath: os.Getenv(platform.SettingsVariable),
		load:        settings.LoadGateway,
		hostID:      func(s *settings.Gateway) string { return s.HostID },
		run:         runGateway,
		stdout:      stdout,
		stderr:      stderr,
	}
}

func runGateway(ctx context.Context, s *settings.Gateway, path string, output io.Writer) error {
	logWriter := telemetry.NewAsyncWriter(output)
	defer logWriter.Close()
	log, err := telemetry.NewLogger(logWriter, s.Log.Level)
	if err != nil {
		return err
	}
	checkSettingsOnSIGHUP(ctx, path, log)
	store := platform.NewStore(s.StoreAddress)
	store.LogTo(log)
	process, err := gateway.New(gateway.Options{
		Settings: s, Dialect: platform.Dialect{}, Paths: gateway.Paths{Lookup: platform.LookupPath, Ready: platform.ReadyPath},
		Store: store, Registrar: store, Log: log, DroppedLines: logWriter.Dropped,
	})
	if err != nil {
		return err
	}
	return process.Run(ctx)
}

// checkSettingsOnSIGHUP loads the settings file at each SIGHUP and logs whether it is valid. It doesn't apply the file, because
// the addresses and limits of a running process don't change. Changes of the file take effect at the next start.
func checkSettingsOnSIGHUP(ctx context.Context, path string, log zerolog.Logger) {
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

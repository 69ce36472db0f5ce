package main

import (
	"context"
	"io"

	"github.com/foxtailtack/foxtailtack/internal/entry"
	"github.com/foxtailtack/foxtailtack/internal/settings"
	"github.com/foxtailtack/foxtailtack/internal/telemetry"
)

// entryCommand returns the command that runs an entry host with the product's own interface.
func entryCommand(stdout, stderr io.Writer) *processCommand[*settings.Settings] {
	return &processCommand[*settings.Settings]{
		name:     "entry",
		synopsis: "run the entry host process",
		usage:    "entry -settings FILE [-check]:\n  Run the entry host process until SIGINT or SIGTERM, and stop it without cutting requests.\nFlags:\n",
		load:     settings.Load,
		hostID:   func(s *settings.Settings) string { return s.HostID },
		run:      runEntry,
		stdout:   stdout,
		stderr:   stderr,
	}
}

func runEntry(ctx context.Context, s *settings.Settings, _ string, output io.Writer) error {
	log, err := telemetry.NewLogger(output, s.Log.Level)
	if err != nil {
		return err
	}
	process, err := entry.Provision(s, log)
	if err != nil {
		return err
	}
	return process.Run(ctx)
}

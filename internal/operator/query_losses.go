package operator

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/losses"
)

// defaultLossWindow is the default length of the windows of query losses.
const defaultLossWindow = 2 * time.Second

// queryGroup returns the commands that analyze what entry hosts on the operators' platform did or would do.
func (e *environment) queryGroup() *commandGroup {
	return &commandGroup{env: e, name: "query", synopsis: "analyze the logs and decisions of entry hosts", commands: []subcommands.Command{e.lossesCommand(), e.placementCommand()}}
}

func (e *environment) lossesCommand() subcommands.Command {
	var plotFile string
	var window time.Duration
	return &leafCommand{
		env: e, name: "losses", usage: "FILE...", argumentCount: anyArguments,
		synopsis: "show which requests were late, rejected or failed, and why, from logs of foxtailtack gateway; - is standard input",
		registerFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&plotFile, "plot", "", "also draw the losses over time to this SVG file")
			flags.DurationVar(&window, "window", defaultLossWindow, "length of the windows")
		},
		run: func(_ context.Context, c *commandInvocation) error {
			if window <= 0 {
				return usageError("-window is %s, want more than 0s", window)
			}
			log, err := c.readLogs()
			if err != nil {
				return err
			}
			c.reportMalformedLines(log)
			if len(log.Requests) == 0 {
				return usageError("none of the %d lines is the log line of a request", log.Lines)
			}
			report := losses.Analyze(log.Requests, window)
			if plotFile != "" {
				if err := writeLossPlot(plotFile, report); err != nil {
					return err
				}
			}
			return c.print(report, report.Print)
		},
	}
}

// readLogs reads the files that the arguments name.
func (c *commandInvocation) readLogs() (*losses.Log, error) {
	log := &losses.Log{}
	for _, name := range c.args {
		if err := c.readLog(log, name); err != nil {
			return nil, err
		}
	}
	return log, nil
}

func (c *commandInvocation) readLog(log *losses.Log, name string) error {
	var r io.Reader = c.env.stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return usageError("a file cannot be read: %v", err)
		}
		defer func() { _ = file.Close() }()
		r = file
	}
	return log.Read(name, r)
}

// reportMalformedLines prints to standard error how many lines were read and which of them could not be decoded.
func (c *commandInvocation) reportMalformedLines(log *losses.Log) {
	fmt.Fprintf(c.env.stderr, "lines: %d, requests: %d, malformed: %d\n", log.Lines, len(log.Requests), log.Malformed)
	for _, problem := range log.Problems {
		fmt.Fprintf(c.env.stderr, "malformed: %s\n", problem)
	}
}

func writeLossPlot(name string, report *losses.Report) error {
	var document bytes.Buffer
	if err := report.WritePlot(&document); err != nil {
		return err
	}
	return Error.Wrap(os.WriteFile(name, document.Bytes(), 0o644))
}

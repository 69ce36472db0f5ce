package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/standin/fleet"
	"github.com/foxtailtack/foxtailtack/internal/standin/load"
)

// defaultAnswers are the answers of the smaller delays.
const defaultAnswers = "deployments/matkalaukkukahva/answers.toml"

// demoTimeout bounds the demo.
const demoTimeout = 55 * time.Second

// demoCommand starts a deployment on loopback, sends requests of all ranks and changes the configuration under load.
type demoCommand struct {
	answers string
	dir     string
	load    time.Duration
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run a whole deployment on loopback" }
func (*demoCommand) Usage() string    { return "standin demo [-answers FILE] [-dir DIR]\n" }

func (c *demoCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.answers, "answers", defaultAnswers, "answers of the questionnaire")
	flags.StringVar(&c.dir, "dir", "", "folder for settings and logs; default is a new temporary one")
	flags.DurationVar(&c.load, "load", 10*time.Second, "time for which requests are sent")
}

func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	return exitStatus(context.Background(), c.run(ctx))
}

func (c *demoCommand) run(ctx context.Context) error {
	deployment, err := startFromAnswers(ctx, c.answers, c.dir)
	if err != nil {
		return err
	}
	defer deployment.Stop()
	if err := firstPolicy(ctx, deployment); err != nil {
		return err
	}
	return c.session(ctx, deployment)
}

// startFromAnswers generates a deployment from answers and starts it in a folder, or a new one if dir is empty.
func startFromAnswers(ctx context.Context, answers, dir string) (*fleet.Fleet, error) {
	entry, standin, err := binaries()
	if err != nil {
		return nil, err
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "foxtailtack-"); err != nil {
			return nil, err
		}
	}
	step("generate the deployment of %s", answers)
	doc, err := generate(ctx, entry, answers, filepath.Join(dir, "generated"))
	if err != nil {
		return nil, err
	}
	deployment, err := fleet.Start(ctx, fleet.Options{
		Dir: dir, Entry: entry, Standin: standin, Document: doc, StoreRegion: doc.Regions[0].Name,
		ServiceTime: serviceTimes(doc, demoServiceTime), TraceSample: demoTraceSample,
	})
	if err != nil {
		return nil, err
	}
	step("started 1 platform stand-in, %d backend servers and %d entry hosts", len(deployment.Backends), len(deployment.Hosts))
	return deployment, nil
}

// demoServiceTime and demoTraceSample hold for the demo and for a deployment that is kept running.
const (
	demoServiceTime = 20 * time.Millisecond
	demoTraceSample = 0.05
)

// firstPolicy has the deployment's policy accepted and waits until all entry hosts use their slots.
func firstPolicy(ctx context.Context, deployment *fleet.Fleet) error {
	if err := operate(ctx, deployment, "policy", "apply", "-reason", "first policy", "-base", "0"); err != nil {
		return err
	}
	if err := deployment.WaitVersion(ctx, 1); err != nil {
		return err
	}
	if err := deployment.WaitReady(ctx); err != nil {
		return err
	}
	step("version 1 is in force and every entry host uses its slots")
	return nil
}

// session sends requests of all ranks and changes the configuration meanwhile.
func (c *demoCommand) session(ctx context.Context, deployment *fleet.Fleet) error {
	streams, err := demoStreams(deployment)
	if err != nil {
		return err
	}
	results := make(chan []*load.Stats, 1)
	go func() { results <- load.Run(ctx, streams, c.load) }()
	time.Sleep(c.load / 3)
	if err := c.changeUnderLoad(ctx, deployment); err != nil {
		return err
	}
	stats := <-results
	step("results by rank")
	load.WriteTable(os.Stdout, stats)
	if err := showTrace(deployment); err != nil {
		return err
	}
	return verdict(deployment, stats)
}

// changeUnderLoad drains a backend server with the operators' command and waits until the version is in force everywhere.
func (c *demoCommand) changeUnderLoad(ctx context.Context, deployment *fleet.Fleet) error {
	started := time.Now()
	server := deployment.Document.BackendServers[0].ID
	if err := operateArgs(ctx, deployment, []string{"drain"}, "-reason", "demo", server); err != nil {
		return err
	}
	if err := deployment.WaitVersion(ctx, 2); err != nil {
		return err
	}
	step("backend server %s drains: version 2 is in force on all %d entry hosts after %d ms", server, len(deployment.Hosts), time.Since(started).Milliseconds())
	return nil
}

func verdict(deployment *fleet.Fleet, stats []*load.Stats) error {
	totals, err := deployment.BackendTotals()
	if err != nil {
		return err
	}
	lost := 0
	for _, s := range stats {
		lost += s.Unknown + s.Other
	}
	step("backend servers ran %d requests, %d over their slots, %d keys twice", totals.Executions, totals.Overload, len(totals.Duplicates))
	if lost > 0 || totals.Overload > 0 || len(totals.Duplicates) > 0 {
		return fmt.Errorf("%d requests were lost", lost)
	}
	step("logs: %s/*.log; metrics: http://ADMIN_ADDRESS/metrics and traces: http://ADMIN_ADDRESS/traces while it runs", deployment.Options.Dir)
	return nil
}

// binaries returns the two programs, which stand in one folder.
func binaries() (entry, standin string, err error) {
	standin, err = os.Executable()
	if err != nil {
		return "", "", err
	}
	entry = filepath.Join(filepath.Dir(standin), "foxtailtack")
	if _, err := os.Stat(entry); err != nil {
		return "", "", fmt.Errorf("run make build first: %w", err)
	}
	return entry, standin, nil
}

// generate makes the policy from answers with the shipped command.
func generate(ctx context.Context, entry, answers, dir string) (*policy.Document, error) {
	output, err := exec.CommandContext(ctx, entry, "questionnaire", "generate", "-file", answers, "-out", dir).CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("questionnaire generate: %w: %s", err, output)
	}
	text, err := os.ReadFile(filepath.Join(dir, "policy.toml"))
	if err != nil {
		return nil, err
	}
	return policy.Decode(text)
}

// operate runs a policy command of the operators' command line with the deployment's policy file.
func operate(ctx context.Context, deployment *fleet.Fleet, group, name string, arguments ...string) error {
	return operateArgs(ctx, deployment, []string{group, name}, append(arguments, "-file", deployment.PolicyPath())...)
}

func operateArgs(ctx context.Context, deployment *fleet.Fleet, command []string, arguments ...string) error {
	all := append(command, "-admin", strings.Join(deployment.AdminAddresses(), ","), "-token-file", deployment.TokenPath())
	all = append(all, arguments...)
	fmt.Printf("$ foxtailtack %s\n", strings.Join(all, " "))
	output, err := exec.CommandContext(ctx, deployment.Options.Entry, all...).CombinedOutput()
	fmt.Print(indent(string(output)))
	if err != nil {
		return fmt.Errorf("foxtailtack %s: %w", strings.Join(command, " "), err)
	}
	return nil
}

func indent(text string) string {
	var out strings.Builder
	for line := range strings.Lines(text) {
		out.WriteString("  " + line)
	}
	return out.String()
}

func step(format string, args ...any) {
	fmt.Printf("- "+format+"\n", args...)
}

func serviceTimes(doc *policy.Document, d time.Duration) map[string]time.Duration {
	times := map[string]time.Duration{}
	for _, s := range doc.Services {
		times[s.Name] = d
	}
	return times
}

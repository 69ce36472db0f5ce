package measure

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// ErrMissed says that a target was missed or a scenario ended with an error.
var ErrMissed = errors.New("a target was missed")

// Run runs the scenarios of all deployments and writes a page for each. It returns ErrMissed if a target was missed.
func Run(ctx context.Context, o Options) error {
	if err := checkScenario(o.Scenario); err != nil {
		return err
	}
	missed := false
	for _, deployment := range o.Deployments {
		o.loadBefore = loadAverage()
		began := time.Now()
		reports, err := runDeployment(ctx, o, deployment)
		if err != nil {
			return err
		}
		if err := savePage(o, deployment, began, reports); err != nil {
			return err
		}
		missed = missed || anyMissed(reports)
	}
	if missed {
		return ErrMissed
	}
	return nil
}

func checkScenario(name string) error {
	var names []string
	for _, s := range scenarios() {
		if name == "" || s.name == name {
			return nil
		}
		names = append(names, s.name)
	}
	return fmt.Errorf("no scenario %q; there are %s", name, strings.Join(names, ", "))
}

func runDeployment(ctx context.Context, o Options, deployment string) ([]*report, error) {
	var reports []*report
	for _, s := range scenarios() {
		if o.Scenario != "" && s.name != o.Scenario {
			continue
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		began := time.Now()
		r := runScenario(ctx, o, deployment, s)
		reports = append(reports, r)
		progress(deployment, r, time.Since(began))
	}
	return reports, nil
}

// runScenario starts a deployment of its own for a scenario. An error is part of the report, so that the other scenarios run.
func runScenario(ctx context.Context, o Options, deployment string, s scenario) *report {
	failed := &report{name: s.name, title: s.title}
	dir := filepath.Join(o.Dir, deployment, s.name)
	d, err := generate(ctx, o.Entry, deployment, dir)
	if err != nil {
		failed.err = err
		return failed
	}
	e, err := startEnv(ctx, o, d, dir, s)
	if err != nil {
		failed.err = err
		return failed
	}
	defer e.fleet.Stop()
	e.report.err = errors.Join(s.run(ctx, e), e.check())
	return e.report
}

func progress(deployment string, r *report, took time.Duration) {
	fmt.Printf("- %s, %s: %d s, %d targets, %d missed\n", deployment, r.name, int(took.Seconds()), len(r.targets), len(missed(r)))
	for _, t := range missed(r) {
		fmt.Printf("  missed: %s: %s, want %s\n", t.name, t.measured, t.bound)
	}
	if r.err != nil {
		fmt.Printf("  error: %v\n", r.err)
	}
}

func missed(r *report) []target {
	var list []target
	for _, t := range r.targets {
		if !t.met {
			list = append(list, t)
		}
	}
	return list
}

func anyMissed(reports []*report) bool {
	for _, r := range reports {
		if r.err != nil || len(missed(r)) > 0 {
			return true
		}
	}
	return false
}

func savePage(o Options, deployment string, began time.Time, reports []*report) error {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(o.Out, deployment+".md"))
	if err != nil {
		return err
	}
	writePage(file, o, deployment, began, reports)
	return file.Close()
}

// loadAverage returns the machine's load averages; other work on the machine shows there.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}

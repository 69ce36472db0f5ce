package measure

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/load"
)

// pauseBetweenRuns lets the smoothed use of slots fall before the next run. A run ends with its last answer.
const pauseBetweenRuns = time.Second

// measure sends the streams for a time while action runs, and adds the run to the report.
func (e *env) measure(ctx context.Context, name string, streams []load.Stream, duration time.Duration, action func() error) (run, error) {
	sampler := e.startSampler(ctx)
	failed := make(chan error, 1)
	go func() {
		if action == nil {
			failed <- nil
			return
		}
		failed <- action()
	}()
	stats := load.Run(ctx, streams, duration)
	r := run{name: name, stats: stats, samples: sampler.stop()}
	// The action writes to the report too.
	err := <-failed
	e.report.runs = append(e.report.runs, r)
	e.report.fact("Answers by entry host: "+name, "%s", e.byHost(r))
	time.Sleep(pauseBetweenRuns)
	return r, err
}

// byHost lists the answers of all work to the flooded service by entry host, with the slots of it that the host may use.
func (e *env) byHost(r run) string {
	counts := map[string]int{}
	for _, s := range r.stats {
		if s.Name == lookupsName {
			continue
		}
		for host, n := range s.Hosts {
			counts[host] += n
		}
	}
	var parts []string
	for _, h := range e.fleet.Document.Hosts {
		usable, _, err := e.fleet.HostSlots(h.ID, e.flooded().Name)
		if err == nil {
			parts = append(parts, fmt.Sprintf("%s %d (%d slots)", h.ID, counts[h.ID], usable))
		}
	}
	return strings.Join(parts, ", ")
}

// check adds the targets that hold in every scenario: slots, keys, answers.
func (e *env) check() error {
	totals, err := e.fleet.BackendTotals()
	if err != nil {
		return err
	}
	a := e.ledger.audit(totals.ByKey)
	e.report.fact("Executions on backend servers", "%d", totals.Executions)
	e.report.fact("Requests with a key (payments, paid orders, other work that may not be repeated)", "%s", a)
	e.report.atMost("Requests over the slots of a backend server", float64(totals.Overload), 0, "")
	e.report.atMost("Keys that ran more than once", float64(max(a.Duplicates, len(totals.Duplicates))), 0, "")
	e.report.atMost("Keys refused as not run that ran", float64(a.FalseNotRun), 0, "")
	if len(e.lost) == 0 {
		e.report.atMost("Keys answered that did not run", float64(a.AnsweredUnrun), 0, "")
	}
	e.report.atMost("Answers to another request", float64(e.sum(func(s *load.Stats) int { return s.Crossed })), 0, "")
	return nil
}

// sum adds a count over all runs and streams.
func (e *env) sum(count func(*load.Stats) int) int {
	total := 0
	for _, r := range e.report.runs {
		for _, s := range r.stats {
			total += count(s)
		}
	}
	return total
}

// uncut adds the target that planned work cuts no request.
func (e *env) uncut() {
	e.report.atMost("Cut requests", float64(e.sum(func(s *load.Stats) int { return s.Cut })), 0, "")
	e.report.atMost("Requests with an unknown outcome or a fault", float64(e.sum(func(s *load.Stats) int { return s.Unknown + s.Other })), 0, "")
}

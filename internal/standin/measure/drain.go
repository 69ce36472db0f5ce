package measure

import (
	"context"
	"net/url"
	"time"
)

// drainBound is the time from the first notice after which a leaving backend server may get no new work.
const drainBound = 3 * time.Second

// drainWatch is the time for which a leaving backend server is watched for new work, beyond the bound.
const drainWatch = 5 * time.Second

// executionPoll is the time between two looks at the executions of a backend server, and so the resolution of the drain time.
const executionPoll = 20 * time.Millisecond

// notice is a way in which a backend server says that it is leaving.
type notice struct {
	name string
	give func(e *env, server string) error
}

func notices() []notice {
	return []notice{
		{"host list", func(e *env, id string) error { return e.fleet.ListHost(id, "leaving") }},
		{"health endpoint", func(e *env, id string) error {
			return e.fleet.BackendSwitch(id, "drain", url.Values{"on": {"true"}, "notice": {"health"}})
		}},
		{"answer header", func(e *env, id string) error {
			return e.fleet.BackendSwitch(id, "drain", url.Values{"on": {"true"}, "notice": {"answers"}})
		}},
	}
}

// runDrain drains one backend server by each notice, each in a failure domain of its own, under load.
func runDrain(ctx context.Context, e *env) error {
	for i, n := range notices() {
		server := e.fleet.Snapshot().BackendServersIn(e.domain(i, 0), e.first().Name)[0].ID
		_, err := e.measure(ctx, "drain by "+n.name, e.drainStreams(), e.options.Window, func() error {
			time.Sleep(e.options.Window / 5)
			return e.drainOne(n, server)
		})
		if err != nil {
			return err
		}
	}
	e.uncut()
	return nil
}

// drainOne gives the notice and adds the time until the last new execution.
func (e *env) drainOne(n notice, server string) error {
	noticed := time.Now()
	if err := n.give(e, server); err != nil {
		return err
	}
	last, running, err := e.lastExecution(server, noticed, noticed.Add(drainBound+drainWatch))
	if err != nil {
		return err
	}
	e.report.atMost("Time from the notice by "+n.name+" until the last new execution", last.Seconds(), drainBound.Seconds(), " s")
	e.report.fact("Drain time by "+n.name+" (notice until the last running request ended)", "%.2f s", running.Seconds())
	return nil
}

// lastExecution watches a backend server and returns the times of its last new execution and of its last running request.
func (e *env) lastExecution(server string, noticed, until time.Time) (last, running time.Duration, err error) {
	executions := -1
	for time.Now().Before(until) {
		stats, err := e.fleet.BackendStats(server)
		if err != nil {
			return 0, 0, err
		}
		if executions >= 0 && stats.Executions > executions {
			last = time.Since(noticed)
		}
		if stats.InUse > 0 {
			running = time.Since(noticed)
		}
		executions = stats.Executions
		time.Sleep(executionPoll)
	}
	return last, running, nil
}

package measure

import (
	"context"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/load"
)

// inForceBound is the time in which an accepted configuration has to be in force on every reachable host.
const inForceBound = 3 * time.Second

// runSteady sends work of all ranks to both services and changes the configuration under load.
func runSteady(ctx context.Context, e *env) error {
	_, err := e.measure(ctx, "steady", e.mixed(), e.options.Window, func() error { return e.changeUnderLoad(ctx, 5) })
	if err != nil {
		return err
	}
	e.report.fact("Normal work by the capacity of the second service, from the peaks of the answers", "%s", e.shares)
	return nil
}

// changeUnderLoad drains and returns a backend server in turn and keeps the longest time until the version is in force.
func (e *env) changeUnderLoad(ctx context.Context, changes int) error {
	server := e.backends(func(string) bool { return true })[0]
	longest := time.Duration(0)
	for i := range changes {
		command := "drain"
		if i%2 == 1 {
			command = "undrain"
		}
		took, err := e.change(ctx, command, server)
		if err != nil {
			return err
		}
		longest = max(longest, took)
		time.Sleep(e.options.Window / time.Duration(2*changes))
	}
	e.report.atMost("Time from the start of a change until it is in force on all hosts, longest of several", longest.Seconds(), inForceBound.Seconds(), " s")
	return nil
}

// answered adds the fact how much of the offered work was answered in time.
func (e *env) answered() {
	offered := e.sum(func(s *load.Stats) int { return s.Sent })
	inTime := e.sum(func(s *load.Stats) int { return s.InTime })
	e.report.fact("Share of the offered work answered in time", "%.4f", ratio(float64(inTime), float64(offered)))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

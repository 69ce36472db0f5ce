package measure

import "context"

// scenario is one measurement on a deployment of its own.
type scenario struct {
	name, title string
	// roundRobin starts the entry hosts without ranks.
	roundRobin bool
	run        func(context.Context, *env) error
}

// scenarios lists all measurements in the order of the page.
func scenarios() []scenario {
	return []scenario{
		{name: "steady", title: "Steady state, path through one entry host, frozen load reports", run: inTurn(runSteady, runDirect, runFrozenReports)},
		{name: "free-flood", title: "Flood of free work", run: runFreeFlood},
		{name: "urgent-flood", title: "Flood of urgent work", run: runUrgentFlood},
		{name: "round-robin", title: "Baseline without ranks (round robin)", roundRobin: true, run: runRoundRobin},
		{name: "lose-domain", title: "Loss of a failure domain", run: runLoseDomain},
		{name: "lose-region", title: "Loss of a region", run: runLoseRegion},
		{name: "stop", title: "Planned stop of entry hosts", run: inTurn(runStopInTurn, runStopDomain)},
		{name: "drain", title: "Planned drain of a backend server", run: runDrain},
		{name: "store-outage", title: "Store outage of 20 s", run: runStoreOutage},
		{name: "silence", title: "Silent connections", run: runSilence},
		{name: "shift", title: "Planned shift between regions", run: runShift},
		{name: "partition", title: "Partitioned failure domain", run: runPartition},
		{name: "hot-domain", title: "Overload of one failure domain while the others are idle", run: runHotDomain},
	}
}

// inTurn runs measurements on the same deployment.
func inTurn(steps ...func(context.Context, *env) error) func(context.Context, *env) error {
	return func(ctx context.Context, e *env) error {
		for _, step := range steps {
			if err := step(ctx, e); err != nil {
				return err
			}
		}
		e.uncut()
		e.answered()
		return nil
	}
}

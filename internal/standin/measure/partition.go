package measure

import (
	"context"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/load"
)

// runPartition cuts a failure domain from all others and from the store while its own callers go on.
func runPartition(ctx context.Context, e *env) error {
	cut := e.domain(1, 0)
	streams := e.partitionStreams(cut)
	_, err := e.measure(ctx, "partition of "+cut, streams, e.options.Window, func() error {
		time.Sleep(e.options.Window / 4)
		e.fleet.Isolate(cut)
		return nil
	})
	if err != nil {
		return err
	}
	during, err := e.measure(ctx, "during the partition", streams, e.options.Window, nil)
	if err != nil {
		return err
	}
	healed := time.Now()
	e.fleet.Cut(nil)
	took, err := e.change(ctx, "drain", e.backends(func(d string) bool { return d == cut })[0])
	if err != nil {
		return err
	}
	e.report.fact("After the partition: change in force on all hosts", "%.2f s after the command, %.2f s after the cut ended", took.Seconds(), time.Since(healed).Seconds())
	inside := during.stream("inside urgent")
	e.report.atLeast("Urgent work of the partitioned failure domain's own callers answered in time", ratio(float64(inside.InTime), float64(inside.Sent)), urgentShare, "")
	return nil
}

// partitionStreams sends a part of what the failure domain can serve from its own callers, and the normal work from the others.
func (e *env) partitionStreams(cut string) []load.Stream {
	share := e.slotShare(cut)
	inside := e.normal(share, e.domainCallers(cut, 0))
	for i := range inside {
		inside[i].Name = "inside " + inside[i].Name
	}
	var outsideCallers []*load.Caller
	for i, d := range e.fleet.Document.FailureDomains {
		if d.Name != cut {
			outsideCallers = append(outsideCallers, e.domainCallers(d.Name, 10+10*i)...)
		}
	}
	outside := e.normal(1-share, outsideCallers)
	for i := range outside {
		outside[i].Name = "outside " + outside[i].Name
	}
	return append(inside, outside...)
}

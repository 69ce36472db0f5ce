package measure

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/load"
)

// Parameters of the planned shift: the share of the source's work that moves and the share of the destination's slots that is
// the cap.
const (
	shiftFraction = 0.8
	shiftCapShare = 0.2
)

// shiftPoll is the time between two samples of the requests that run in the destination.
const shiftPoll = 10 * time.Millisecond

// runShift moves a part of the lookups of one region to another. Only callers of the source send, at less than its capacity,
// so that all work in the destination is shifted work.
func runShift(ctx context.Context, e *env) error {
	from, to := e.fleet.Document.Regions[0].Name, e.fleet.Document.Regions[1].Name
	service := e.first().Name
	slots := e.fleet.Snapshot().SlotsIn(to, service)
	limit := int(shiftCapShare * float64(slots))
	rate := 0.5 * float64(e.fleet.Snapshot().SlotsIn(from, service)) / e.fleet.Options.ServiceTime[service].Seconds()
	lookups := e.lookups(0, e.regionCallers(from, 0))
	lookups.Rate = rate
	running := atomic.Int64{}
	sampling, stop := context.WithCancel(ctx)
	defer stop()
	go e.sampleRunning(sampling, e.backendsOf(to, service), &running)
	_, err := e.measure(ctx, "shift", []load.Stream{lookups}, e.options.Window*3/2, func() error {
		time.Sleep(e.options.Window / 5)
		e.report.fact("Most requests at once in the destination before the shift", "%d", running.Load())
		_, err := e.change(ctx, "shift", "start", "-service", service, "-from", from, "-to", to,
			"-fraction", fmt.Sprint(shiftFraction), "-cap", fmt.Sprint(limit), "-ramp", (e.options.Window / 4).String(), "-id", "measured")
		return err
	})
	if err != nil {
		return err
	}
	e.report.fact("Slots of the destination", "%d", slots)
	e.report.atMost("Shifted requests that run at once in the destination (sampled each 10 ms)", float64(running.Load()), float64(limit), "")
	e.report.atLeast("Shifted requests that run at once in the destination, to show that the shift took effect", float64(running.Load()), 1, "")
	e.uncut()
	e.answered()
	return nil
}

func (e *env) backendsOf(region, service string) []string {
	var ids []string
	for _, b := range e.fleet.Document.BackendServers {
		if b.Service == service && e.fleet.Snapshot().Region(b.FailureDomain) == region {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// sampleRunning keeps the largest number of requests that ran at once on the backend servers.
func (e *env) sampleRunning(ctx context.Context, servers []string, largest *atomic.Int64) {
	for ctx.Err() == nil {
		sum := int64(0)
		for _, id := range servers {
			n, err := e.fleet.BackendLoad(id)
			if err != nil {
				continue
			}
			sum += int64(n)
		}
		largest.Store(max(largest.Load(), sum))
		time.Sleep(shiftPoll)
	}
}

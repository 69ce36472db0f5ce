package measure

import (
	"context"
	"fmt"

	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/standin/load"
)

// floodFactors are the rates of the flood in multiples of the capacity of the service.
var floodFactors = []float64{2, 5, 10}

// floodSource is the first source address of the callers that send a flood.
const floodSource = 100

// floodName is the stream of a flood; the other streams have the names of their ranks.
const floodName = "flood"

// floodLeadIn is the time until the flood has filled the queues. Answers before that do not count for the floors, because
// not every rank has work waiting at each host yet.
const floodLeadIn = requestTimeout

// Bounds for the urgent work during a flood of free work, against the same work without the flood.
const (
	urgentShare   = 0.999
	urgentSlowing = 1.2
)

// runFreeFlood floods the service with deferrable work of a few callers without credentials.
func runFreeFlood(ctx context.Context, e *env) error {
	normal := e.normal(1, e.callers(0))
	calm, err := e.measure(ctx, "without a flood", normal, e.options.Window, nil)
	if err != nil {
		return err
	}
	for _, factor := range floodFactors {
		flooded, err := e.flood(ctx, factor, rank.Deferrable, normal)
		if err != nil {
			return err
		}
		if factor == 10 {
			e.compareUrgent(calm, flooded)
		}
	}
	return nil
}

func (e *env) flood(ctx context.Context, factor float64, r rank.Rank, others []load.Stream) (run, error) {
	rate := factor * e.capacity(e.flooded().Name)
	flood := e.stream(floodName, e.flooded(), r, rate, e.callers(floodSource))
	streams := append([]load.Stream{flood}, others...)
	for i := range streams {
		streams[i].LeadIn = floodLeadIn
	}
	return e.measure(ctx, fmt.Sprintf("%g times the capacity", factor), streams, e.options.Window, nil)
}

// compareUrgent adds the targets for urgent work. The two runs send at the same times, but the share is taken of the work
// offered in each, so that a late generator does not count against the system.
func (e *env) compareUrgent(calm, flooded run) {
	before, during := calm.stream("urgent"), flooded.stream("urgent")
	share := ratio(ratio(float64(during.InTime), float64(during.Sent)), ratio(float64(before.InTime), float64(before.Sent)))
	slowing := ratio(millis(during.Quantile(0.99)), millis(before.Quantile(0.99)))
	e.report.atLeast("Urgent work answered in time during a 10-times free flood, as a share of that without the flood", share, urgentShare, "")
	e.report.atMost("p99 of urgent work during a 10-times free flood, as a multiple of that without the flood", slowing, urgentSlowing, "")
}

// otherShares are the shares of the capacity that the other ranks offer during a flood of urgent work. They are above the
// floors of both deployments.
var otherShares = [rank.Count]float64{rank.Urgent: 0, rank.Interactive: 0.7, rank.Deferrable: 0.5}

// runUrgentFlood floods the service with urgent work while the other ranks offer more than their floors.
func runUrgentFlood(ctx context.Context, e *env) error {
	callers := e.callers(0)
	var others []load.Stream
	for _, r := range []rank.Rank{rank.Interactive, rank.Deferrable} {
		others = append(others, e.stream(r.String(), e.flooded(), r, otherShares[r]*e.capacity(e.flooded().Name), callers))
	}
	for _, factor := range floodFactors {
		flooded, err := e.flood(ctx, factor, rank.Urgent, others)
		if err != nil {
			return err
		}
		if factor == 10 {
			e.floors(flooded)
		}
	}
	return nil
}

// floors adds the targets that each other rank keeps its floor. All work holds a slot for the same time, so while every slot
// is in use a rank's share of the answers is its share of the slots. The share of what the slots could run without any time
// between two requests is reported besides. Answers of the lead-in do not count.
func (e *env) floors(flooded run) {
	capacity := e.capacity(e.flooded().Name) * (e.options.Window - floodLeadIn).Seconds()
	ran := 0
	for _, s := range flooded.stats {
		ran += s.WithinRun
	}
	for _, r := range []rank.Rank{rank.Interactive, rank.Deferrable} {
		answered := float64(flooded.stream(r.String()).WithinRun)
		name := fmt.Sprintf("Share of the slots in use by %s work during a 10-times urgent flood", r)
		e.report.atLeast(name, ratio(answered, float64(ran)), e.flooded().Ranks.Of(r).Floor, "")
		e.report.fact(fmt.Sprintf("Answers to %s work by the capacity of all slots", r), "%.3f", answered/capacity)
	}
	e.report.fact("Answers to all work by the capacity of all slots", "%.3f", float64(ran)/capacity)
}

// runRoundRobin repeats the floods on entry hosts without ranks. It has no targets of its own.
func runRoundRobin(ctx context.Context, e *env) error {
	normal := e.normal(1, e.callers(0))
	if _, err := e.measure(ctx, "without a flood", normal, e.options.Window, nil); err != nil {
		return err
	}
	for _, r := range []rank.Rank{rank.Deferrable, rank.Urgent} {
		if _, err := e.flood(ctx, 10, r, normal); err != nil {
			return err
		}
		last := &e.report.runs[len(e.report.runs)-1]
		last.name = fmt.Sprintf("%s flood, %s", r, last.name)
	}
	return nil
}

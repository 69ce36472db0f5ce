package measure

import (
	"context"
	"net/url"
	"time"
)

// outage is the length of the store outage.
const outage = 20 * time.Second

// runStoreOutage stops the store under load. A change during the outage has to be refused, one after it accepted.
func runStoreOutage(ctx context.Context, e *env) error {
	_, err := e.measure(ctx, "store outage", e.mixed(), outage+e.options.Window/2, func() error {
		return e.outage(ctx)
	})
	if err != nil {
		return err
	}
	e.uncut()
	e.answered()
	return nil
}

func (e *env) outage(ctx context.Context) error {
	server := e.backends(func(string) bool { return true })[0]
	time.Sleep(e.options.Window / 10)
	if err := e.fleet.PlatformSwitch("down", url.Values{"mode": {"refuse"}}); err != nil {
		return err
	}
	began := time.Now()
	time.Sleep(outage / 4)
	refused := e.operate(ctx, "drain", server)
	accepted := 0.0
	if refused == nil {
		accepted = 1
	}
	e.report.atMost("Changes accepted during the outage", accepted, 0, "")
	if refused != nil {
		e.report.fact("Change during the outage", "refused: `%s`", oneLine(refused.Error()))
	}
	time.Sleep(time.Until(began.Add(outage)))
	if err := e.fleet.PlatformSwitch("down", url.Values{"mode": {"off"}}); err != nil {
		return err
	}
	took, err := e.change(ctx, "drain", server)
	if err != nil {
		return err
	}
	e.report.atMost("Time from the start of the first change after the outage until it is in force on all hosts", took.Seconds(), inForceBound.Seconds(), " s")
	return nil
}

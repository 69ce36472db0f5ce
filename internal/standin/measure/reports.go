package measure

import (
	"context"
	"net/url"
	"time"
)

// runFrozenReports freezes the load reports of all backend servers under load and raises the load.
func runFrozenReports(ctx context.Context, e *env) error {
	callers := e.callers(0)
	calm, err := e.measure(ctx, "true reports", append(e.normal(1.5, callers), e.lookups(0.3, callers)), e.options.Window, nil)
	if err != nil {
		return err
	}
	frozen, err := e.measure(ctx, "frozen reports", append(e.normal(1.5, callers), e.lookups(0.3, callers)), e.options.Window, func() error {
		time.Sleep(e.options.Window / 10)
		return e.switchAll("load/freeze", nil)
	})
	if err != nil {
		return err
	}
	before, during := calm.stream("urgent"), frozen.stream("urgent")
	e.report.fact("p99 of urgent work with frozen reports, as a multiple of that with true reports", "%.3f", ratio(millis(during.Quantile(0.99)), millis(before.Quantile(0.99))))
	return e.switchAll("load/true", nil)
}

// switchAll uses a switch of all backend servers.
func (e *env) switchAll(path string, parameters url.Values) error {
	for _, id := range e.backends(func(string) bool { return true }) {
		if err := e.fleet.BackendSwitch(id, path, parameters); err != nil {
			return err
		}
	}
	return nil
}

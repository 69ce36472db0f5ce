package measure

import (
	"context"
	"fmt"
	"time"
)

// stopTimeout bounds the time of a planned stop; stop_timeout_ms of the deployments is 30 s.
const stopTimeout = 35 * time.Second

// runStopInTurn stops two entry hosts of different regions, one after the other.
func runStopInTurn(ctx context.Context, e *env) error {
	first := e.hosts(func(d string) bool { return d == e.domain(0, 0) })[0]
	second := e.hosts(func(d string) bool { return d == e.domain(1, 1) })[0]
	err := e.stopUnderLoad(ctx, "two entry hosts one after the other", func() error {
		if err := e.stopHosts(first); err != nil {
			return err
		}
		return e.stopHosts(second)
	})
	if err != nil {
		return err
	}
	return e.startAgain(ctx, first, second)
}

// startAgain starts stopped entry hosts and waits until they use their slots. Callers of a failure domain whose only entry
// host is stopped would find none for their first look-up.
func (e *env) startAgain(ctx context.Context, ids ...string) error {
	for _, id := range ids {
		if err := e.fleet.StartHost(id); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := e.fleet.WaitReady(ctx); err != nil {
		return err
	}
	return e.waitRamped(ctx)
}

// runStopDomain stops both entry hosts of a failure domain of the third region at once.
func runStopDomain(ctx context.Context, e *env) error {
	both := e.hosts(func(d string) bool { return d == e.domain(2, 0) })
	return e.stopUnderLoad(ctx, "both entry hosts of a failure domain", func() error { return e.stopHosts(both...) })
}

func (e *env) stopUnderLoad(ctx context.Context, name string, stop func() error) error {
	_, err := e.measure(ctx, name, e.mixed(), e.options.Window*3/2, func() error {
		time.Sleep(e.options.Window / 5)
		return stop()
	})
	return err
}

// stopHosts asks entry hosts to stop at the same time and waits until all have ended.
func (e *env) stopHosts(ids ...string) error {
	started := time.Now()
	for _, id := range ids {
		if err := e.fleet.Hosts[id].Terminate(); err != nil {
			return err
		}
	}
	for _, id := range ids {
		if err := e.fleet.Hosts[id].Wait(stopTimeout); err != nil {
			return fmt.Errorf("entry host %s: %w", id, err)
		}
		e.report.fact("Drain time of entry host "+id, "%.2f s from the signal until the process ended", time.Since(started).Seconds())
		if err := e.fleet.ListHost(id, "removed"); err != nil {
			return err
		}
	}
	return nil
}

package measure

import (
	"context"
	"fmt"
	"time"
)

// runSilence makes the open connections between entry hosts silent for good, and then those to the backend servers. New
// connections work. The run after each shows whether service is back.
func runSilence(ctx context.Context, e *env) error {
	callers := e.callers(0)
	streams := append(e.normal(1, callers), e.lookups(0.1, callers))
	events := []struct {
		name    string
		silence func() error
	}{
		{"silent connections between entry hosts", func() error { e.fleet.Relay.Silence(); return nil }},
		{"silent connections to backend servers", e.silenceBackends},
	}
	for _, event := range events {
		_, err := e.measure(ctx, event.name, streams, e.options.Window, func() error {
			time.Sleep(e.options.Window / 4)
			return event.silence()
		})
		if err != nil {
			return err
		}
		after, err := e.measure(ctx, "after "+event.name, streams, e.options.Window/2, nil)
		if err != nil {
			return err
		}
		for _, s := range after.stats {
			e.report.fact(fmt.Sprintf("%s work answered in time after %s", s.Name, event.name), "%.4f of the offered", ratio(float64(s.InTime), float64(s.Sent)))
		}
	}
	took, err := e.change(ctx, "drain", e.backends(func(string) bool { return true })[0])
	if err != nil {
		return err
	}
	e.report.atMost("Time from the start of a change after the silence until it is in force on all hosts", took.Seconds(), inForceBound.Seconds(), " s")
	return nil
}

// silenceBackends makes the open connections to all backend servers silent. A call may get no answer, because its own
// connection is silent too.
func (e *env) silenceBackends() error {
	ids := e.backends(func(string) bool { return true })
	for _, id := range ids {
		go func() { _ = e.fleet.BackendSwitch(id, "silence", nil) }()
	}
	return nil
}

package capacity

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/standin/fleet"
	"github.com/foxtailtack/foxtailtack/platform"
)

const (
	// startTimeout bounds the start of a deployment. 36 entry hosts join within about 10 s on a busy machine.
	startTimeout = 90 * time.Second
	// storeTimeout bounds a call of the platform stand-in.
	storeTimeout = 5 * time.Second
)

// Options says how to measure.
type Options struct {
	// Entry and Standin are the paths of the two programs; Dir is for settings and logs.
	Entry, Standin, Dir string
	// Settle is the time between the joins of all hosts and the measurement, and Window the length of the measurement.
	Settle, Window time.Duration
	// Log takes one line for each step.
	Log func(format string, args ...any)
}

// deployment is a running fleet with the operator's side of its store.
type deployment struct {
	*fleet.Fleet
	shape    shape
	document *policy.Document
	operator *config.Manager
}

// start starts a deployment with a policy in force and all slots in use.
func (o Options) start(ctx context.Context, s shape) (*deployment, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	doc := document(s)
	times := map[string]time.Duration{}
	for _, service := range doc.Services {
		times[service.Name] = 10 * time.Millisecond
	}
	f, err := fleet.Start(ctx, fleet.Options{
		Dir:   filepath.Join(o.Dir, fmt.Sprintf("%dx%d-%d-%d", s.domains, s.hostsPerDomain, s.serversPerDomain, s.blocks)),
		Entry: o.Entry, Standin: o.Standin, Document: doc, StoreRegion: doc.Regions[0].Name, ServiceTime: times,
	})
	if err != nil {
		return nil, err
	}
	d := &deployment{Fleet: f, shape: s, document: doc}
	d.operator = config.NewManager(platform.NewKeys(f.PlatformURL, "foxtailtack/", storeTimeout), nil, zerolog.Nop())
	if err := d.settle(ctx, o.Settle); err != nil {
		f.Stop()
		return nil, err
	}
	return d, nil
}

// settle applies the first policy and waits until each host has joined.
func (d *deployment) settle(ctx context.Context, pause time.Duration) error {
	accepted, err := d.apply(ctx, "first policy")
	if err != nil {
		return err
	}
	if err := d.WaitVersion(ctx, accepted.Version); err != nil {
		return err
	}
	if err := d.WaitReady(ctx); err != nil {
		return err
	}
	return sleep(ctx, pause)
}

// sleep waits for a time, or returns an error when ctx ends, so that an interrupted run stops its processes at once.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// apply has the document accepted as the next version.
func (d *deployment) apply(ctx context.Context, reason string) (config.Accepted, error) {
	base := d.operator.Head().Version
	return d.operator.Apply(ctx, config.Change{
		ID: fmt.Sprintf("change-%d", base+1), Operator: "capacity", Reason: reason, Base: base, Document: d.document,
	})
}

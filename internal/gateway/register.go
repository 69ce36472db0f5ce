package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/wait"
)

const (
	// registrationTTL bounds how long a dead host stays in look-up answers. The platform allows its stability window and three
	// seconds more, 6 s and up.
	registrationTTL = 4 * time.Second
	// renewInterval leaves room for two failed renewals within the lease.
	renewInterval = 1300 * time.Millisecond
	// readerRenewInterval is for hosts that read the store: a failed renewal shows an outage sooner than entries of backend servers
	// can lapse in it, which is after two of their heartbeats, and a good one that news for other hosts is current.
	readerRenewInterval = 800 * time.Millisecond
	// registerBackoff is the time between two tries while the store does not answer.
	registerBackoff = 400 * time.Millisecond
)

// registration keeps the entry of this host in the store.
type registration struct {
	registrar Registrar
	host      *catalog.Host
	// listed reports whether the store's entry of this host was seen since it was written.
	listed func() bool
	// failed and answered are told of calls that show whether the store is away.
	failed   func(ctx context.Context, call string, err error)
	answered func()
	// reads reports whether this host reads the store itself.
	reads func() bool
	log   zerolog.Logger

	lease Lease
	// putAt is the time at which the entry was last written.
	putAt time.Time
}

// run registers the host and renews its lease until ctx ends.
func (r *registration) run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := renewInterval
		if r.reads() {
			interval = readerRenewInterval
		}
		if err := r.step(ctx); err != nil {
			if ctx.Err() == nil {
				r.log.Warn().Uint64("lease", uint64(r.lease)).Err(err).Msg("registration_failed")
			}
			r.failed(ctx, "register", err)
			interval = registerBackoff
		} else {
			r.answered()
		}
		wait.For(ctx, interval)
	}
}

// step renews the lease, or registers anew if the lease has ended or the entry is missing. A lease that is renewed does
// not show that its entry was taken away.
func (r *registration) step(ctx context.Context) error {
	if r.lease == 0 {
		return r.register(ctx)
	}
	err := r.registrar.Renew(ctx, r.lease)
	if errors.Is(err, ErrLeaseEnded) {
		r.log.Info().Uint64("lease", uint64(r.lease)).Msg("lease_ended")
		r.lease = 0
		return r.register(ctx)
	}
	if err != nil {
		return err
	}
	if time.Since(r.putAt) > renewInterval/2 && !r.listed() {
		r.log.Info().Uint64("lease", uint64(r.lease)).Msg("own_entry_missing")
		return r.put(ctx)
	}
	return nil
}

func (r *registration) register(ctx context.Context) error {
	lease, err := r.registrar.Grant(ctx, registrationTTL)
	if err != nil {
		return err
	}
	r.lease = lease
	return r.put(ctx)
}

func (r *registration) put(ctx context.Context) error {
	err := r.registrar.PutHost(ctx, r.host, r.lease)
	if errors.Is(err, ErrLeaseEnded) {
		r.lease = 0
	}
	if err == nil {
		r.putAt = time.Now()
		r.log.Info().Uint64("lease", uint64(r.lease)).Int64("incarnation", int64(r.host.Incarnation)).Msg("registered")
	}
	return err
}

// leave takes the entry away, so that other hosts do not name this one any more.
func (r *registration) leave() {
	if r.lease == 0 {
		return
	}
	err := r.registrar.End(context.Background(), r.lease)
	r.log.Info().Uint64("lease", uint64(r.lease)).AnErr("error", err).Msg("unregistered")
}

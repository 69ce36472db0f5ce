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
	// tellTime is the time from the end of a lease until no host names its owner: the removal, the pause between two watches, a poll of a
	// reader and the ways.
	tellTime = 1200 * time.Millisecond
	// failedRenewals is the time that two renewals without an answer take, with the waits behind them. A lease lasts that much longer than
	// the time between two renewals.
	failedRenewals = 3 * time.Second
	// readerTTL is the lease of hosts that read the store. They renew often anyway, so callers hear soon that one is dead.
	readerTTL = 4 * time.Second
	// settled is the time from which a host knows the others, and with them whether it reads the store.
	settled = 5 * time.Second
	// readerRenewInterval is for hosts that read the store: a failed renewal shows an outage sooner than entries of backend servers
	// can lapse in it, which is after two of their heartbeats, and a good one that news for other hosts is current.
	readerRenewInterval = 800 * time.Millisecond
	// registerBackoff is the time between two tries while the store does not answer.
	registerBackoff = 400 * time.Millisecond
)

// leaseTime returns how long the lease of a host runs. Each renewal is paid for, so the lease of a host that does not read the store is as
// long as a dead host may be named.
func leaseTime(deadHost time.Duration, reader bool) time.Duration {
	longest := deadHost - tellTime
	if reader {
		return min(readerTTL, longest)
	}
	return longest
}

// renewInterval returns the time between two renewals of a lease.
func renewInterval(ttl time.Duration, reads bool) time.Duration {
	if reads {
		return readerRenewInterval
	}
	return max(readerRenewInterval, ttl-failedRenewals)
}

// registration keeps the entry of this host in the store.
type registration struct {
	registrar Registrar
	host      *catalog.Host
	// listed reports whether the store's entry of this host was seen since it was written.
	listed func() bool
	// failed and answered are told of calls that show whether the store is away.
	failed   func(ctx context.Context, call string, err error)
	answered func()
	// deadHost is the longest time for which a dead host may be named.
	deadHost time.Duration
	// reads reports whether this host reads the store now, reader whether that is its role.
	reads, reader func() bool
	log           zerolog.Logger

	lease Lease
	ttl   time.Duration
	// putAt is the time at which the entry was last written.
	putAt time.Time
}

// run registers the host and renews its lease until ctx ends.
func (r *registration) run(ctx context.Context) {
	started := time.Now()
	for ctx.Err() == nil {
		err := r.step(ctx, leaseTime(r.deadHost, r.reader() && time.Since(started) > settled))
		interval := renewInterval(r.ttl, r.reads())
		if err != nil {
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

// step renews the lease, or registers anew if the lease has ended, runs longer than it should, or the entry is missing. A lease that
// is renewed does not show that its entry was taken away.
func (r *registration) step(ctx context.Context, ttl time.Duration) error {
	if r.lease == 0 || r.ttl > ttl {
		return r.register(ctx, ttl)
	}
	err := r.registrar.Renew(ctx, r.lease)
	if errors.Is(err, ErrLeaseEnded) {
		r.log.Info().Uint64("lease", uint64(r.lease)).Msg("lease_ended")
		r.lease = 0
		return r.register(ctx, ttl)
	}
	if err != nil {
		return err
	}
	if time.Since(r.putAt) > readerRenewInterval && !r.listed() {
		r.log.Info().Uint64("lease", uint64(r.lease)).Msg("own_entry_missing")
		return r.put(ctx)
	}
	return nil
}

func (r *registration) register(ctx context.Context, ttl time.Duration) error {
	lease, err := r.registrar.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	r.lease, r.ttl = lease, ttl
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

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
	// removalDelay is the time from the expiry of a lease until no host includes the lease's owner in look-up responses. It is the
	// sum of the removal of the entry, the pause between two watches, a poll of a reader and the transmission times.
	removalDelay = 1200 * time.Millisecond
	// renewalMargin is the time that two renewals without a response take, including the waits after them. The TTL of a lease exceeds
	// the interval between two renewals by this time.
	renewalMargin = 3 * time.Second
	// readerLeaseTTL is the TTL of the leases of hosts that read the store. These hosts renew often for another reason, so a short
	// lease costs nothing more, and look-ups soon omit a dead host.
	readerLeaseTTL = 4 * time.Second
	// roleKnownAfter is the time after the start of the registration from which a host knows the other hosts, and thus whether it is
	// to read the store.
	roleKnownAfter = 5 * time.Second
	// readerRenewInterval is the renewal interval of hosts that read the store. A failed renewal shows a store outage before entries
	// of backend servers can expire in it, which takes two of their heartbeats. A successful renewal shows that the updates that this
	// host sends to other hosts are current.
	readerRenewInterval = 800 * time.Millisecond
	// firstListingWait is the longest time for which the registration waits for the first listing. That shows whether an earlier process of
	// this host is still listed, so that other hosts count it already.
	firstListingWait = 500 * time.Millisecond
	// registerRetryInterval is the time between two registrations or renewals while they fail.
	registerRetryInterval = 400 * time.Millisecond
)

// leaseTTL returns the TTL of the lease of a host. Each renewal is paid for, so the lease of a host that does not read the store
// is as long as look-up responses may include a dead host.
func leaseTTL(maxDeadHostTime time.Duration, isReader bool) time.Duration {
	longest := maxDeadHostTime - removalDelay
	if isReader {
		return min(readerLeaseTTL, longest)
	}
	return longest
}

// renewInterval returns the time between two renewals of a lease.
func renewInterval(ttl time.Duration, readsStore bool) time.Duration {
	if readsStore {
		return readerRenewInterval
	}
	return max(readerRenewInterval, ttl-renewalMargin)
}

// registration maintains the entry of this host in the store.
type registration struct {
	registrar Registrar
	host      *catalog.Host
	// isListed reports whether the known state has this host's entry in the store.
	isListed func() bool
	// isNeededInRegion reports whether the region may have no host while this one stops.
	isNeededInRegion func() bool
	// storeFailed and storeResponded are called after calls to the store, and thus show whether the store is available. era is the
	// one in which the store responded.
	storeFailed    func(ctx context.Context, call string, err error)
	storeResponded func(era catalog.Era)
	// knownEra returns the era of the known state.
	knownEra func() catalog.Era
	// maxDeadHostTime is the longest time for which look-up responses may include a dead host.
	maxDeadHostTime time.Duration
	// readsStore reports whether this host reads the store now; isReader reports whether reading the store is its role.
	readsStore, isReader func() bool
	// configured is closed when the first configuration is in force.
	configured <-chan struct{}
	log        zerolog.Logger

	lease Lease
	ttl   time.Duration
	// putAt is the time at which the entry was last written.
	putAt time.Time
}

// run registers the host and renews its lease until ctx is done.
func (r *registration) run(ctx context.Context) {
	started := time.Now()
	select {
	case <-r.configured:
	case <-time.After(firstListingWait):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		err := r.renewOrRegister(ctx, leaseTTL(r.maxDeadHostTime, r.isReader() && time.Since(started) > roleKnownAfter))
		interval := renewInterval(r.ttl, r.readsStore())
		if err != nil {
			if ctx.Err() == nil {
				r.log.Warn().Uint64("lease", r.lease.ID).Err(err).Msg("registration_failed")
			}
			r.storeFailed(ctx, "register", err)
			interval = registerRetryInterval
		} else {
			r.storeResponded(r.lease.Era)
		}
		wait.For(ctx, interval)
	}
}

// renewOrRegister renews the lease. It registers the host again if the lease has ended or has a longer TTL than allowed, and
// writes the entry again if the entry is missing: a successful renewal does not show that the entry still exists.
func (r *registration) renewOrRegister(ctx context.Context, ttl time.Duration) error {
	if r.lease == (Lease{}) || r.ttl > ttl {
		return r.register(ctx, ttl)
	}
	err := ErrLeaseEnded
	if !r.isLeaseOfEarlierEra() {
		err = r.registrar.Renew(ctx, r.lease)
	}
	if errors.Is(err, ErrLeaseEnded) {
		r.log.Info().Uint64("lease", r.lease.ID).Uint64("era", uint64(r.lease.Era)).Msg("lease_ended")
		r.lease = Lease{}
		return r.register(ctx, ttl)
	}
	if err != nil {
		return err
	}
	if time.Since(r.putAt) > readerRenewInterval && !r.isListed() {
		r.log.Info().Uint64("lease", r.lease.ID).Msg("own_entry_missing")
		return r.putHost(ctx)
	}
	return nil
}

// isLeaseOfEarlierEra reports whether the store was restored after it granted the lease. Its id may belong to another host since.
func (r *registration) isLeaseOfEarlierEra() bool { return r.lease.Era < r.knownEra() }

func (r *registration) register(ctx context.Context, ttl time.Duration) error {
	known := r.knownEra()
	lease, err := r.registrar.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	// The call was made in the era that other hosts have reported, even if the response does not state it.
	lease.Era = max(lease.Era, known)
	r.lease, r.ttl = lease, ttl
	return r.putHost(ctx)
}

func (r *registration) putHost(ctx context.Context) error {
	err := r.registrar.PutHost(ctx, r.host, r.lease)
	if errors.Is(err, ErrLeaseEnded) {
		r.lease = Lease{}
	}
	if err == nil {
		r.putAt = time.Now()
		r.log.Info().Uint64("lease", r.lease.ID).Int64("incarnation", int64(r.host.Incarnation)).Msg("registered")
	}
	return err
}

// unregister ends the lease, which removes the entry, so that other hosts no longer include this host in look-up responses. If its
// region may be left without hosts, it announces the stop before: the other hosts then do not take it for one that has failed, and do not
// direct callers that depend on it to other regions.
func (r *registration) unregister() {
	if r.lease == (Lease{}) || r.isLeaseOfEarlierEra() {
		return
	}
	if r.isNeededInRegion() {
		stopping := *r.host
		stopping.Stopping = true
		if err := r.registrar.PutHost(context.Background(), &stopping, r.lease); err != nil {
			r.log.Warn().Uint64("lease", r.lease.ID).Err(err).Msg("stop_not_announced")
		}
	}
	err := r.registrar.End(context.Background(), r.lease)
	r.log.Info().Uint64("lease", r.lease.ID).AnErr("error", err).Msg("unregistered")
}

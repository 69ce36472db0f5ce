package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/wait"
)

const (
	// maxWatchWait is the longest wait that the store allows for a watch; longer waits need fewer calls.
	maxWatchWait = 30 * time.Second
	// batchPause is the pause after a watch that returned changes. Changes often arrive in bursts and each call is billed. The
	// pause is short compared with the bounds of two seconds and more within which changes have to be in force.
	batchPause = 300 * time.Millisecond
	// minBackoff and maxBackoff limit the time between two calls while the store is unavailable. After the store has recovered, a
	// host has a few seconds until the bounds apply again.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// minLapseOutage is the shortest store outage in which leases of live processes may have expired. A broken watch is replaced
	// in less time.
	minLapseOutage = 500 * time.Millisecond
	// expireInterval is the time between two checks for lapsed entries.
	expireInterval = 200 * time.Millisecond
)

// Follower keeps a State up to date from a store and publishes views of it. It is safe for concurrent use.
type Follower struct {
	store Store
	log   zerolog.Logger
	now   func() time.Time
	view  atomic.Pointer[View]

	mu    sync.Mutex
	state *State
	// subscribers are called with each new view, while mu is held.
	subscribers []func(*View)
	// unavailableSince is the time of the first failed call of an outage, zero while the store responds.
	unavailableSince time.Time
	// confirmedAt is the time up to which the store has confirmed the state: the time of its latest response, or, for a response
	// of another host, the time at which that host received its latest response.
	confirmedAt time.Time
	// completeUntil is the time up to which all changes were received, by the latest listing or watch that returned.
	completeUntil time.Time
	history       history
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	// cancelCall cancels the listing, backoff or watch in progress; it is nil before the first. watching is true during a watch.
	cancelCall context.CancelFunc
	watching   bool
	// relisted is true from a ReportResponse that canceled the call in progress until the next ReportFailure.
	relisted bool
}

// NewFollower returns a follower with an empty view.
func NewFollower(store Store, log zerolog.Logger) *Follower {
	f := &Follower{store: store, log: log, now: time.Now, state: NewState(), configured: make(chan struct{})}
	f.view.Store(f.state.View())
	return f
}

// View returns the latest view.
func (f *Follower) View() *View { return f.view.Load() }

// Configured returns a channel that is closed when the first configuration is in force.
func (f *Follower) Configured() <-chan struct{} { return f.configured }

// Subscribe registers a function that is called with each new view.
func (f *Follower) Subscribe(fn func(*View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, fn)
}

// ConfirmedAt returns the time up to which the store has confirmed the view, and whether the store is available.
func (f *Follower) ConfirmedAt() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt, f.unavailableSince.IsZero()
}

// SetHostGrace sets the time for which hosts that are missing from a restored store are kept. It has to cover the time in which a live host
// notices that its lease is gone. It must be called before Run.
func (f *Follower) SetHostGrace(grace time.Duration) { f.state.hostGrace = grace }

// Run follows the store until ctx is done. RunExpiry has to run concurrently.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		backoff = f.listAndWatch(ctx, backoff)
	}
}

// listAndWatch lists all entries and follows the changes until a call fails. It returns the backoff for the next listing.
func (f *Follower) listAndWatch(ctx context.Context, backoff time.Duration) time.Duration {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancelCall, f.watching = cancel, false
	f.mu.Unlock()
	batch, err := f.store.List(callCtx)
	if err == nil && batch.Revision < f.revision() {
		err = Error.New("the answer has revision %d, older than %d", batch.Revision, f.revision())
	}
	if err != nil {
		f.recordFailure(ctx, "list", err)
		return sleepBackoff(callCtx, backoff)
	}
	completeUntil := f.completeAt()
	f.recordResponse(batch.Age)
	f.update(func(now time.Time) ([]Event, []Change) {
		if batch.Since > 0 {
			return f.state.Apply(batch.Changes, batch.Revision, now), batch.Changes
		}
		f.state.beginListing(completeUntil, batch.Revision, now)
		return f.state.Resync(batch.Changes, batch.Revision, now)
	})
	f.watch(callCtx, batch.Revision)
	return minBackoff
}

// watch follows the changes after a revision until a watch fails or the store has compacted the required history. After a broken
// watch, all entries are listed again: the store may compact its history at that moment, and a new watch from the earlier
// revision would not deliver the changes in between.
func (f *Follower) watch(ctx context.Context, at Revision) {
	f.mu.Lock()
	f.watching = true
	f.mu.Unlock()
	for ctx.Err() == nil {
		batch, err := f.store.Watch(ctx, at, maxWatchWait)
		if errors.Is(err, ErrCompacted) {
			f.log.Info().Uint64("revision", uint64(at)).Msg("store_history_compacted")
			return
		}
		if errors.Is(err, ErrConfigurationMissing) {
			f.log.Info().Uint64("revision", uint64(at)).Msg("configuration_missing")
			return
		}
		if errors.Is(err, ErrWatchStalled) {
			f.log.Warn().Uint64("revision", uint64(at)).Err(err).Msg("watch_deaf")
			return
		}
		if err != nil {
			f.recordFailure(ctx, "watch", err)
			return
		}
		f.recordResponse(batch.Age)
		at = max(at, batch.Revision)
		if len(batch.Changes) > 0 {
			f.update(func(now time.Time) ([]Event, []Change) { return f.state.Apply(batch.Changes, at, now), batch.Changes })
			wait.For(ctx, batchPause)
		}
	}
}

// ReceiveConfiguration puts a configuration in force that another host has handed out, unless its version is not above the one in
// force.
func (f *Follower) ReceiveConfiguration(c *Configuration) {
	f.update(func(now time.Time) ([]Event, []Change) {
		return f.state.Apply([]Change{{Configuration: c}}, f.state.revision, now), nil
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history.wake()
}

// ReportFailure reports a store call of another component that got no response. An open watch does not show that the store is
// unavailable, so it is canceled.
func (f *Follower) ReportFailure(ctx context.Context, call string, err error) {
	f.recordFailure(ctx, call, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relisted = false
	if f.watching {
		f.cancelCall()
	}
}

// ReportResponse reports a response to a store call of another component and the era in which the store gave it. A response of a later
// era than that of the view does not confirm the view; an open watch would not show it, so all entries are listed. If the store was
// unavailable, a listing or watch that was sent during the outage may never get a response, so it is canceled and all entries are listed
// at once. Further responses don't cancel that listing, because it takes longer than the other calls.
func (f *Follower) ReportResponse(era Era) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailableSince.IsZero() && f.state.revision > 0 && era > f.state.revision.Era() {
		if f.watching {
			f.cancelCall()
		}
		return
	}
	if f.unavailableSince.IsZero() {
		f.confirmedAt = f.now()
		return
	}
	if f.cancelCall != nil && !f.relisted {
		f.relisted = true
		f.cancelCall()
	}
}

// Relist cancels the listing or watch in progress, so that all entries are listed again. After a pause of the process, the
// connection to the store may be dead and data that is buffered on it stale.
func (f *Follower) Relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelCall != nil {
		f.cancelCall()
	}
}

func (f *Follower) revision() Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.revision
}

func (f *Follower) completeAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.completeUntil
}

// recordResponse records a response of the store, or of another host whose latest response of the store has the given age.
func (f *Follower) recordResponse(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.confirmedAt = later(f.confirmedAt, now.Add(-age))
	f.completeUntil = later(f.completeUntil, now.Add(-age))
	if !f.unavailableSince.IsZero() {
		f.log.Info().Dur("away_ms", now.Sub(f.unavailableSince)).Msg("store_regained")
		if now.Sub(f.unavailableSince) >= minLapseOutage {
			f.state.StoreRecovered(now)
		}
		f.unavailableSince = time.Time{}
	}
}

// recordFailure records a failed call, unless ctx is done.
func (f *Follower) recordFailure(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if f.unavailableSince.IsZero() {
		f.unavailableSince = now
		f.log.Warn().Str("call", call).Dur("last_answer_ms", now.Sub(f.confirmedAt)).Err(err).Msg("store_lost")
	}
}

// update calls apply to change the state, logs the returned events and publishes the new view. The changes that apply
// returns are kept for hosts that follow this one; nil means that those hosts have to list all entries again.
func (f *Follower) update(apply func(now time.Time) ([]Event, []Change)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.revision
	events, changes := apply(f.now())
	for _, e := range events {
		f.log.Info().Str("subject", e.Subject).Uint64("revision", uint64(e.Revision)).Str("detail", e.Detail).Msg(e.Type)
	}
	if len(events) == 0 && before == f.state.revision {
		return
	}
	if before > 0 && before.Era() != f.state.revision.Era() {
		f.log.Warn().Uint64("old_era", uint64(before.Era())).Uint64("new_era", uint64(f.state.revision.Era())).
			Uint64("revision", before.Number()).Uint64("restored_revision", f.state.revision.Number()).Msg("store_restored")
	}
	if before.Era() != f.state.revision.Era() {
		// Hosts that follow this one cannot tell from changes which entries are missing in the new era.
		changes = nil
	}
	if before != f.state.revision {
		f.history.add(changes, f.state.revision)
	}
	view := f.state.View()
	first := f.view.Swap(view).Configuration == nil && view.Configuration != nil
	if first {
		defer close(f.configured)
	}
	for _, fn := range f.subscribers {
		fn(view)
	}
}

// RunExpiry periodically removes lapsed entries that were not written again in time, until ctx is done.
func (f *Follower) RunExpiry(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, expireInterval)
		f.update(func(now time.Time) ([]Event, []Change) { return f.state.Expire(now), nil })
	}
}

// sleepBackoff waits for a random time between half and all of the backoff and returns the next backoff.
func sleepBackoff(ctx context.Context, backoff time.Duration) time.Duration {
	wait.For(ctx, backoff/2+rand.N(backoff/2))
	return min(2*backoff, maxBackoff)
}

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
	// watchWait is the longest wait that the store allows for a watch; longer waits cost fewer calls.
	watchWait = 30 * time.Second
	// batchPause is the pause after a watch that returned changes. Changes often come in series and each call is paid for; the
	// pause is a small part of the bounds of two seconds and more within which changes have to be in force.
	batchPause = 300 * time.Millisecond
	// firstBackoff and lastBackoff bound the time between two calls while the store does not answer. After its return a host has
	// some seconds until the bounds hold again.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 1500 * time.Millisecond
	// shortOutage is the time without an answer from which entries may have lapsed; a watch that was cut is replaced sooner.
	shortOutage = 500 * time.Millisecond
	// expireInterval is the time between two looks at lapsed entries.
	expireInterval = 200 * time.Millisecond
)

// Follower keeps a state up to date from a store and publishes views of it. It is safe for concurrent use.
type Follower struct {
	store Store
	log   zerolog.Logger
	now   func() time.Time
	view  atomic.Pointer[View]

	mu    sync.Mutex
	state *State
	// subscribers are called after each change, with the lock held.
	subscribers []func(*View)
	// lostAt is the time at which the store stopped answering, zero while it answers.
	lostAt time.Time
	// confirmedAt is the time of the latest answer.
	confirmedAt time.Time
	history     history
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	// cut ends the listing, pause or watch that runs, nil before the first; watching says that it is a watch.
	cut      context.CancelFunc
	watching bool
	// retried is true from an answer that ended a listing until the next failed call.
	retried bool
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

// ConfirmedAt returns the time of the store's latest answer and whether the store answers now.
func (f *Follower) ConfirmedAt() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt, f.lostAt.IsZero()
}

// Run follows the store until ctx ends. RunExpiry has to run beside it.
func (f *Follower) Run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		backoff = f.round(ctx, backoff)
	}
}

// round reads everything and follows the changes until a call fails. It returns the backoff for the next round.
func (f *Follower) round(ctx context.Context, backoff time.Duration) time.Duration {
	round, cut := context.WithCancel(ctx)
	defer cut()
	f.mu.Lock()
	f.cut, f.watching = cut, false
	f.mu.Unlock()
	batch, err := f.store.List(round)
	if err == nil && batch.Revision < f.revision() {
		err = Error.New("the answer has revision %d, older than %d", batch.Revision, f.revision())
	}
	if err != nil {
		f.failed(ctx, "list", err)
		return pauseBackoff(round, backoff)
	}
	f.answered(batch.Age)
	f.change(func(now time.Time) ([]Effect, []Change) {
		if batch.Since > 0 {
			return f.state.Apply(batch.Changes, batch.Revision, now), batch.Changes
		}
		return f.state.Resync(batch.Changes, batch.Revision, now)
	})
	f.watch(round, batch.Revision)
	return firstBackoff
}

// watch follows the changes after a revision until a watch fails or the store has lost that part of its history. After a
// watch that was cut, everything is read anew: the store may drop its history at that moment, and a watch that begins before
// would wait without hearing of the changes in between.
func (f *Follower) watch(ctx context.Context, at Revision) {
	f.mu.Lock()
	f.watching = true
	f.mu.Unlock()
	for ctx.Err() == nil {
		batch, err := f.store.Watch(ctx, at, watchWait)
		if errors.Is(err, ErrCompacted) {
			f.log.Info().Uint64("revision", uint64(at)).Msg("store_history_compacted")
			return
		}
		if errors.Is(err, ErrWatchDeaf) {
			f.log.Warn().Uint64("revision", uint64(at)).Err(err).Msg("watch_deaf")
			return
		}
		if err != nil {
			f.failed(ctx, "watch", err)
			return
		}
		f.answered(batch.Age)
		at = max(at, batch.Revision)
		if len(batch.Changes) > 0 {
			f.change(func(now time.Time) ([]Effect, []Change) { return f.state.Apply(batch.Changes, at, now), batch.Changes })
			wait.For(ctx, batchPause)
		}
	}
}

// CallFailed tells of a call of another part of the process that the store did not answer. A watch that waits does not show
// that the store is away.
func (f *Follower) CallFailed(ctx context.Context, call string, err error) {
	f.failed(ctx, call, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retried = false
	if f.watching {
		f.cut()
	}
}

// CallAnswered tells of an answer to a call of another part. If the store was away, a watch or listing that it was sent may never
// be answered, so everything is read anew at once. The answers that follow leave the listing alone, which is slower than they
// are.
func (f *Follower) CallAnswered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostAt.IsZero() {
		f.confirmedAt = f.now()
		return
	}
	if f.cut != nil && !f.retried {
		f.retried = true
		f.cut()
	}
}

// Reread ends a listing or watch that runs, so that everything is read anew: after a pause of the process its connection to the store
// may be dead, and news that waits there old.
func (f *Follower) Reread() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut != nil {
		f.cut()
	}
}

func (f *Follower) revision() Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.revision
}

// answered notes an answer of the store, or of a host that heard the store some time ago.
func (f *Follower) answered(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.confirmedAt = later(f.confirmedAt, now.Add(-age))
	if !f.lostAt.IsZero() {
		f.log.Info().Dur("away_ms", now.Sub(f.lostAt)).Msg("store_regained")
		if now.Sub(f.lostAt) >= shortOutage {
			f.state.Regained(now)
		}
		f.lostAt = time.Time{}
	}
}

// failed notes a call without an answer.
func (f *Follower) failed(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if f.lostAt.IsZero() {
		f.lostAt = now
		f.log.Warn().Str("call", call).Dur("last_answer_ms", now.Sub(f.confirmedAt)).Err(err).Msg("store_lost")
	}
}

// change applies a step to the state, logs its effects and publishes the view. The changes that the step returns are kept for hosts
// that follow this one; nil means that they have to read everything anew.
func (f *Follower) change(step func(now time.Time) ([]Effect, []Change)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.revision
	effects, changes := step(f.now())
	for _, e := range effects {
		f.log.Info().Str("subject", e.Subject).Uint64("revision", uint64(e.Revision)).Str("detail", e.Detail).Msg(e.Event)
	}
	if len(effects) == 0 && before == f.state.revision {
		return
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

// RunExpiry removes entries that lapsed and did not come back, until ctx ends.
func (f *Follower) RunExpiry(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, expireInterval)
		f.change(func(now time.Time) ([]Effect, []Change) { return f.state.Expire(now), nil })
	}
}

// pauseBackoff waits for a random part of the backoff and returns the next one.
func pauseBackoff(ctx context.Context, backoff time.Duration) time.Duration {
	wait.For(ctx, backoff/2+rand.N(backoff/2))
	return min(2*backoff, lastBackoff)
}

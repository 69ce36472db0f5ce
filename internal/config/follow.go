package config

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/store"
)

const (
	// pollInterval is the time between two polls of head. It bounds the delay of a version when a watch lags or is lost.
	pollInterval = 2 * time.Second
	// watchInterval is the time between two watches. It bounds the call rate when the store service ends watches immediately.
	watchInterval = 100 * time.Millisecond
	// initialBackoff is the delay after the first failure. It is shorter than pollInterval, because the cause may be an
	// unresponsive connection, and the next call opens a new one.
	initialBackoff = 250 * time.Millisecond
	// maxBackoff is the maximum delay between two calls while the store fails. It bounds the delay of a change after an outage.
	maxBackoff = 8 * time.Second
)

// FollowStore watches and polls head and brings accepted versions into force until ctx is done. Only delegates run it; other
// hosts pull versions from peers, so that the number of store calls does not grow with the number of hosts.
func (m *Manager) FollowStore(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { m.runLoop(ctx, watchInterval, m.watchOnce) })
	loops.Go(func() { m.runLoop(ctx, pollInterval, m.pollOnce) })
	loops.Wait()
}

// runLoop calls step until ctx is done. It waits for interval between calls, or for an exponential delay while step fails.
func (m *Manager) runLoop(ctx context.Context, interval time.Duration, step func(context.Context) error) {
	failures := 0
	for ctx.Err() == nil {
		if err := step(ctx); err == nil {
			failures = 0
		} else if ctx.Err() == nil {
			failures++
			m.counters.storeFailures.Add(1)
			m.log.Warn().Int("failures", failures).Err(err).Msg("store_not_followed")
		}
		if m.sleep(ctx, m.jitter(delayAfter(interval, failures))) != nil {
			return
		}
	}
}

// delayAfter returns the delay after a number of consecutive failures.
func delayAfter(interval time.Duration, failures int) time.Duration {
	if failures == 0 {
		return interval
	}
	delay := initialBackoff
	for i := 1; i < failures && delay < maxBackoff; i++ {
		delay *= 2
	}
	return delay
}

// pollOnce checks whether head has changed, without waiting. The store transfers head, about 12 KB with 128 change IDs, only if it
// has changed.
func (m *Manager) pollOnce(ctx context.Context) error {
	return m.followChange(ctx, 0)
}

// watchOnce waits up to store.WatchWait for a change of head.
func (m *Manager) watchOnce(ctx context.Context) error {
	return m.followChange(ctx, store.WatchWait)
}

// followChange waits for a head whose revision is above the latest handled revision, and brings it into force.
func (m *Manager) followChange(ctx context.Context, wait time.Duration) error {
	entry, err := m.store.Watch(ctx, headKey, store.Revision(m.handledRevision.Load()), wait)
	if errors.Is(err, store.ErrNoChange) {
		return nil
	}
	if err != nil {
		return Error.Wrap(err)
	}
	stored, err := newStoredHead(entry)
	if err != nil {
		return err
	}
	return m.handleHead(ctx, stored)
}

// handleHead brings a head from the store into force. It rejects a version below the one in force, which occurs if a response is
// delayed or the store has lost writes. The revision of a rejected head is recorded as handled, because otherwise the watch would
// return it again immediately.
func (m *Manager) handleHead(ctx context.Context, stored storedHead) error {
	m.handleMu.Lock()
	defer m.handleMu.Unlock()
	if stored.head.Version < m.version() {
		m.rejectLower(stored.head, "store")
		storeMax(&m.handledRevision, uint64(stored.revision))
		return nil
	}
	if _, err := m.installStored(ctx, stored); err != nil {
		return err
	}
	storeMax(&m.handledRevision, uint64(stored.revision))
	return nil
}

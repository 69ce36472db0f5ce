package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/wait"
)

const (
	// eventMargin is the time that a watch has for delivering a change after the store has returned a later revision. It covers a
	// retransmission on the watch's connection.
	eventMargin = 400 * time.Millisecond
	// relistTime is the time that the read of the revision and the listing after a stalled watch may take: three round trips
	// between regions and the transmission of a listing, with a margin for a slow host.
	relistTime = 900 * time.Millisecond
	// minCheckInterval and maxCheckInterval limit the time between two reads of the store's revision. Each read is billed as a
	// call; hosts that follow a reader need part of the bound for the delay of the reader's responses.
	minCheckInterval = 500 * time.Millisecond
	maxCheckInterval = 2 * time.Second
)

// checkInterval returns the time between two reads of the store's revision while a watch delivers no events, so that a change that
// a stalled watch does not deliver is in force within a bound.
func checkInterval(changeBound time.Duration) time.Duration {
	return min(maxCheckInterval, max(minCheckInterval, changeBound-eventMargin-relistTime))
}

// Store is the platform's store.
type Store interface {
	// List reads all entries, see catalog.Store.
	List(ctx context.Context) (catalog.Batch, error)
	// Watch waits at most for wait for changes after a revision, see catalog.Store. It calls begun when the response begins to
	// arrive, which may be long before it is complete.
	Watch(ctx context.Context, after catalog.Revision, wait time.Duration, begun func()) (catalog.Batch, error)
	// LatestRevision returns the latest revision of the store. The read is linearizable: the revision is not lower than that of any
	// change that was accepted before the call.
	LatestRevision(ctx context.Context) (catalog.Revision, error)
}

// watchStore watches the store and cancels a stalled watch, which stays open and delivers no events although there are changes. A
// watch that begins while the store compacts its history stalls forever, and responses to other calls don't show it. Errors:
// catalog.ErrCompacted, catalog.ErrWatchStalled.
func (s *Source) watchStore(ctx context.Context, after catalog.Revision, wait time.Duration) (catalog.Batch, error) {
	began := time.Now()
	watch, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var responding atomic.Bool
	go s.checkWatch(watch, after, &responding, cancel)
	batch, err := s.store.Watch(watch, after, wait, func() { responding.Store(true) })
	if cause := context.Cause(watch); err != nil && errors.Is(cause, catalog.ErrWatchStalled) {
		return catalog.Batch{}, cause
	}
	s.logChanges("", after, &batch, 0, time.Since(began))
	return batch, err
}

// checkWatch reads the revision of the store until ctx is done, and cancels a watch that is not responding although there is a later
// revision. The store limits the time in which a response that has begun arrives.
func (s *Source) checkWatch(ctx context.Context, after catalog.Revision, responding *atomic.Bool, cancel context.CancelCauseFunc) {
	for wait.For(ctx, s.checkInterval); ctx.Err() == nil; wait.For(ctx, s.checkInterval) {
		latest, err := s.store.LatestRevision(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			s.log.Info().Err(err).Msg("revision_unknown")
		case latest > after:
			wait.For(ctx, eventMargin)
			if responding.Load() {
				return
			}
			cancel(Error.New("%w: the store has reached revision %d", catalog.ErrWatchStalled, latest))
			return
		}
	}
}

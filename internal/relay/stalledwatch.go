package relay

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/wait"
)

const (
	// checkInterval is the time between two reads of the store's revision while a watch delivers no events. Each read costs a
	// tenth of a call, and the limits within which changes have to be in force are two seconds and more.
	checkInterval = time.Second
	// eventMargin is the time that a watch has for delivering a change after the store has returned a later revision. It covers the
	// network delay and a slow store.
	eventMargin = 500 * time.Millisecond
)

// Store is the platform's store.
type Store interface {
	catalog.Store
	// ReachedRevision returns a revision that the store has reached. It may lag behind the latest one by some seconds.
	ReachedRevision(ctx context.Context) (catalog.Revision, error)
}

// watchStore watches the store and cancels a stalled watch, which stays open and delivers no events although there are changes. A
// watch that begins while the store compacts its history stalls forever, and responses to other calls don't show it. Errors:
// catalog.ErrCompacted, catalog.ErrWatchStalled.
func (s *Source) watchStore(ctx context.Context, after catalog.Revision, wait time.Duration) (catalog.Batch, error) {
	watch, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go s.checkWatch(watch, after, cancel)
	batch, err := s.store.Watch(watch, after, wait)
	if cause := context.Cause(watch); err != nil && errors.Is(cause, catalog.ErrWatchStalled) {
		return catalog.Batch{}, cause
	}
	return batch, err
}

// checkWatch reads the revision of the store until ctx is done, and cancels a watch that has not delivered a later revision.
func (s *Source) checkWatch(ctx context.Context, after catalog.Revision, cancel context.CancelCauseFunc) {
	for wait.For(ctx, checkInterval); ctx.Err() == nil; wait.For(ctx, checkInterval) {
		reached, err := s.store.ReachedRevision(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			s.log.Info().Err(err).Msg("revision_unknown")
		case reached > after:
			wait.For(ctx, eventMargin)
			cancel(Error.New("%w: the store has reached revision %d", catalog.ErrWatchStalled, reached))
			return
		}
	}
}

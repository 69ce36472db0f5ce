package relay

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/wait"
)

const (
	// checkInterval is the time between two questions how far the store has come, while a watch tells nothing. Each costs a tenth
	// of a call, and the bounds within which changes have to be in force are two seconds and more.
	checkInterval = time.Second
	// tellMargin is the time that a watch has to tell of a change after the store has shown a later revision. It covers the way
	// and a slow store.
	tellMargin = 500 * time.Millisecond
)

// Store is the platform's store.
type Store interface {
	catalog.Store
	// Reached returns a revision that the store has reached, perhaps some seconds ago.
	Reached(ctx context.Context) (catalog.Revision, error)
}

// watchStore watches the store, and ends a watch that stays open and tells nothing though there are changes: one that begins while
// the store drops its history does so for ever, and answers to other calls do not show it. Errors: catalog.ErrCompacted,
// catalog.ErrWatchDeaf.
func (s *Source) watchStore(ctx context.Context, after catalog.Revision, wait time.Duration) (catalog.Batch, error) {
	watch, end := context.WithCancelCause(ctx)
	defer end(nil)
	go s.checkWatch(watch, after, end)
	batch, err := s.store.Watch(watch, after, wait)
	if cause := context.Cause(watch); err != nil && errors.Is(cause, catalog.ErrWatchDeaf) {
		return catalog.Batch{}, cause
	}
	return batch, err
}

// checkWatch asks how far the store has come until ctx ends, and ends a watch that should have told of it.
func (s *Source) checkWatch(ctx context.Context, after catalog.Revision, end context.CancelCauseFunc) {
	for wait.For(ctx, checkInterval); ctx.Err() == nil; wait.For(ctx, checkInterval) {
		reached, err := s.store.Reached(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			s.log.Info().Err(err).Msg("revision_unknown")
		case reached > after:
			wait.For(ctx, tellMargin)
			end(Error.New("%w: the store has reached revision %d", catalog.ErrWatchDeaf, reached))
			return
		}
	}
}

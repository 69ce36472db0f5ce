package catalog

import (
	"context"
	"time"
)

// maxHistoryChanges is the number of changes that a host keeps for the hosts that follow it. It covers several seconds of a large
// release.
const maxHistoryChanges = 1024

// history holds the latest changes that a follower received, for the hosts that follow this one.
type history struct {
	changes []Change
	// completeAfter is the revision after which no change is missing.
	completeAfter Revision
	// changed is closed at the next change. It is nil if no goroutine waits for one.
	changed chan struct{}
}

// add appends the changes up to a revision. If changes is nil, the changes are unknown and the history is cleared.
func (h *history) add(changes []Change, to Revision) {
	if changes == nil {
		h.changes, h.completeAfter = nil, to
	} else {
		h.changes = append(h.changes, changes...)
	}
	if extra := len(h.changes) - maxHistoryChanges; extra > 0 {
		h.completeAfter = h.changes[extra-1].Revision
		h.changes = append([]Change(nil), h.changes[extra:]...)
	}
	h.wake()
}

// wake ends the waits for the next change.
func (h *history) wake() {
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// changesAfter returns the changes after a revision. The result is false if they are no longer kept.
func (h *history) changesAfter(revision Revision) ([]Change, bool) {
	if revision < h.completeAfter {
		return nil, false
	}
	var list []Change
	for _, c := range h.changes {
		if c.Revision > revision {
			list = append(list, c)
		}
	}
	return list, true
}

// Everything returns all entries known to this host, for a host that follows it.
func (f *Follower) Everything() Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	return Batch{Changes: f.state.Changes(now), Revision: f.state.revision, Age: f.age(now)}
}

// age returns the time since the store's latest response, or one hour if there was none.
func (f *Follower) age(now time.Time) time.Duration {
	if f.confirmedAt.IsZero() {
		return time.Hour
	}
	return now.Sub(f.confirmedAt)
}

// After waits for changes after a revision, or for a configuration above a version, for a host that follows this one. If there are
// none until wait has expired, it returns a batch without changes. If the revision is of a later era than this host knows, it returns a
// batch with a lower revision at once. Errors: ErrCompacted.
func (f *Follower) After(ctx context.Context, revision Revision, version Version, wait time.Duration) (Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waitExpired := false; ; {
		batch, changed, kept := f.updatesAfter(revision)
		configuration := f.View().Configuration
		switch {
		case !kept:
			return Batch{}, ErrCompacted
		case batch.Revision < revision || waitExpired || len(batch.Changes) > 0 || configuration != nil && configuration.Version > version:
			return batch, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			// The next iteration returns the batch, with an age that includes the wait.
			waitExpired = true
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// updatesAfter returns the known changes after a revision and a channel that is closed at the next change. The last result is
// false if the changes are no longer kept.
func (f *Follower) updatesAfter(revision Revision) (Batch, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision.Era() > f.state.revision.Era() {
		// The caller knows a restoration of the store that this host does not, and learns this from the revision.
		return Batch{Revision: f.state.revision, Age: f.age(f.now())}, nil, true
	}
	changes, kept := f.history.changesAfter(revision)
	if f.history.changed == nil {
		f.history.changed = make(chan struct{})
	}
	return Batch{Changes: changes, Revision: max(revision, f.state.revision), Age: f.age(f.now())}, f.history.changed, kept
}

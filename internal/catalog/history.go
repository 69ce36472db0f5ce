package catalog

import (
	"context"
	"time"
)

// historyLength is the number of changes that a host keeps for those that follow it: several seconds of a large release.
const historyLength = 1024

// history holds the latest changes of a follower, for hosts that follow it.
type history struct {
	changes []Change
	// since is the revision after which the changes are complete.
	since Revision
	// grown is closed at the next change.
	grown chan struct{}
}

// add takes the changes up to a revision. Nil changes mean that they are not known.
func (h *history) add(changes []Change, to Revision) {
	if changes == nil {
		h.changes, h.since = nil, to
	} else {
		h.changes = append(h.changes, changes...)
	}
	if extra := len(h.changes) - historyLength; extra > 0 {
		h.since = h.changes[extra-1].Revision
		h.changes = append([]Change(nil), h.changes[extra:]...)
	}
	if h.grown != nil {
		close(h.grown)
		h.grown = nil
	}
}

// after returns the changes after a revision; false if they are not kept.
func (h *history) after(revision Revision) ([]Change, bool) {
	if revision < h.since {
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

// Everything returns all entries that this host knows, for a host that follows this one.
func (f *Follower) Everything() Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	return Batch{Changes: f.state.Changes(now), Revision: f.state.revision, Age: f.age(now)}
}

// age returns the time since the store was heard.
func (f *Follower) age(now time.Time) time.Duration {
	if f.confirmedAt.IsZero() {
		return time.Hour
	}
	return now.Sub(f.confirmedAt)
}

// After waits for changes after a revision, for a host that follows this one. Errors: ErrCompacted.
func (f *Follower) After(ctx context.Context, revision Revision, wait time.Duration) (Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := false; ; {
		batch, grown, kept := f.newsAfter(revision)
		switch {
		case !kept:
			return Batch{}, ErrCompacted
		case waited || len(batch.Changes) > 0:
			return batch, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			// The news is told with its age at this moment.
			waited = true
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// newsAfter returns what is known now of the changes after a revision, and a channel that is closed at the next change. It is
// false if the changes are not kept.
func (f *Follower) newsAfter(revision Revision) (Batch, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes, kept := f.history.after(revision)
	if f.history.grown == nil {
		f.history.grown = make(chan struct{})
	}
	return Batch{Changes: changes, Revision: max(revision, f.state.revision), Age: f.age(f.now())}, f.history.grown, kept
}

package catalog

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// fakeStore is a store whose watches end as the test says.
type fakeStore struct {
	mu      sync.Mutex
	lists   int
	version Version
	at      Revision
	// watch runs for each watch.
	watch func(ctx context.Context, after Revision) (Batch, error)
}

func (s *fakeStore) List(context.Context) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return Batch{Changes: []Change{{Revision: s.at, Configuration: &Configuration{Version: s.version}}}, Revision: s.at}, nil
}

func (s *fakeStore) Watch(ctx context.Context, after Revision, _ time.Duration) (Batch, error) {
	return s.watch(ctx, after)
}

func (s *fakeStore) put(version Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	s.at++
}

func run(t *testing.T, store Store) *Follower {
	t.Helper()
	f := NewFollower(store, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

// waitVersion waits until a version is in force; the wait only ends a test that has failed.
func waitVersion(t *testing.T, f *Follower, want Version) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		if c := f.View().Configuration; c != nil && c.Version == want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("version %d never came into force", want)
}

// A watch that is cut may have missed changes whose history is gone; a watch from the old revision then waits for ever.
func TestCutWatchReadsEverythingAnew(t *testing.T) {
	store := &fakeStore{version: 1, at: 1}
	cut := make(chan struct{})
	store.watch = func(ctx context.Context, after Revision) (Batch, error) {
		if after == 1 {
			<-cut
			return Batch{}, errors.New("connection reset")
		}
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	f := run(t, store)
	waitVersion(t, f, 1)
	store.put(2)
	close(cut)
	waitVersion(t, f, 2)
}

// A watch that waits does not end when the store goes away and returns; only other calls show it.
func TestAnswerAfterFailedCallsReadsEverythingAnew(t *testing.T) {
	store := &fakeStore{version: 1, at: 1}
	store.watch = func(ctx context.Context, _ Revision) (Batch, error) {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	f := run(t, store)
	waitVersion(t, f, 1)
	f.CallFailed(context.Background(), "renew", errors.New("timeout"))
	store.put(2)
	f.CallAnswered()
	waitVersion(t, f, 2)
}

// Compacted history ends the watch, and the listing brings what was missed.
func TestCompactedHistoryReadsEverythingAnew(t *testing.T) {
	store := &fakeStore{version: 1, at: 1}
	store.watch = func(ctx context.Context, after Revision) (Batch, error) {
		if after == 1 {
			store.put(3)
			return Batch{}, Error.Wrap(ErrCompacted)
		}
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	waitVersion(t, run(t, store), 3)
}

// A host that follows this one gets changes as they come, and is told to read anew what is no longer kept.
func TestHistoryServesFollowingHosts(t *testing.T) {
	changes := make(chan Batch)
	store := &fakeStore{version: 1, at: 1}
	store.watch = func(ctx context.Context, _ Revision) (Batch, error) {
		select {
		case b := <-changes:
			return b, nil
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
	f := run(t, store)
	waitVersion(t, f, 1)
	ctx := context.Background()
	go func() { changes <- Batch{Changes: []Change{{Revision: 2, Evacuated: "a"}}, Revision: 2} }()
	batch, err := f.After(ctx, 1, 10*time.Second)
	if err != nil || len(batch.Changes) != 1 || batch.Revision != 2 {
		t.Fatalf("got %+v, %v, want the change at revision 2", batch, err)
	}
	if _, err := f.After(ctx, 0, time.Second); !errors.Is(err, ErrCompacted) {
		t.Fatalf("changes after revision 0: got %v, want ErrCompacted", err)
	}
	batch, err = f.After(ctx, 2, time.Millisecond)
	if err != nil || len(batch.Changes) != 0 || batch.Revision != 2 {
		t.Fatalf("without a change: got %+v, %v", batch, err)
	}
}

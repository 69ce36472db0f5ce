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
	// silent is the number of the listing that gets no answer, and asked is closed when it is made.
	silent int
	asked  chan struct{}
}

func (s *fakeStore) List(ctx context.Context) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.lists == s.silent {
		close(s.asked)
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return Batch{}, ctx.Err()
	}
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

// waitForEnd is a watch that hears of no change.
func waitForEnd(ctx context.Context, _ Revision) (Batch, error) {
	<-ctx.Done()
	return Batch{}, ctx.Err()
}

func run(t *testing.T, store Store) *Follower {
	t.Helper()
	f := NewFollower(store, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		go f.RunExpiry(ctx)
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
		return waitForEnd(ctx, after)
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
	store.watch = waitForEnd
	f := run(t, store)
	waitVersion(t, f, 1)
	f.CallFailed(context.Background(), "renew", errors.New("timeout"))
	store.put(2)
	f.CallAnswered()
	waitVersion(t, f, 2)
}

// A listing that was sent to a silent store is never answered. When another call shows that the store is back, waiting for its
// timeout would keep an old configuration in force.
func TestAnswerEndsAListingWithoutAnswer(t *testing.T) {
	store := &fakeStore{version: 1, at: 1, silent: 2, asked: make(chan struct{})}
	store.watch = waitForEnd
	f := run(t, store)
	waitVersion(t, f, 1)
	f.CallFailed(context.Background(), "renew", errors.New("timeout"))
	<-store.asked
	store.put(2)
	f.CallAnswered()
	waitVersion(t, f, 2)
}

// A store that is slow answers renewals before a listing has ended. Ending each listing would leave a host without news.
func TestAnswersLetASlowListingEnd(t *testing.T) {
	store := &fakeStore{version: 1, at: 1, silent: 2, asked: make(chan struct{})}
	again := make(chan struct{})
	store.watch = waitForEnd
	f := run(t, store)
	waitVersion(t, f, 1)
	f.CallFailed(context.Background(), "renew", errors.New("timeout"))
	<-store.asked
	store.mu.Lock()
	store.silent, store.asked = 3, again
	store.mu.Unlock()
	f.CallAnswered()
	<-again
	f.CallAnswered()
	time.Sleep(100 * time.Millisecond)
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.lists != 3 {
		t.Fatalf("%d listings, want 3: the second answer must not end the listing that runs", store.lists)
	}
}

// Compacted history ends the watch, and the listing brings what was missed.
func TestCompactedHistoryReadsEverythingAnew(t *testing.T) {
	store := &fakeStore{version: 1, at: 1}
	store.watch = func(ctx context.Context, after Revision) (Batch, error) {
		if after == 1 {
			store.put(3)
			return Batch{}, Error.Wrap(ErrCompacted)
		}
		return waitForEnd(ctx, after)
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

// News that waited for a change is as old as the store's last answer when it is told. Counting its age from the start of the wait,
// two hosts that followed each other took their news for fresh for ever, and a configuration came into force 3.4 s late.
func TestAgeOfNewsIncludesTheWait(t *testing.T) {
	store := &fakeStore{version: 1, at: 1}
	store.watch = waitForEnd
	f := run(t, store)
	waitVersion(t, f, 1)
	const wait = 50 * time.Millisecond
	batch, err := f.After(context.Background(), 1, wait)
	if err != nil || batch.Age < wait {
		t.Fatalf("got age %v, %v, want %v at least", batch.Age, err, wait)
	}
}

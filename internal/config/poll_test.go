package config

import (
	"context"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/store"
)

// countingStore counts the reads that transfer head and records the wait times of watches.
type countingStore struct {
	*fakeStore
	headReads int
	waits     []time.Duration
}

func (c *countingStore) Watch(ctx context.Context, key string, after store.Revision, wait time.Duration) (store.Entry, error) {
	entry, err := c.fakeStore.Watch(ctx, key, after, wait)
	if err == nil {
		c.headReads++
	}
	c.waits = append(c.waits, wait)
	return entry, err
}

func (c *countingStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if key == headKey {
		c.headReads++
	}
	return c.fakeStore.Get(ctx, key)
}

// A delegate polls head every 2 s. Polls of an unchanged head must neither wait nor transfer head again.
func TestPollTransfersAChangedHeadOnce(t *testing.T) {
	st := &countingStore{fakeStore: newFakeStore()}
	operator, delegate := newTestManager(st.fakeStore, nil), newTestManager(st, nil)
	for version := range 2 {
		change := Change{ID: string(rune('a' + version)), Base: delegate.version(), Document: testDocument(t, version, 0)}
		if _, err := operator.Apply(context.Background(), change); err != nil {
			t.Fatal(err)
		}
		for range 5 {
			if err := delegate.pollOnce(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		if want := version + 1; st.headReads != want || int(delegate.version()) != want {
			t.Fatalf("version %d after %d transfers of head, want %d and %d", delegate.version(), st.headReads, want, want)
		}
	}
	for _, wait := range st.waits {
		if wait != 0 {
			t.Fatalf("a poll waited up to %v", wait)
		}
	}
}

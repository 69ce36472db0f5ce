package config

import (
	"context"
	"sync"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// newPeers returns a manager with version 2 in force, which is peer "p", and a manager without configuration and with an empty
// store.
func newPeers(t *testing.T) (*fakePeers, *Manager, *Manager) {
	t.Helper()
	holder := newTestManager(newFakeStore(), nil)
	for i := range 2 {
		change := Change{ID: string(rune('a' + i)), Base: policy.Version(i), Document: testDocument(t, i, 200)}
		if _, err := holder.Apply(context.Background(), change); err != nil {
			t.Fatal(err)
		}
	}
	peers := &fakePeers{managers: map[string]*Manager{"p": holder}, stale: map[string]Head{}}
	return peers, holder, newTestManager(newFakeStore(), peers)
}

// Eight concurrent heartbeats contain the same new version. They must cause only one pull.
func TestPullFromPeerCoalescesConcurrentCalls(t *testing.T) {
	peers, holder, m := newPeers(t)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			if err := m.PullFromPeer(context.Background(), "p", 2); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	if peers.calls != 1 || m.version() != holder.version() {
		t.Fatalf("%d calls for version %d, want 1 for version 2", peers.calls, m.version())
	}
}

// A peer with a lower version must not cause a process to return to it, and a part that was corrupted in transit must not come into
// force.
func TestPullFromPeerRejectsCorruptPartsAndLowerVersions(t *testing.T) {
	peers, holder, m := newPeers(t)
	peers.corrupt = true
	if err := m.PullFromPeer(context.Background(), "p", 2); err == nil || m.version() != 0 {
		t.Fatalf("corrupt part: version %d, %v", m.version(), err)
	}
	peers.corrupt = false
	if err := m.PullFromPeer(context.Background(), "p", 2); err != nil {
		t.Fatal(err)
	}
	lower := holder.Head()
	lower.Version, lower.RecentChangeIDs = 1, lower.RecentChangeIDs[1:]
	peers.stale["p"] = lower
	if err := m.PullFromPeer(context.Background(), "p", 3); err == nil || m.version() != 2 {
		t.Fatalf("peer with a lower version: version %d, %v", m.version(), err)
	}
	if got := m.Stats().RejectedLower; got != 1 {
		t.Fatalf("%d rejected heads counted, want 1", got)
	}
}

// Part must still return the parts of the previous version, because a peer may be fetching them when the next version comes into
// force.
func TestPartReturnsPartsOfThePreviousVersion(t *testing.T) {
	_, holder, _ := newPeers(t)
	old := holder.Head()
	if _, err := holder.Apply(context.Background(), Change{ID: "x", Base: 2, Document: testDocument(t, 9, 200)}); err != nil {
		t.Fatal(err)
	}
	for _, ref := range append(old.Parts, holder.Head().Parts...) {
		if raw, ok := holder.Part(ref.Digest); !ok || digestOf(raw) != ref.Digest {
			t.Fatalf("part %s is missing", ref.Name)
		}
	}
}

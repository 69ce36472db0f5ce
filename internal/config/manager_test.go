package config

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

const managerCount = 3

// cluster is a set of processes that share a store.
type cluster struct {
	t        *rapid.T
	store    *fakeStore
	peers    *fakePeers
	managers []*Manager
	// changes holds every change that was applied, so that it can be repeated with the same ID.
	changes []Change
	// possiblyAccepted holds the IDs of changes for which Apply did not report that they were not accepted.
	possiblyAccepted map[string]bool
	// clockMs is the time of all processes in milliseconds. Two calls of Apply with the same change have different times.
	clockMs int64
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t, store: newFakeStore(), possiblyAccepted: map[string]bool{}}
	c.peers = &fakePeers{managers: map[string]*Manager{}, stale: map[string]Head{}}
	for i := range managerCount {
		c.managers = append(c.managers, nil)
		c.start(i)
	}
	return c
}

// start replaces a process by a new one. The subscriber fails the test if the version does not increase.
func (c *cluster) start(i int) {
	m := newTestManager(c.store, c.peers)
	m.now = func() time.Time { c.clockMs++; return time.UnixMilli(c.clockMs) }
	last := policy.Version(0)
	m.Subscribe(func(s *policy.Snapshot) {
		if s.Version <= last {
			c.t.Fatalf("version %d comes into force after %d", s.Version, last)
		}
		last = s.Version
	})
	c.managers[i] = m
	c.peers.managers[peerName(i)] = m
}

func peerName(i int) string { return fmt.Sprintf("p%d", i) }

func (c *cluster) drawManager() int { return rapid.IntRange(0, managerCount-1).Draw(c.t, "manager") }

func (c *cluster) drawFaults() {
	callFaults := rapid.SampledFrom([]fault{none, none, none, unavailable, lost, dropped, delayed})
	headFaults := rapid.SampledFrom([]fault{none, unavailable, unavailable, lost, dropped, delayed, delayed})
	c.store.setFaults(rapid.SliceOfN(callFaults, 0, 10).Draw(c.t, "faults"), rapid.SliceOfN(headFaults, 0, 3).Draw(c.t, "head faults"))
}

// drawChange returns an earlier change or a new one, which is usually based on the latest version.
func (c *cluster) drawChange() Change {
	if len(c.changes) > 0 && rapid.IntRange(0, 3).Draw(c.t, "repeat") == 0 {
		return rapid.SampledFrom(c.changes).Draw(c.t, "change")
	}
	base := len(c.store.acceptedHeads(c.t))
	if rapid.IntRange(0, 5).Draw(c.t, "old base") == 0 {
		base = rapid.IntRange(0, base+1).Draw(c.t, "base")
	}
	n := len(c.changes) + 1
	change := Change{ID: fmt.Sprintf("c%d", n), Base: policy.Version(base), Document: testDocument(c.t, n, n%5)}
	c.changes = append(c.changes, change)
	return change
}

// apply applies a change and checks that the reported result is consistent with the store.
func (c *cluster) apply(m *Manager, change Change) {
	accepted, err := m.Apply(context.Background(), change)
	heads := c.store.acceptedHeads(c.t)
	switch failure := result.FromError(err); {
	case err == nil:
		c.possiblyAccepted[change.ID] = true
		if int(accepted.Version) > len(heads) || heads[accepted.Version-1].ChangeID != change.ID {
			c.t.Fatalf("change %s was reported as version %d, but the store does not hold it as this version", change.ID, accepted.Version)
		}
	case failure.Code == result.StoreOutcomeUnknown:
		c.possiblyAccepted[change.ID] = true
	case failure.Code == result.VersionConflict:
		for _, head := range heads {
			if head.ChangeID == change.ID {
				c.t.Fatalf("change %s was rejected with a conflict but is version %d", change.ID, head.Version)
			}
		}
	case failure.Code != result.StoreUnavailable:
		c.t.Fatalf("change %s: %v", change.ID, err)
	}
}

// checkAccepted compares the configurations in force in the processes with the heads that the store accepted.
func (c *cluster) checkAccepted() {
	heads := c.store.acceptedHeads(c.t)
	seen := map[string]bool{}
	for i, head := range heads {
		if int(head.Version) != i+1 || seen[head.ChangeID] || !c.possiblyAccepted[head.ChangeID] {
			c.t.Fatalf("version %d at position %d, change %s accepted before: %v, reported as not accepted: %v",
				head.Version, i+1, head.ChangeID, seen[head.ChangeID], !c.possiblyAccepted[head.ChangeID])
		}
		seen[head.ChangeID] = true
	}
	for i, m := range c.managers {
		if head := m.Head(); head.Version > 0 && !reflect.DeepEqual(head, heads[head.Version-1]) {
			c.t.Fatalf("process %d holds a different head of version %d", i, head.Version)
		}
	}
}

// checkConvergence clears the faults and checks that all processes and the history agree with the store.
func (c *cluster) checkConvergence() {
	c.store.setFaults(nil, nil)
	// A delayed write takes effect delayCalls calls later. It must be in the store before the versions in the store are counted.
	for range delayCalls {
		_ = c.managers[0].pollOnce(context.Background())
	}
	heads := c.store.acceptedHeads(c.t)
	for i, m := range c.managers {
		if err := m.pollOnce(context.Background()); err != nil || int(m.version()) != len(heads) {
			c.t.Fatalf("process %d has version %d of %d in force: %v", i, m.version(), len(heads), err)
		}
	}
	history, err := c.managers[0].History(context.Background(), len(heads))
	if err != nil || len(history) != len(heads) {
		c.t.Fatalf("history has %d of %d versions: %v", len(history), len(heads), err)
	}
	for i, head := range history {
		if !reflect.DeepEqual(head, heads[len(heads)-1-i]) {
			c.t.Fatalf("history lists a different head of version %d", head.Version)
		}
	}
}

// Concurrent operators, lost, delayed and dropped writes, an unavailable store, lagging watches and peers with stale configuration
// must never cause a version to decrease, a change to take effect twice or Apply to report a wrong result.
func TestManagerStaysConsistentUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(*rapid.T) {
				m, change := c.managers[c.drawManager()], c.drawChange()
				c.drawFaults()
				c.apply(m, change)
			},
			"concurrent apply": func(*rapid.T) {
				first, second := c.managers[c.drawManager()], c.managers[c.drawManager()]
				change, rival := c.drawChange(), c.drawChange()
				c.store.beforeHead = func() { c.apply(second, rival) }
				c.drawFaults()
				c.apply(first, change)
				c.store.beforeHead = nil
			},
			"follow": func(*rapid.T) {
				c.drawFaults()
				m := c.managers[c.drawManager()]
				c.store.laggingWatch = rapid.Bool().Draw(t, "late")
				_ = m.watchOnce(context.Background())
				_ = m.pollOnce(context.Background())
			},
			"pull": func(*rapid.T) {
				m, peer := c.managers[c.drawManager()], c.drawManager()
				_ = m.PullFromPeer(context.Background(), peerName(peer), m.version()+1)
			},
			"make peer stale": func(*rapid.T) {
				peer := c.drawManager()
				c.peers.stale[peerName(peer)] = c.managers[peer].Head()
			},
			"restart": func(*rapid.T) {
				i := c.drawManager()
				delete(c.peers.stale, peerName(i))
				c.start(i)
			},
			"": func(*rapid.T) { c.checkAccepted() },
		})
		c.checkConvergence()
	})
}

// Processes that apply changes concurrently must not lose a change, and subscribers must receive versions in ascending order.
func TestConcurrentManagersLoseNoChange(t *testing.T) {
	const changes = 8
	st := newFakeStore()
	var group sync.WaitGroup
	for i := range managerCount {
		m := newTestManager(st, nil)
		last := policy.Version(0)
		m.Subscribe(func(s *policy.Snapshot) {
			if s.Version <= last {
				t.Errorf("version %d comes into force after %d", s.Version, last)
			}
			last = s.Version
		})
		group.Go(func() { applyAll(t, m, fmt.Sprintf("m%d", i), changes) })
		group.Go(func() { applyAll(t, m, fmt.Sprintf("n%d", i), changes) })
	}
	group.Wait()
	if got := len(st.acceptedHeads(t)); got != 2*managerCount*changes {
		t.Fatalf("%d changes are accepted, want %d", got, 2*managerCount*changes)
	}
}

// applyAll applies changes one after another. After a version conflict it applies the change again, based on the latest version.
func applyAll(t *testing.T, m *Manager, name string, changes int) {
	ctx := context.Background()
	for n := 0; n < changes; {
		change := Change{ID: fmt.Sprintf("%s-%d", name, n), Base: m.version(), Document: testDocument(t, n, 3)}
		_, err := m.Apply(ctx, change)
		switch {
		case err == nil:
			n++
		case result.FromError(err).Code != result.VersionConflict:
			t.Error(err)
			return
		default:
			_ = m.pollOnce(ctx)
		}
	}
}

// A store that has lost writes, for example after a restore from a backup, holds a lower version than the processes. No process may
// return to the lower version, and no change based on it may be accepted, because no process would bring that change into force.
func TestLowerStoreVersionIsRejected(t *testing.T) {
	_, _, m := newPeers(t)
	if err := m.PullFromPeer(context.Background(), "p", 2); err != nil {
		t.Fatal(err)
	}
	change := Change{ID: "x", Document: testDocument(t, 7, 0)}
	if _, err := newTestManager(m.store, nil).Apply(context.Background(), change); err != nil {
		t.Fatal(err)
	}
	if err := m.pollOnce(context.Background()); err != nil || m.version() != 2 || m.Stats().RejectedLower != 1 || m.handledRevision.Load() != 1 {
		t.Fatalf("version %d, %+v, %v", m.version(), m.Stats(), err)
	}
	change.ID, change.Base = "y", 1
	if _, err := m.Apply(context.Background(), change); err == nil || result.FromError(err).Code != result.StoreUnavailable {
		t.Fatalf("got %v, want store_unavailable", err)
	}
}

// The watch must bring a version into force without a poll. With polls alone, changes would be delayed by up to the poll interval.
func TestFollowStoreInstallsVersionFromWatch(t *testing.T) {
	st := newFakeStore()
	m := newTestManager(st, nil)
	polled := make(chan struct{})
	m.sleep = func(ctx context.Context, d time.Duration) error {
		if d < time.Second {
			return sleepFor(ctx, time.Millisecond)
		}
		close(polled)
		<-ctx.Done()
		return ctx.Err()
	}
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	m.Subscribe(func(*policy.Snapshot) { stop() })
	done := make(chan struct{})
	go func() { m.FollowStore(ctx); close(done) }()
	<-polled
	if _, err := newTestManager(st, nil).Apply(context.Background(), Change{ID: "x", Document: testDocument(t, 1, 0)}); err != nil {
		t.Fatal(err)
	}
	<-done
	if m.version() != 1 {
		t.Fatal("the version is not in force after 10 s without a poll")
	}
}

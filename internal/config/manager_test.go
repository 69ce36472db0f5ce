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

// world is several processes that share a store.
type world struct {
	t        *rapid.T
	store    *fakeStore
	peers    *fakePeers
	managers []*Manager
	// changes holds every change that was tried, so that it can be repeated with the same id.
	changes []Change
	// maybe holds the ids of changes that had an answer other than "not accepted".
	maybe map[string]bool
	// ticks is the time of all processes in milliseconds. Two tries of one change have different times.
	ticks int64
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, store: newFakeStore(), maybe: map[string]bool{}}
	w.peers = &fakePeers{managers: map[string]*Manager{}, stale: map[string]Head{}}
	for i := range managerCount {
		w.managers = append(w.managers, nil)
		w.start(i)
	}
	return w
}

// start replaces a process by a new one. Its subscriber fails the test if a version goes down.
func (w *world) start(i int) {
	m := newTestManager(w.store, w.peers)
	m.now = func() time.Time { w.ticks++; return time.UnixMilli(w.ticks) }
	last := policy.Version(0)
	m.Subscribe(func(s *policy.Snapshot) {
		if s.Version <= last {
			w.t.Fatalf("version %d comes into force after %d", s.Version, last)
		}
		last = s.Version
	})
	w.managers[i] = m
	w.peers.managers[peerName(i)] = m
}

func peerName(i int) string { return fmt.Sprintf("p%d", i) }

func (w *world) drawManager() int { return rapid.IntRange(0, managerCount-1).Draw(w.t, "manager") }

func (w *world) drawFaults() {
	any := rapid.SampledFrom([]fault{none, none, none, unavailable, lost, dropped, delayed})
	head := rapid.SampledFrom([]fault{none, unavailable, unavailable, lost, dropped, delayed, delayed})
	w.store.setFaults(rapid.SliceOfN(any, 0, 10).Draw(w.t, "faults"), rapid.SliceOfN(head, 0, 3).Draw(w.t, "head faults"))
}

// drawChange returns a repeat of an earlier change or a new one, mostly on top of the latest version.
func (w *world) drawChange() Change {
	if len(w.changes) > 0 && rapid.IntRange(0, 3).Draw(w.t, "repeat") == 0 {
		return rapid.SampledFrom(w.changes).Draw(w.t, "change")
	}
	base := len(w.store.accepted(w.t))
	if rapid.IntRange(0, 5).Draw(w.t, "old base") == 0 {
		base = rapid.IntRange(0, base+1).Draw(w.t, "base")
	}
	n := len(w.changes) + 1
	change := Change{ID: fmt.Sprintf("c%d", n), Base: policy.Version(base), Document: testDocument(w.t, n, n%5)}
	w.changes = append(w.changes, change)
	return change
}

// apply has a change applied and checks that the answer is true.
func (w *world) apply(m *Manager, change Change) {
	accepted, err := m.Apply(context.Background(), change)
	heads := w.store.accepted(w.t)
	switch code := result.FromError(err); {
	case err == nil:
		w.maybe[change.ID] = true
		if int(accepted.Version) > len(heads) || heads[accepted.Version-1].ChangeID != change.ID {
			w.t.Fatalf("change %s was reported as version %d, which it is not", change.ID, accepted.Version)
		}
	case code.Code == result.StoreOutcomeUnknown:
		w.maybe[change.ID] = true
	case code.Code == result.VersionConflict:
		for _, head := range heads {
			if head.ChangeID == change.ID {
				w.t.Fatalf("change %s got a conflict and is version %d", change.ID, head.Version)
			}
		}
	case code.Code != result.StoreUnavailable:
		w.t.Fatalf("change %s: %v", change.ID, err)
	}
}

// check compares what the processes have in force with the truth in the store.
func (w *world) check() {
	heads := w.store.accepted(w.t)
	seen := map[string]bool{}
	for i, head := range heads {
		if int(head.Version) != i+1 || seen[head.ChangeID] || !w.maybe[head.ChangeID] {
			w.t.Fatalf("version %d at place %d, change %s seen before: %v, reported as not accepted: %v",
				head.Version, i+1, head.ChangeID, seen[head.ChangeID], !w.maybe[head.ChangeID])
		}
		seen[head.ChangeID] = true
	}
	for i, m := range w.managers {
		if head := m.Head(); head.Version > 0 && !reflect.DeepEqual(head, heads[head.Version-1]) {
			w.t.Fatalf("process %d holds another content of version %d", i, head.Version)
		}
	}
}

// finish ends the faults and checks that all processes and the history agree.
func (w *world) finish() {
	w.store.setFaults(nil, nil)
	// A delayed write takes effect some calls later. It has to be in the store before the versions there are counted.
	for range delayCalls {
		_ = w.managers[0].pollOnce(context.Background())
	}
	heads := w.store.accepted(w.t)
	for i, m := range w.managers {
		if err := m.pollOnce(context.Background()); err != nil || int(m.version()) != len(heads) {
			w.t.Fatalf("process %d has version %d of %d in force: %v", i, m.version(), len(heads), err)
		}
	}
	history, err := w.managers[0].History(context.Background(), len(heads))
	if err != nil || len(history) != len(heads) {
		w.t.Fatalf("history has %d of %d versions: %v", len(history), len(heads), err)
	}
	for i, head := range history {
		if !reflect.DeepEqual(head, heads[len(heads)-1-i]) {
			w.t.Fatalf("history lists another content of version %d", head.Version)
		}
	}
}

// Races of operators, lost, delayed and dropped writes, a store that is down, late watches and peers that are behind
// must never make a version go down, a change count twice or an answer untrue.
func TestManagerUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(*rapid.T) {
				m, change := w.managers[w.drawManager()], w.drawChange()
				w.drawFaults()
				w.apply(m, change)
			},
			"race": func(*rapid.T) {
				first, second := w.managers[w.drawManager()], w.managers[w.drawManager()]
				change, rival := w.drawChange(), w.drawChange()
				w.store.beforeHead = func() { w.apply(second, rival) }
				w.drawFaults()
				w.apply(first, change)
				w.store.beforeHead = nil
			},
			"follow": func(*rapid.T) {
				w.drawFaults()
				m := w.managers[w.drawManager()]
				w.store.lateWatch = rapid.Bool().Draw(t, "late")
				_ = m.watchOnce(context.Background())
				_ = m.pollOnce(context.Background())
			},
			"learn": func(*rapid.T) {
				m, peer := w.managers[w.drawManager()], w.drawManager()
				_ = m.LearnFromPeer(context.Background(), peerName(peer), m.version()+1)
			},
			"freeze peer": func(*rapid.T) {
				peer := w.drawManager()
				w.peers.stale[peerName(peer)] = w.managers[peer].Head()
			},
			"restart": func(*rapid.T) {
				i := w.drawManager()
				delete(w.peers.stale, peerName(i))
				w.start(i)
			},
			"": func(*rapid.T) { w.check() },
		})
		w.finish()
	})
}

// Several processes that apply at the same time must neither lose a change nor let a subscriber see versions out of order.
func TestManagersRace(t *testing.T) {
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
	if got := len(st.accepted(t)); got != 2*managerCount*changes {
		t.Fatalf("%d changes are accepted, want %d", got, 2*managerCount*changes)
	}
}

// applyAll applies changes one after another and repeats each that lost a race on top of the winner.
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

// A store that lost writes, as after a restore from a copy, holds a lower version than the processes. Nothing may go back
// to it, and no change may be accepted on top of it, because no process would bring it into force.
func TestStoreBelowTheVersionInForce(t *testing.T) {
	_, _, m := newPeers(t)
	if err := m.LearnFromPeer(context.Background(), "p", 2); err != nil {
		t.Fatal(err)
	}
	change := Change{ID: "x", Document: testDocument(t, 7, 0)}
	if _, err := newTestManager(m.store, nil).Apply(context.Background(), change); err != nil {
		t.Fatal(err)
	}
	if err := m.pollOnce(context.Background()); err != nil || m.version() != 2 || m.Stats().RefusedLower != 1 || m.revision.Load() != 1 {
		t.Fatalf("version %d, %+v, %v", m.version(), m.Stats(), err)
	}
	change.ID, change.Base = "y", 1
	if _, err := m.Apply(context.Background(), change); err == nil || result.FromError(err).Code != result.StoreUnavailable {
		t.Fatalf("got %v, want store_unavailable", err)
	}
}

// The watch must bring a version into force by itself; with the poll alone, changes would be late by its interval.
func TestFollowStoreWatches(t *testing.T) {
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

package config

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/store"
)

// fault is the behaviour of a fake store for one call. A read fails as unavailable for every fault other than none.
type fault string

const (
	none        fault = "none"
	unavailable fault = "unavailable"
	// lost: the write takes effect, but its response is lost.
	lost fault = "lost"
	// dropped: the write has no effect and there is no response.
	dropped fault = "dropped"
	// delayed: there is no response, and the write takes effect at the third call (delayCalls) after it.
	delayed fault = "delayed"
)

// delayCalls is the number of further calls after which a delayed write takes effect.
const delayCalls = 3

// fakeStore is an in-memory store with fault injection.
type fakeStore struct {
	mu     sync.Mutex
	values map[string]store.Entry
	// heads lists every value of head. It is the reference for the accepted changes.
	heads []store.Entry
	// faults are consumed, one for each call. headFaults apply only to writes of head and are consumed there before faults.
	faults     []fault
	headFaults []fault
	pending    []pendingWrite
	// beforeHead is called once, before the next write of head.
	beforeHead func()
	// laggingWatch makes watches with a wait time return the first version that the watcher has not received instead of the latest.
	laggingWatch bool
}

type pendingWrite struct {
	calls int
	run   func()
}

func newFakeStore() *fakeStore { return &fakeStore{values: map[string]store.Entry{}} }

// nextFault returns the fault of a call and executes the delayed writes that are due.
func (f *fakeStore) nextFault() fault {
	kept := f.pending[:0]
	for _, p := range f.pending {
		if p.calls--; p.calls > 0 {
			kept = append(kept, p)
			continue
		}
		p.run()
	}
	f.pending = kept
	if len(f.faults) == 0 {
		return none
	}
	first := f.faults[0]
	f.faults = f.faults[1:]
	return first
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nextFault() != none {
		return store.Entry{}, store.ErrUnavailable
	}
	entry, ok := f.values[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return entry, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, expected store.Revision) (store.Revision, error) {
	f.runHeadHook(key)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.nextWriteFault(key) {
	case unavailable:
		return 0, store.ErrUnavailable
	case dropped:
		return 0, store.ErrOutcomeUnknown
	case delayed:
		f.pending = append(f.pending, pendingWrite{delayCalls, func() { _, _ = f.swap(key, value, expected) }})
		return 0, store.ErrOutcomeUnknown
	case lost:
		if _, err := f.swap(key, value, expected); err == nil {
			return 0, store.ErrOutcomeUnknown
		}
		return 0, store.ErrConflict
	default:
		return f.swap(key, value, expected)
	}
}

// nextWriteFault returns the fault of a write.
func (f *fakeStore) nextWriteFault(key string) fault {
	if key != headKey || len(f.headFaults) == 0 {
		return f.nextFault()
	}
	first := f.headFaults[0]
	f.headFaults = f.headFaults[1:]
	return first
}

// runHeadHook calls and clears beforeHead if key is the key of head.
func (f *fakeStore) runHeadHook(key string) {
	f.mu.Lock()
	hook := f.beforeHead
	if key == headKey {
		f.beforeHead = nil
	}
	f.mu.Unlock()
	if key == headKey && hook != nil {
		hook()
	}
}

func (f *fakeStore) swap(key string, value []byte, expected store.Revision) (store.Revision, error) {
	if f.values[key].Revision != expected {
		return 0, store.ErrConflict
	}
	entry := store.Entry{Value: value, Revision: expected + 1}
	f.values[key] = entry
	if key == headKey {
		f.heads = append(f.heads, entry)
	}
	return expected + 1, nil
}

func (f *fakeStore) Watch(_ context.Context, key string, after store.Revision, wait time.Duration) (store.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nextFault() != none {
		return store.Entry{}, store.ErrUnavailable
	}
	if key != headKey || int(after) >= len(f.heads) {
		return store.Entry{}, store.ErrNoChange
	}
	if f.laggingWatch && wait > 0 {
		return f.heads[after], nil
	}
	return f.heads[len(f.heads)-1], nil
}

func (f *fakeStore) setFaults(faults, headFaults []fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults, f.headFaults = faults, headFaults
}

// acceptedHeads returns all accepted heads in order.
func (f *fakeStore) acceptedHeads(t rapid.TB) []Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	heads := make([]Head, len(f.heads))
	for i, entry := range f.heads {
		var err error
		if heads[i], err = decodeHead(entry.Value); err != nil {
			t.Fatal(err)
		}
	}
	return heads
}

// fakePeers is a PeerSource that reads from managers in the same process. stale replaces the head of a peer, and corrupt modifies
// the bytes of all parts.
type fakePeers struct {
	managers map[string]*Manager
	stale    map[string]Head
	calls    int
	corrupt  bool
}

func (f *fakePeers) Head(_ context.Context, peer string) (Head, error) {
	f.calls++
	if head, ok := f.stale[peer]; ok {
		return head, nil
	}
	return f.managers[peer].Head(), nil
}

func (f *fakePeers) Part(_ context.Context, peer string, digest Digest) ([]byte, error) {
	raw, ok := f.managers[peer].Part(digest)
	if !ok {
		return nil, fmt.Errorf("peer has no part %s", digest)
	}
	if f.corrupt {
		return append(raw[:len(raw):len(raw)], '\n'), nil
	}
	return raw, nil
}

// newTestManager returns a manager with a fixed clock that never sleeps and reads or writes one part at a time.
func newTestManager(st store.Store, peers PeerSource) *Manager {
	m := NewManager(st, peers, zerolog.Nop())
	m.now = func() time.Time { return time.UnixMilli(1_700_000_000_000) }
	m.concurrency = 1
	m.sleep = func(ctx context.Context, _ time.Duration) error { return ctx.Err() }
	return m
}

const basePolicy = `
deployment = "test"
[[regions]]
name = "north"
[[regions]]
name = "south"
[[failure_domains]]
name = "north-1"
region = "north"
[[failure_domains]]
name = "south-1"
region = "south"
[[hosts]]
id = "h1"
failure_domain = "north-1"
caller_address = "127.0.0.1:7001"
peer_address = "127.0.0.1:7002"
admin_address = "127.0.0.1:7003"
[[services]]
name = "catalogue"
team = "spares"
hedge_after_ms = %d
[[services.routes]]
path_prefix = "/"
rank = "interactive"
[[backend_servers]]
id = "b1"
service = "catalogue"
failure_domain = "south-1"
address = "127.0.0.1:7101"
slots = 4
`

// testDocument returns a policy with hedgeMs as the hedge delay of its service and with n client blocks. The TOML in extra is
// appended.
func testDocument(t rapid.TB, hedgeMs, n int, extra ...string) *policy.Document {
	text := fmt.Sprintf(basePolicy, hedgeMs) + strings.Join(extra, "")
	for i := range n {
		text += fmt.Sprintf("[[blocks]]\nprefix = \"10.%d.%d.0/24\"\nsites = [\"north-1\"]\n", i/256, i%256)
	}
	doc, err := policy.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

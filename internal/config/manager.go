package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/store"
)

// Manager holds the accepted configuration of this process. Its methods are safe for concurrent use.
type Manager struct {
	store store.Store
	peers PeerSource
	log   zerolog.Logger

	now   func() time.Time
	sleep func(context.Context, time.Duration) error
	// jitter returns a random duration from 0.8 to 1.2 times d.
	jitter func(d time.Duration) time.Duration
	// concurrency is the maximum number of parts or versions that are read or written concurrently.
	concurrency int

	// current is the configuration in force, or nil before the first one. Its version only increases.
	current atomic.Pointer[configuration]
	// previousParts holds the parts of the version that was in force before current. A peer may still be fetching them.
	previousParts atomic.Pointer[map[Digest][]byte]
	// installMu serializes changes of current and calls of subscribers.
	installMu   sync.Mutex
	subscribers []func(*policy.Snapshot)

	// pullToken holds one token while a version is pulled from a peer, so that concurrent calls of PullFromPeer pull it once.
	pullToken chan struct{}
	// handleMu serializes the handling of heads that the watch and the poll have read.
	handleMu sync.Mutex
	// handledRevision is the latest store revision of head that FollowStore has handled.
	handledRevision atomic.Uint64
	// recordedVersion is the highest version whose key version/<n> is known to exist in the store, with the era of its head: a store that
	// was restored from an older copy may have lost the key. It is ordered as a catalog.Revision with the version as its number.
	recordedVersion atomic.Uint64

	counters counters
}

// NewManager returns a manager without configuration. It calls neither st nor peers.
func NewManager(st store.Store, peers PeerSource, log zerolog.Logger) *Manager {
	return &Manager{
		store:       st,
		peers:       peers,
		log:         log,
		now:         time.Now,
		sleep:       sleepFor,
		jitter:      randomJitter,
		concurrency: defaultConcurrency,
		pullToken:   make(chan struct{}, 1),
	}
}

// Snapshot returns the configuration in force, or nil before the first one. Its version never decreases.
func (m *Manager) Snapshot() *policy.Snapshot {
	if c := m.current.Load(); c != nil {
		return c.snapshot
	}
	return nil
}

// Head returns the head of the configuration in force. Its version is 0 before the first configuration. The result must not be
// modified.
func (m *Manager) Head() Head {
	if c := m.current.Load(); c != nil {
		return c.head
	}
	return Head{}
}

// Part returns the bytes of a part of the version in force or of the version before it. The bytes must not be modified.
func (m *Manager) Part(digest Digest) ([]byte, bool) {
	if raw, ok := m.current.Load().part(digest); ok {
		return raw, true
	}
	if previous := m.previousParts.Load(); previous != nil {
		raw, ok := (*previous)[digest]
		return raw, ok
	}
	return nil, false
}

// Subscribe registers fn to be called with each version that comes into force, in ascending order. It calls fn immediately with the
// version in force, if there is one. Versions may be skipped. The next version comes into force only after fn has returned. fn must
// not call Subscribe.
func (m *Manager) Subscribe(fn func(*policy.Snapshot)) {
	m.installMu.Lock()
	defer m.installMu.Unlock()
	m.subscribers = append(m.subscribers, fn)
	if s := m.Snapshot(); s != nil {
		fn(s)
	}
}

// version returns the version in force, or 0 before the first one.
func (m *Manager) version() policy.Version {
	return m.Head().Version
}

// install brings a configuration into force if its version is above the version in force. It reports whether it did.
func (m *Manager) install(next *configuration) bool {
	m.installMu.Lock()
	defer m.installMu.Unlock()
	current := m.current.Load()
	if current != nil && next.head.Version <= current.head.Version {
		return false
	}
	if current != nil {
		m.previousParts.Store(&current.raw)
	}
	m.current.Store(next)
	for _, fn := range m.subscribers {
		fn(next.snapshot)
	}
	m.log.Info().Uint64("version", uint64(next.head.Version)).Str("change", next.head.ChangeID).Msg("config_in_force")
	return true
}

// rejectLower counts and logs a head whose version is below the version in force.
func (m *Manager) rejectLower(head Head, source string) {
	m.counters.rejectedLower.Add(1)
	m.log.Warn().Uint64("version", uint64(head.Version)).Uint64("in_force", uint64(m.version())).
		Str("source", source).Msg("lower_version_refused")
}

// sleepFor waits for d. It returns the error of ctx if ctx is done first.
func sleepFor(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func randomJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/store"
)

// headKey is the store key of the accepted head.
const headKey = "head"

// Bounds of the attempts of a store call. A call is repeated after an attempt whose outcome is unknown.
const (
	maxStoreAttempts = 5
	// firstRetryDelay is doubled for each further attempt, so the delays add up to about 1.5 s, not counting the duration of the
	// calls.
	firstRetryDelay = 100 * time.Millisecond
)

func partKey(digest Digest) string { return "part/" + string(digest) }

func versionKey(version policy.Version) string { return fmt.Sprintf("version/%d", version) }

// storedHead is the head in the store. Its zero value represents an empty store.
type storedHead struct {
	head     Head
	raw      []byte
	revision store.Revision
}

// readHead reads head from the store.
func (m *Manager) readHead(ctx context.Context) (storedHead, error) {
	entry, err := m.store.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, Error.Wrap(err)
	}
	return newStoredHead(entry)
}

func newStoredHead(entry store.Entry) (storedHead, error) {
	head, err := decodeHead(entry.Value)
	return storedHead{head: head, raw: entry.Value, revision: entry.Revision}, err
}

// readVersion reads the head of an earlier version from its record.
func (m *Manager) readVersion(ctx context.Context, version policy.Version) (Head, error) {
	entry, err := m.store.Get(ctx, versionKey(version))
	if err != nil {
		return Head{}, Error.Wrap(err)
	}
	return decodeHead(entry.Value)
}

// storePart is the partFetcher that reads from the store.
func (m *Manager) storePart(ctx context.Context, digest Digest) ([]byte, error) {
	entry, err := m.store.Get(ctx, partKey(digest))
	return entry.Value, err
}

// installStored returns the configuration of a stored head and brings it into force if it is above the version in force. The
// configuration is nil for an empty store without a version in force.
func (m *Manager) installStored(ctx context.Context, stored storedHead) (*configuration, error) {
	current := m.current.Load()
	if stored.head.Version == 0 || current != nil && current.head.Version == stored.head.Version {
		return current, nil
	}
	raw, err := m.fetchParts(ctx, stored.head, current, m.storePart)
	if err != nil {
		return nil, err
	}
	next, err := newConfiguration(stored.head, raw, current)
	if err != nil {
		return nil, err
	}
	if m.install(next) {
		m.counters.fromStore.Add(1)
	}
	return next, nil
}

// createIfAbsent creates a key whose value never changes. A key that already exists has the same value. If the outcome of the write
// is unknown, the write is repeated; it takes effect at most once.
func (m *Manager) createIfAbsent(ctx context.Context, key string, value []byte) error {
	var err error
	for attempt := range maxStoreAttempts {
		if m.waitBeforeAttempt(ctx, attempt) != nil {
			break
		}
		_, err = m.store.CompareAndSwap(ctx, key, value, 0)
		if err == nil || errors.Is(err, store.ErrConflict) {
			return nil
		}
		if errors.Is(err, store.ErrUnavailable) {
			break
		}
	}
	return Error.Wrap(errors.Join(err, ctx.Err()))
}

// waitBeforeAttempt waits for an exponential delay before each attempt except the first.
func (m *Manager) waitBeforeAttempt(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return ctx.Err()
	}
	return m.sleep(ctx, m.jitter(firstRetryDelay<<(attempt-1)))
}

// writeParts writes the parts that the accepted version does not contain.
func (m *Manager) writeParts(ctx context.Context, parts []part, accepted Head) error {
	existing := make(map[Digest]bool, len(accepted.Parts))
	for _, ref := range accepted.Parts {
		existing[ref.Digest] = true
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(m.concurrency)
	for _, p := range parts {
		if !existing[p.ref.Digest] {
			group.Go(func() error { return m.createIfAbsent(ctx, partKey(p.ref.Digest), p.raw) })
		}
	}
	return group.Wait()
}

// writeVersionRecord writes the key version/<n> of a head unless the key is known to exist. It is called before each replacement of
// head, so the record of every earlier version exists.
func (m *Manager) writeVersionRecord(ctx context.Context, stored storedHead) error {
	recorded := uint64(catalog.NewRevision(catalog.Revision(stored.revision).Era(), uint64(stored.head.Version)))
	if recorded <= m.recordedVersion.Load() {
		return nil
	}
	if err := m.createIfAbsent(ctx, versionKey(stored.head.Version), stored.raw); err != nil {
		return err
	}
	storeMax(&m.recordedVersion, recorded)
	return nil
}

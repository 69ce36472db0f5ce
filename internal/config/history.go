package config

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// maxHistory is the maximum number of versions in one query. It bounds the number of store calls.
const maxHistory = 128

// History returns the heads of the latest accepted versions, newest first: at most limit and at most 128. Errors:
// StoreUnavailable.
func (m *Manager) History(ctx context.Context, limit int) ([]Head, error) {
	stored, err := m.readHead(ctx)
	if err != nil {
		return nil, storeFailure(err)
	}
	if stored.head.Version == 0 || limit <= 0 {
		return nil, nil
	}
	m.writeMissingRecord(ctx, stored)
	heads := make([]Head, min(limit, maxHistory, int(stored.head.Version)))
	heads[0] = stored.head
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(m.concurrency)
	for i := 1; i < len(heads); i++ {
		group.Go(func() (err error) {
			heads[i], err = m.readVersion(ctx, stored.head.Version-policy.Version(i))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, storeFailure(err)
	}
	return heads, nil
}

// writeMissingRecord writes the record of the latest version if it is missing. A failure is only logged, because head still has
// the same content.
func (m *Manager) writeMissingRecord(ctx context.Context, stored storedHead) {
	if err := m.writeVersionRecord(ctx, stored); err != nil {
		m.log.Warn().Uint64("version", uint64(stored.head.Version)).Err(err).Msg("version_record_not_written")
	}
}

// Load returns the document of an accepted version. Its blocks may share lists of sites with the version in force and must not be
// modified. Errors: VersionNotFound, StoreUnavailable, Internal.
func (m *Manager) Load(ctx context.Context, version policy.Version) (*policy.Document, error) {
	current := m.current.Load()
	if current != nil && current.head.Version == version {
		return documentOf(current.head, current.raw, current)
	}
	head, err := m.findVersion(ctx, version)
	if err != nil {
		return nil, err
	}
	raw, err := m.fetchParts(ctx, head, current, m.storePart)
	if err != nil {
		return nil, storeFailure(err)
	}
	return documentOf(head, raw, current)
}

// documentOf assembles the document of a head from its parts. current may be nil.
func documentOf(head Head, raw map[Digest][]byte, current *configuration) (*policy.Document, error) {
	doc, _, err := assembleDocument(head, raw, current)
	if err != nil {
		return nil, result.FromError(err)
	}
	return doc, nil
}

// findVersion reads the head of an accepted version. It reads the store's head first, because the record of the latest version may
// be missing. The record of every earlier version exists.
func (m *Manager) findVersion(ctx context.Context, version policy.Version) (Head, error) {
	stored, err := m.readHead(ctx)
	if err != nil {
		return Head{}, storeFailure(err)
	}
	if version == 0 || version > stored.head.Version {
		return Head{}, result.Fail(result.VersionNotFound, "no version %d; the latest is %d", version, stored.head.Version)
	}
	if version == stored.head.Version {
		m.writeMissingRecord(ctx, stored)
		return stored.head, nil
	}
	head, err := m.readVersion(ctx, version)
	if err != nil {
		return Head{}, storeFailure(err)
	}
	return head, nil
}

package config

import (
	"bytes"
	"context"
	"errors"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/store"
)

// swapHead writes head and determines the outcome of the write.
//
// If the response to the write is lost, swapHead reads head again. If head has not changed, the write may still take effect later,
// so the change cannot be reported as not accepted. swapHead then repeats the same write with the same expected revision, so that
// at most one of the writes takes effect.
func (m *Manager) swapHead(ctx context.Context, change Change, stored storedHead, next candidate) (Accepted, error) {
	uncertain := false
	for attempt := range maxStoreAttempts {
		if m.waitBeforeAttempt(ctx, attempt) != nil {
			break
		}
		if uncertain {
			latest, err := m.readHead(ctx)
			if err != nil {
				continue
			}
			if latest.revision != stored.revision {
				return m.resolve(ctx, change, latest, next)
			}
		}
		_, err := m.store.CompareAndSwap(ctx, headKey, next.headBytes, stored.revision)
		switch {
		case err == nil:
			return m.installAccepted(ctx, next), nil
		case errors.Is(err, store.ErrConflict):
			return m.resolveConflict(ctx, change, next)
		case errors.Is(err, store.ErrUnavailable) && !uncertain:
			return Accepted{}, storeFailure(err)
		case !errors.Is(err, store.ErrUnavailable):
			uncertain = true
		}
	}
	if !uncertain {
		return Accepted{}, result.Fail(result.StoreUnavailable, "the call was cancelled or timed out before head was written: %v", ctx.Err())
	}
	return Accepted{}, outcomeUnknownFailure(change)
}

// resolveConflict reads the head that caused a compare-and-swap conflict. It may come from an earlier or concurrent call of Apply
// with the same change.
func (m *Manager) resolveConflict(ctx context.Context, change Change, next candidate) (Accepted, error) {
	for attempt := range maxStoreAttempts {
		if m.waitBeforeAttempt(ctx, attempt) != nil {
			break
		}
		if latest, err := m.readHead(ctx); err == nil {
			return m.resolve(ctx, change, latest, next)
		}
	}
	return Accepted{}, outcomeUnknownFailure(change)
}

// resolve determines the outcome of a change from a head that was written after the head that the change is based on. A concurrent
// call of Apply with the same change sets another time and may set other starts of shifts, so next was accepted only if latest has
// exactly the same bytes.
func (m *Manager) resolve(ctx context.Context, change Change, latest storedHead, next candidate) (Accepted, error) {
	if bytes.Equal(latest.raw, next.headBytes) {
		return m.installAccepted(ctx, next), nil
	}
	accepted, known, err := m.findChange(ctx, latest.head, change)
	switch {
	case err != nil:
		return Accepted{}, outcomeUnknownFailure(change)
	case !known:
		return Accepted{}, conflictFailure(change, latest.head)
	default:
		return accepted, nil
	}
}

// findChange returns whether a change was already accepted. A change that is too old for the list in head can only have created the
// version after its base; the record of that version names the change that created it.
func (m *Manager) findChange(ctx context.Context, head Head, change Change) (Accepted, bool, error) {
	if version, ok := head.versionOf(change.ID); ok {
		return alreadyAccepted(change, version), true, nil
	}
	version := change.Base + 1
	if change.Base >= head.Version || version >= head.oldestRecent() {
		return Accepted{}, false, nil
	}
	record, err := m.readVersion(ctx, version)
	if err != nil {
		return Accepted{}, false, storeFailure(err)
	}
	return alreadyAccepted(change, version), record.ChangeID == change.ID, nil
}

func alreadyAccepted(change Change, version policy.Version) Accepted {
	return Accepted{Version: version, ChangeID: change.ID, AlreadyAccepted: true}
}

// installAccepted brings an accepted version into force and writes its record. If writing the record fails, the next reader of the
// history or the next change writes it.
func (m *Manager) installAccepted(ctx context.Context, next candidate) Accepted {
	head := next.configuration.head
	m.install(next.configuration)
	m.writeMissingRecord(ctx, storedHead{head: head, raw: next.headBytes})
	return Accepted{Version: head.Version, ChangeID: head.ChangeID}
}

func outcomeUnknownFailure(change Change) *result.Failure {
	return result.Fail(result.StoreOutcomeUnknown, "the answer of the store was lost; repeat change %s or look for it in the history", change.ID)
}

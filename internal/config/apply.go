package config

import (
	"context"
	"errors"

	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/store"
)

// Apply writes a change to the store as the next version. The change is accepted once the compare-and-swap of head has taken
// effect. Errors are of type *result.Failure:
//
//   - InvalidPolicy, VersionConflict, StoreUnavailable: this call did not cause the change to be accepted.
//   - StoreOutcomeUnknown: the change may have been accepted. Calling Apply again with the same change ID determines the outcome;
//     the change takes effect only once.
//   - Internal: this process cannot read the accepted version; the change is not accepted.
func (m *Manager) Apply(ctx context.Context, change Change) (Accepted, error) {
	accepted, err := m.apply(ctx, change)
	m.countChange(change, accepted, err)
	return accepted, err
}

func (m *Manager) apply(ctx context.Context, change Change) (Accepted, error) {
	if err := checkChange(change); err != nil {
		return Accepted{}, err
	}
	inForce := m.version()
	stored, err := m.readHead(ctx)
	if err != nil {
		return Accepted{}, storeFailure(err)
	}
	// Processes reject versions below the one in force. A change to a store that has lost versions would therefore not come
	// into force.
	if stored.head.Version < inForce {
		return Accepted{}, result.Fail(result.StoreUnavailable,
			"the store holds version %d, which is below version %d in force", stored.head.Version, inForce)
	}
	if accepted, known, err := m.findChange(ctx, stored.head, change); err != nil || known {
		return accepted, err
	}
	if stored.head.Version != change.Base {
		return Accepted{}, conflictFailure(change, stored.head)
	}
	return m.writeNextVersion(ctx, change, stored)
}

// writeNextVersion validates a change that is based on the stored head and writes it as the next version.
func (m *Manager) writeNextVersion(ctx context.Context, change Change, stored storedHead) (Accepted, error) {
	previous, err := m.installStored(ctx, stored)
	if err != nil {
		return Accepted{}, storeFailure(err)
	}
	next, err := prepare(change, previous, m.now())
	if err != nil {
		return Accepted{}, result.Fail(result.InvalidPolicy, "%v", err)
	}
	if err := m.writeVersionRecord(ctx, stored); err != nil {
		return Accepted{}, headNotWrittenFailure(err)
	}
	if err := m.writeParts(ctx, next.parts, stored.head); err != nil {
		return Accepted{}, headNotWrittenFailure(err)
	}
	return m.swapHead(ctx, change, stored, next)
}

// headNotWrittenFailure maps an error of a write that precedes the write of head.
func headNotWrittenFailure(err error) *result.Failure {
	return result.Fail(result.StoreUnavailable, "head was not written: %v", err)
}

// storeFailure maps an error of a read, or of a write of head that did not take effect.
func storeFailure(err error) *result.Failure {
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrOutcomeUnknown) ||
		errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return result.Fail(result.StoreUnavailable, "%v", err)
	}
	return result.FromError(err)
}

// conflictFailure returns the failure of a change whose base is not the accepted version.
func conflictFailure(change Change, accepted Head) *result.Failure {
	return result.Fail(result.VersionConflict, "the change is based on version %d, but version %d is accepted (change %s of %s)",
		change.Base, accepted.Version, accepted.ChangeID, accepted.Operator)
}

// Package store defines the interface to the platform's key-value service.
package store

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("store")

// MaxValueBytes is the size limit of a value in the platform's service.
const MaxValueBytes = 1 << 20

// WatchWait is the longest wait to pass to Watch. The service ends longer waits early.
const WatchWait = 30 * time.Second

// Errors that callers distinguish with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the key's revision is not the expected one. The write had no effect.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable means that the request had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrNoChange means that the wait of a watch expired without a change.
	ErrNoChange = errors.New("no change")
)

// Revision is ordered by the writes of one key, also across restorations of the service from an older copy. 0 means that the key does not
// exist.
type Revision uint64

// Entry is a value with its revision.
type Entry struct {
	Value    []byte
	Revision Revision
}

// Store is the part of the platform's key-value service that this system uses. Leases are not part of it, because the service has
// long outages and no decision on the request path may depend on it.
type Store interface {
	// Get reads a key. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes a key if its revision equals expected, which is 0 for a key that must not exist. It returns the new
	// revision. Errors: ErrConflict, ErrUnavailable (not written), ErrOutcomeUnknown.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision) (Revision, error)
	// Watch waits until the revision of a key is above after, for at most wait. With a wait of 0 it returns immediately and
	// transfers few bytes if the key has not changed. Errors: ErrNoChange if the wait expires, ErrUnavailable.
	Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Entry, error)
}

// Package store is the client side of the platform's key-value service.
package store

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("store")

// MaxValueBytes is the largest value that the platform's service holds.
const MaxValueBytes = 1 << 20

// WatchWait is the longest wait that callers ask for. The service ends longer ones early.
const WatchWait = 30 * time.Second

// Errors that callers tell apart with errors.Is.
var (
	// ErrNotFound: the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict: the key's revision is not the expected one; the write had no effect.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable: the request was not carried out.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown: a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrNoChange: a watch ended without a change.
	ErrNoChange = errors.New("no change")
)

// Revision numbers the writes of one key; 0 means the key does not exist.
type Revision uint64

// Entry is a value with its revision.
type Entry struct {
	Value    []byte
	Revision Revision
}

// Store is what the system needs of the platform's key-value service. Leases are not part of it, because the
// service has long outages and no decision on the request path may depend on it.
type Store interface {
	// Get reads a key. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes a key if its revision is expected, 0 for a key that must not exist, and returns the new
	// revision. Errors: ErrConflict, ErrUnavailable (not written), ErrOutcomeUnknown.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision) (Revision, error)
	// Watch waits until the revision of a key is above after, for at most wait. With a wait of 0 it answers at once and
	// costs few bytes while nothing changed. Errors: ErrNoChange when the wait ends, ErrUnavailable.
	Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Entry, error)
}

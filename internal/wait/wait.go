// Package wait holds waits that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for a time or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
